package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/deployments"
	"tamarackshunt.dev/load/history"
)

// Guards against reading a figure from a wrong column of the report or a wrong field of /proc, which no other check notices.
func TestParsing(t *testing.T) {
	report := "SERVICE LEVEL  5 MIN\nreads          90%\n\n" +
		"TEAM    ASKED  REPLICA READS  PRIMARY READS  WRITES\n" +
		"market  10     7              1              2\nnight   5      4              0              1\n\nend\n"
	sums, err := sumColumns(report, columnReplica, columnPrimary)
	require.NoError(t, err)
	require.Equal(t, map[string]int64{columnReplica: 11, columnPrimary: 1}, sums)

	usage, err := parseUsage("42 (a b) c) S 1 1 1 0 -1 4194560 1 2 3 4 150 50 0 0 20", "Name:\tx\nVmRSS:\t    2048 kB\n")
	require.NoError(t, err)
	require.Equal(t, Usage{CPU: 2 * time.Second, RSS: 2 << 20}, usage)
}

// Guards against baselines that understate or overstate the weakness of a simpler policy, which would distort the comparison
// with the fleet. Each must show its known weakness, and none in the cases where it has none.
func TestBaselinesShowTheirWeakness(t *testing.T) {
	d, err := deployments.Load("lamparen")
	require.NoError(t, err)
	rejected, total := simulateEqualSplit(d.GetText().GetTeams(), len(d.GetHosts()))
	require.Greater(t, rejected, total/10)
	none, _ := simulateEqualSplit(d.GetText().GetTeams(), 1)
	require.Zero(t, none)

	require.Less(t, fifoWorstShare(len(d.GetText().GetTeams())), 0.6)
	require.InDelta(t, 1, fifoWorstShare(largeTeams), 0.01)

	session := ident.Session{Service: "rentals", Team: "market", User: "ada"}
	events := []history.Event{
		history.Write{Session: session, At: 100, Outcome: history.Acknowledged},
		history.Read{Session: session, At: 110},
		history.Read{Session: session, At: 200},
	}
	stale, reads := staleAtAnyReplica(events, 50)
	require.Equal(t, []int{1, 2}, []int{stale, reads})
}
