package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
)

const ms = ident.Time(time.Millisecond)

func primary(sent ident.Time, term ident.Term, rows ...group.Row) group.State {
	return group.State{Upstream: "a", Sent: sent, Primary: true, Term: term, Last: ident.Position{Term: term, LSN: 100}, Rows: rows}
}

func replica(u ident.Upstream, sent ident.Time, term ident.Term, lsn ident.LSN, following bool) group.State {
	return group.State{Upstream: u, Sent: sent, Following: following, Term: term, Last: ident.Position{Term: 1, LSN: lsn}}
}

// Guards invariant 2: a position must not count as held by a majority, or a primary as confirmed, on the word of too few
// members, of members of another term, or of a primary that lost its role.
func TestPositions(t *testing.T) {
	three := group.Config{Members: []ident.Upstream{"a", "b", "c"}, Size: 3, Term: 2, Primary: "a"}
	four := group.Config{Members: []ident.Upstream{"a", "b", "c", "d"}, Size: 3, Term: 2, Primary: "a"}
	alone := group.Config{Members: []ident.Upstream{"a"}, Size: 3, Term: 2, Primary: "a"}
	row := func(u ident.Upstream, term ident.Term, lsn ident.LSN) group.Row {
		return group.Row{Upstream: u, Term: term, Flush: lsn, Replay: lsn, Age: 7 * time.Millisecond}
	}
	tests := []struct {
		name      string
		config    group.Config
		reports   []group.Report
		majority  ident.LSN
		confirmed bool
	}{
		{"nothing known", three, nil, 0, false},
		{"primary alone", three, []group.Report{primary(1, 2)}, 0, false},
		{"one replica by the primary's rows", three, []group.Report{primary(1, 2, row("b", 2, 80))}, 80, false},
		{"the faster replica counts", three, []group.Report{primary(1, 2, row("b", 2, 80), row("c", 2, 90))}, 90, false},
		{"row of an older term", three, []group.Report{primary(1, 2, row("b", 1, 80))}, 0, false},
		{"row of an upstream that is no member", three, []group.Report{primary(1, 2, row("x", 2, 80))}, 0, false},
		{"confirmed by an own answer", three, []group.Report{primary(1, 2), replica("b", 1, 2, 80, true)}, 80, true},
		{"an answer of an older term confirms and holds nothing", three, []group.Report{primary(1, 2), replica("b", 1, 1, 80, true)}, 0, true},
		{"a replica that does not follow holds nothing", three, []group.Report{primary(1, 2), replica("b", 1, 2, 80, false)}, 0, true},
		{"fenced members confirm nothing", three, []group.Report{primary(1, 2), replica("b", 1, 3, 80, true), replica("c", 1, 3, 80, true)}, 0, false},
		{"a primary of an older term", three, []group.Report{primary(1, 1, row("b", 1, 80)), replica("b", 1, 2, 80, true)}, 0, false},
		{"two of four members are no majority", four, []group.Report{primary(1, 2, row("b", 2, 80)), replica("b", 1, 2, 80, true)}, 0, false},
		{"three of four members", four, []group.Report{primary(1, 2, row("b", 2, 80), row("d", 2, 70))}, 70, false},
		{"a list shorter than the configuration", alone, []group.Report{primary(1, 2)}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := group.New("ledger")
			g.Configure(0, tt.config)
			for _, r := range tt.reports {
				g.Report(2*ms, r)
			}
			p := g.Positions(3 * ms)
			require.Equal(t, tt.majority, p.Majority.LSN)
			require.Equal(t, tt.confirmed, p.Confirmed)
		})
	}
}

// Guards against an old confirmation that counts for ever, knowledge of an old term that counts under a new one, and data
// that looks fresher than it is.
func TestTimePasses(t *testing.T) {
	g := group.New("ledger")
	config := group.Config{Members: []ident.Upstream{"a", "b", "c"}, Size: 3, Term: 2, Primary: "a"}
	g.Configure(0, config)
	g.Report(120*ms, primary(100*ms, 2, group.Row{Upstream: "b", Term: 2, Flush: 90, Replay: 80, Age: 7 * time.Millisecond}))
	g.Report(130*ms, replica("c", 110*ms, 2, 70, true))

	p := g.Positions(200 * ms)
	require.True(t, p.Confirmed)
	require.Equal(t, 100*ms, p.Known, "the time of the query counts, not that of the answer")
	require.Equal(t, 107*time.Millisecond, p.Held[1].Age)
	require.Equal(t, ident.LSN(80), p.Held[1].Position.LSN, "reads see what is replayed")
	require.Equal(t, ident.LSN(90), p.Majority.LSN, "the majority holds what is flushed")
	require.Greater(t, p.Held[2].Age, time.Hour)

	p = g.Positions(2200 * ms)
	require.False(t, p.Confirmed)
	require.False(t, p.Held[0].Reachable)
	require.Equal(t, uint64(2080), g.Observed(2200 * ms)[0].GetSilentMs())
	g.Report(2200*ms, group.Failed{Upstream: "a", Refused: true})
	require.True(t, g.Observed(2200 * ms)[0].GetRefused())

	config.Term, config.Primary = 3, "b"
	g.Configure(2200*ms, config)
	require.Zero(t, g.Positions(2200*ms).Majority)
	require.Zero(t, g.Positions(2200 * ms).Held[2].Position)
}
