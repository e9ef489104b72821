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
	testLimit = 90 * time.Second
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
	ctx, stop := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(stop)
	e, err := Start(ctx, Options{Deployment: deployment, Bin: bin, Relays: relays, Say: t.Logf})
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, e.Close())
		if !t.Failed() {
			require.NoError(t, e.Discard())
		}
	})
	return ctx, e
}

func testLoad() Load {
	return Load{Seed: 1, Users: 4, Mix: workload.Mix{Writes: 50}, Pace: 10 * time.Millisecond}
}

// Each case breaks one part while numbered records are written from eight sessions that move between hosts; afterwards
// writes have to succeed again and the history must show nothing lost, doubled, phantom or stale.
func TestFailuresKeepTheHistory(t *testing.T) {
	for _, f := range Failures {
		t.Run(f.Name, func(t *testing.T) {
			t.Log("guards: " + f.Guards)
			ctx, e := start(t, f.Relays)
			require.NoError(t, e.Run(testLoad()))
			require.NoError(t, e.Progress(ctx, service, testWrites))
			require.NoError(t, f.Cause(ctx, e, service))
			require.NoError(t, e.Progress(ctx, service, testWrites))
			verdict, err := e.Verify()
			require.NoError(t, err)
			require.Empty(t, verdict.Violations)
			require.NoError(t, e.Fleet.CheckRunning())
		})
	}
}

// A host that is asked to end must not break the requests of callers that the balancer sends elsewhere (invariant 13).
func TestGracefulShutdownFailsNoRequest(t *testing.T) {
	ctx, e := start(t, false)
	load := testLoad()
	load.Balanced = true
	require.NoError(t, e.Run(load))
	require.NoError(t, e.Progress(ctx, service, testWrites))
	leader, err := e.Fleet.Leader(ctx)
	require.NoError(t, err)
	for _, h := range e.Fleet.Hosts {
		if h == leader {
			continue
		}
		require.NoError(t, h.Terminate())
		require.NoError(t, e.Progress(ctx, service, testWrites))
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
