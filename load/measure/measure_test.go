package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/deployments"
	"tamarackshunt.dev/load/history"
)

// A figure read from the wrong column or field would go unnoticed into the documents.
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

// A baseline that did not suffer from what it stands for would make the policy look useless; each has to show its known
// weakness, and none where it has none.
func TestBaselinesShowTheirWeakness(t *testing.T) {
	d, err := deployments.Load("lamparen")
	require.NoError(t, err)
	rejected, total := equalSplit(d.GetText().GetTeams(), len(d.GetHosts()))
	require.Greater(t, rejected, total/10)
	none, _ := equalSplit(d.GetText().GetTeams(), 1)
	require.Zero(t, none)

	require.Less(t, firstComeShare(len(d.GetText().GetTeams())), 0.6)
	require.InDelta(t, 1, firstComeShare(largeTeams), 0.01)

	session := ident.Session{Service: "rentals", Team: "market", User: "ada"}
	events := []history.Event{
		history.Write{Session: session, At: 100, Outcome: history.Acknowledged},
		history.Read{Session: session, At: 110},
		history.Read{Session: session, At: 200},
	}
	stale, reads := staleAtAnyReplica(events, 50)
	require.Equal(t, []int{1, 2}, []int{stale, reads})
}
