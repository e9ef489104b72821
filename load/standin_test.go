package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/deployments"
	"tamarackshunt.dev/load/history"
	"tamarackshunt.dev/load/launch"
	"tamarackshunt.dev/load/workload"
)

// binFolder returns the folder with the programs that make build builds.
func binFolder(t *testing.T) string {
	folder, err := filepath.Abs("../bin")
	require.NoError(t, err)
	_, err = os.Stat(filepath.Join(folder, "tamarack-host"))
	require.NoError(t, err, "make build builds the programs that this test starts")
	return folder
}

// Guards against faults in the workload, the launcher or the checker that would look like faults of the proxy. The workload
// runs directly at one upstream, where its history must have no violations.
func TestWorkloadAtOneUpstreamHasNoViolation(t *testing.T) {
	deployment, err := deployments.Load("small")
	require.NoError(t, err)
	fleet, err := launch.New(launch.Options{Deployment: deployment, Bin: binFolder(t), Dir: t.TempDir()})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, fleet.Close()) })
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	s := fleet.Standins[0].Settings
	session := ident.Session{Service: "orders", Team: "wicks", User: ident.User(s.GetUser())}
	for {
		conn, err := workload.Connect(ctx, s.GetListen(), session, s.GetPassword(), false)
		if err == nil {
			_, err = conn.Exec(ctx, "SELECT pg_promote(1)")
			require.NoError(t, err)
			break
		}
		require.NoError(t, ctx.Err(), "%v; log: %s", err, fleet.Standins[0].Log(1024))
		time.Sleep(20 * time.Millisecond)
	}
	runner, err := workload.Start(ctx, workload.Options{
		Seed: 1, Sessions: []workload.Session{{Session: session, Key: s.GetPassword()}},
		Pick: workload.PickModulo([]string{s.GetListen()}), Mix: workload.Mix{Writes: 50}, Requests: 300,
	})
	require.NoError(t, err)
	runner.Wait()
	final := history.NewFinalState()
	require.NoError(t, workload.ReadFinalState(ctx, s.GetListen(), s.GetUser(), s.GetPassword(), "orders", final))
	verdict := history.Check(runner.Events(), final)
	require.Empty(t, verdict.Violations)
	require.Positive(t, verdict.Acknowledged)
	require.Positive(t, verdict.Reads)
	require.Equal(t, map[string]int{"": 300}, runner.Codes())
}
