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

// Guards invariant 2: a position must not count as held by a majority, nor a primary as confirmed, if the reports come from
// too few members, from members of another term or from a primary that lost its role.
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
		{"one replica in the primary's rows", three, []group.Report{primary(1, 2, row("b", 2, 80))}, 80, false},
		{"the faster replica counts", three, []group.Report{primary(1, 2, row("b", 2, 80), row("c", 2, 90))}, 90, false},
		{"row of an older term", three, []group.Report{primary(1, 2, row("b", 1, 80))}, 0, false},
		{"row of an upstream that is no member", three, []group.Report{primary(1, 2, row("x", 2, 80))}, 0, false},
		{"confirmed by a replica's answer", three, []group.Report{primary(1, 2), replica("b", 1, 2, 80, true)}, 80, true},
		{"an answer of an older term confirms, but adds no position", three, []group.Report{primary(1, 2), replica("b", 1, 1, 80, true)}, 0, true},
		{"a replica that does not follow adds no position", three, []group.Report{primary(1, 2), replica("b", 1, 2, 80, false)}, 0, true},
		{"fenced members do not confirm", three, []group.Report{primary(1, 2), replica("b", 1, 3, 80, true), replica("c", 1, 3, 80, true)}, 0, false},
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

// Guards against acknowledging a write that the new primary's log does not contain, and against reporting the outcome of a
// write as unknown although the new primary holds it.
func TestHoldsAcrossTerms(t *testing.T) {
	at := func(term ident.Term, lsn ident.LSN) ident.Position { return ident.Position{Term: term, LSN: lsn} }
	tests := []struct {
		name             string
		majority, record ident.Position
		holds, lost      bool
	}{
		{"same term", at(3, 60), at(3, 60), true, false},
		{"same term, not yet held", at(3, 60), at(3, 61), false, false},
		{"before the base, and held with the new term", at(3, 60), at(2, 50), true, false},
		{"before the base, but no record of the new term is held", at(3, 50), at(2, 40), false, false},
		{"after the base", at(3, 60), at(2, 51), false, true},
		{"of a term before the base", at(3, 60), at(1, 10), false, true},
		{"nothing known", at(0, 0), at(2, 40), false, false},
		{"of a term that this observer does not know yet", at(3, 60), at(4, 55), false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := group.Positions{Term: 3, Base: at(2, 50), Majority: tt.majority}
			require.Equal(t, tt.holds, p.Holds(tt.record))
			require.Equal(t, tt.lost, p.Lost(tt.record))
		})
	}
}

// Guards against a confirmation that never expires, positions of an old term that count under a new one, and data that is
// reported as more recent than it is.
func TestAgesAndTermChange(t *testing.T) {
	g := group.New("ledger")
	config := group.Config{Members: []ident.Upstream{"a", "b", "c"}, Size: 3, Term: 2, Primary: "a"}
	g.Configure(0, config)
	g.Report(120*ms, primary(100*ms, 2, group.Row{Upstream: "b", Term: 2, Flush: 90, Replay: 80, Age: 7 * time.Millisecond}))
	g.Report(130*ms, replica("c", 110*ms, 2, 70, true))

	p := g.Positions(200 * ms)
	require.True(t, p.Confirmed)
	require.Equal(t, 100*ms, p.KnownAt, "the time of the query counts, not that of the answer")
	require.Equal(t, 107*time.Millisecond, p.Held[1].Age)
	require.Equal(t, ident.LSN(80), p.Held[1].Position.LSN, "reads see replayed records")
	require.Equal(t, ident.LSN(90), p.Majority.LSN, "the majority counts flushed records")
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
