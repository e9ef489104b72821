package history

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
)

var (
	ada = ident.Session{Service: "rentals", Team: "market", User: "ada"}
	bea = ident.Session{Service: "rentals", Team: "market", User: "bea"}
)

func newWrite(s ident.Session, start, end uint64, outcome Outcome, ids ...string) Write {
	return Write{Span: Span{start, end}, Session: s, IDs: ids, Outcome: outcome}
}

func withCounter(w Write) Write {
	w.Counted = true
	return w
}

// Guards against a checker that misses a violation, which would let a faulty proxy pass, and against one that reports a
// violation in a correct history. Each case is a history with one violation or a similar one without.
func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		events []Event
		rows   map[string]int
		count  int
		want   []Fault
	}{
		{name: "correct", events: []Event{
			newWrite(ada, 1, 2, Acknowledged, "a"),
			Read{Span: Span{3, 4}, Session: ada, ID: "a", Found: 1},
			Count{Span{5, 6}, ada, 1},
			newWrite(ada, 7, 8, NotRun, "b"), newWrite(ada, 9, 10, Unknown, "c"),
			Count{Span{11, 12}, ada, 2},
		}, rows: map[string]int{"a": 1, "c": 1}},
		{name: "unknown that did not run", events: []Event{newWrite(ada, 1, 2, Unknown, "a"), Read{Span: Span{3, 4}, Session: ada, ID: "a", Found: 0}}},
		{name: "lost", events: []Event{newWrite(ada, 1, 2, Acknowledged, "a")}, want: []Fault{Lost}},
		{name: "doubled rows", events: []Event{newWrite(ada, 1, 2, Unknown, "a")}, rows: map[string]int{"a": 2}, want: []Fault{Doubled}},
		{name: "write answered as a duplicate", events: []Event{newWrite(ada, 1, 2, Duplicate, "a")}, rows: map[string]int{"a": 1}, want: []Fault{Doubled}},
		{
			name: "doubled counter", events: []Event{withCounter(newWrite(ada, 1, 2, Acknowledged, "a"))},
			rows: map[string]int{"a": 1}, count: 2, want: []Fault{Doubled},
		},
		{name: "counter without record", events: []Event{withCounter(newWrite(ada, 1, 2, Unknown, "a"))}, count: 1, want: []Fault{Doubled}},
		{
			name: "record without counter", events: []Event{withCounter(newWrite(ada, 1, 2, Unknown, "a"))},
			rows: map[string]int{"a": 1}, want: []Fault{Torn},
		},
		{name: "partial transaction", events: []Event{newWrite(ada, 1, 2, Unknown, "a", "b")}, rows: map[string]int{"a": 1}, want: []Fault{Torn}},
		{name: "phantom in the final state", events: []Event{newWrite(ada, 1, 2, NotRun, "a")}, rows: map[string]int{"a": 1}, want: []Fault{Phantom}},
		{name: "phantom that no client wrote", rows: map[string]int{"a": 1}, want: []Fault{Phantom}},
		{name: "phantom in a read", events: []Event{newWrite(ada, 1, 2, NotRun, "a"), Read{Span: Span{3, 4}, Session: ada, ID: "a", Found: 1}}, want: []Fault{Phantom}},
		{name: "phantom in a count", events: []Event{newWrite(ada, 1, 2, NotRun, "a"), Count{Span{3, 4}, ada, 1}}, want: []Fault{Phantom}},
		{
			name: "stale read", events: []Event{newWrite(ada, 1, 2, Acknowledged, "a"), Read{Span: Span{3, 4}, Session: ada, ID: "a", Found: 0}},
			rows: map[string]int{"a": 1}, want: []Fault{Stale},
		},
		{
			name: "stale count", events: []Event{newWrite(ada, 1, 2, Acknowledged, "a"), Count{Span{3, 4}, ada, 0}},
			rows: map[string]int{"a": 1}, want: []Fault{Stale},
		},
		{
			name: "read concurrent with the write", events: []Event{newWrite(ada, 1, 4, Acknowledged, "a"), Read{Span: Span{2, 3}, Session: ada, ID: "a", Found: 0}},
			rows: map[string]int{"a": 1},
		},
		{
			name: "read of another session", events: []Event{newWrite(ada, 1, 2, Acknowledged, "a"), Read{Span: Span{3, 4}, Session: bea, ID: "a", Found: 0}},
			rows: map[string]int{"a": 1},
		},
		{
			name: "read before the write", events: []Event{Read{Span: Span{1, 2}, Session: ada, ID: "a", Found: 1}, newWrite(ada, 3, 4, Acknowledged, "a")},
			rows: map[string]int{"a": 1}, want: []Fault{Phantom},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			final := NewFinalState()
			for id, n := range c.rows {
				final.Rows[id] = n
			}
			final.Counters[ada] = c.count
			var got []Fault
			for _, v := range Check(c.events, final).Violations {
				got = append(got, v.Fault)
			}
			require.Equal(t, c.want, got)
		})
	}
}

// If failed writes ended a gap, LongestGap would miss a failover during which every write fails.
func TestLongestGapCountsOnlyAcknowledgedWrites(t *testing.T) {
	at := func(outcome Outcome, at ident.Time) Write {
		return Write{Session: ada, Outcome: outcome, At: at}
	}
	events := []Event{at(Acknowledged, 10), at(Unknown, 15), at(Acknowledged, 30), at(Acknowledged, 35)}
	longest, from := LongestGap(events, "rentals", 0)
	require.Equal(t, ident.Time(20), longest)
	require.Equal(t, ident.Time(10), from)
}
