package scenario

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/load/deployments"
	"tamarackshunt.dev/load/workload"
)

const (
	testTimeout = 90 * time.Second
	// testWrites is the number of acknowledged writes before a failure and after it.
	testWrites = 60
	service    = "orders"
)

func start(t *testing.T, relays bool) (context.Context, *Experiment) {
	bin, err := filepath.Abs("../../bin")
	require.NoError(t, err)
	_, err = os.Stat(filepath.Join(bin, "tamarack-host"))
	require.NoError(t, err, "make build builds the programs that this test starts")
	deployment, err := deployments.Load("small")
	require.NoError(t, err)
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(stop)
	e, err := Start(ctx, Options{Deployment: deployment, Bin: bin, Relays: relays, Logf: t.Logf})
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, e.Close())
		if !t.Failed() {
			require.NoError(t, e.RemoveDir())
		}
	})
	return ctx, e
}

func testLoad() Load {
	return Load{Seed: 1, Users: 4, Mix: workload.Mix{Writes: 50}, Pace: 10 * time.Millisecond}
}

// Guards the invariant that each failure names. Each case causes one failure while eight sessions, four users for each of
// one service and two teams, write numbered records and change hosts between requests. Writes must succeed again afterwards,
// and the history must have no violations.
func TestFailuresCauseNoViolations(t *testing.T) {
	for _, f := range Failures {
		t.Run(f.Name, func(t *testing.T) {
			t.Log("guards: " + f.Invariant)
			ctx, e := start(t, f.Relays)
			require.NoError(t, e.Run(testLoad()))
			require.NoError(t, e.WaitForWrites(ctx, service, testWrites))
			require.NoError(t, f.Inject(ctx, e, service))
			require.NoError(t, e.WaitForWrites(ctx, service, testWrites))
			verdict, err := e.Verify()
			require.NoError(t, err)
			require.Empty(t, verdict.Violations)
			require.NoError(t, e.Fleet.CheckRunning())
		})
	}
}

// Guards against requests that fail because a host receives SIGTERM, although the balancer sends callers to other hosts
// (invariant 13).
func TestGracefulShutdownFailsNoRequest(t *testing.T) {
	ctx, e := start(t, false)
	load := testLoad()
	load.Balanced = true
	require.NoError(t, e.Run(load))
	require.NoError(t, e.WaitForWrites(ctx, service, testWrites))
	leader, err := e.Fleet.Leader(ctx)
	require.NoError(t, err)
	for _, h := range e.Fleet.Hosts {
		if h == leader {
			continue
		}
		require.NoError(t, h.Terminate())
		require.NoError(t, e.WaitForWrites(ctx, service, testWrites))
		require.NoError(t, h.Start())
		require.NoError(t, e.Fleet.WaitReady(ctx))
	}
	verdict, err := e.Verify()
	require.NoError(t, err)
	require.Empty(t, verdict.Violations)
	codes := e.Runner.Codes()
	delete(codes, "")
	require.Empty(t, codes, "requests that failed, by SQLSTATE")
}
