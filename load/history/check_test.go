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

func wrote(s ident.Session, start, end uint64, outcome Outcome, ids ...string) Write {
	return Write{Span: Span{start, end}, Session: s, IDs: ids, Outcome: outcome}
}

func counted(w Write) Write {
	w.Counted = true
	return w
}

// Each case is a history with one broken promise, or a correct one that looks close to it; a checker that misses the
// first would let a broken proxy pass, and one that flags the second would make runs with failures useless.
func TestCheck(t *testing.T) {
	cases := []struct {
		name   string
		events []Event
		rows   map[string]int
		count  int
		want   []Fault
	}{
		{name: "correct", events: []Event{
			wrote(ada, 1, 2, Acknowledged, "a"),
			Read{Span: Span{3, 4}, Session: ada, ID: "a", Found: 1},
			Count{Span{5, 6}, ada, 1},
			wrote(ada, 7, 8, NotRun, "b"), wrote(ada, 9, 10, Unknown, "c"),
			Count{Span{11, 12}, ada, 2},
		}, rows: map[string]int{"a": 1, "c": 1}},
		{name: "unknown that did not run", events: []Event{wrote(ada, 1, 2, Unknown, "a"), Read{Span: Span{3, 4}, Session: ada, ID: "a", Found: 0}}},
		{name: "lost", events: []Event{wrote(ada, 1, 2, Acknowledged, "a")}, want: []Fault{Lost}},
		{name: "doubled rows", events: []Event{wrote(ada, 1, 2, Unknown, "a")}, rows: map[string]int{"a": 2}, want: []Fault{Doubled}},
		{name: "doubled by repetition", events: []Event{wrote(ada, 1, 2, Duplicate, "a")}, rows: map[string]int{"a": 1}, want: []Fault{Doubled}},
		{
			name: "doubled counter", events: []Event{counted(wrote(ada, 1, 2, Acknowledged, "a"))},
			rows: map[string]int{"a": 1}, count: 2, want: []Fault{Doubled},
		},
		{name: "counter without record", events: []Event{counted(wrote(ada, 1, 2, Unknown, "a"))}, count: 1, want: []Fault{Doubled}},
		{
			name: "record without counter", events: []Event{counted(wrote(ada, 1, 2, Unknown, "a"))},
			rows: map[string]int{"a": 1}, want: []Fault{Torn},
		},
		{name: "half a transaction", events: []Event{wrote(ada, 1, 2, Unknown, "a", "b")}, rows: map[string]int{"a": 1}, want: []Fault{Torn}},
		{name: "phantom at the end", events: []Event{wrote(ada, 1, 2, NotRun, "a")}, rows: map[string]int{"a": 1}, want: []Fault{Phantom}},
		{name: "phantom nobody wrote", rows: map[string]int{"a": 1}, want: []Fault{Phantom}},
		{name: "phantom in a read", events: []Event{wrote(ada, 1, 2, NotRun, "a"), Read{Span: Span{3, 4}, Session: ada, ID: "a", Found: 1}}, want: []Fault{Phantom}},
		{name: "phantom in a count", events: []Event{wrote(ada, 1, 2, NotRun, "a"), Count{Span{3, 4}, ada, 1}}, want: []Fault{Phantom}},
		{
			name: "stale read", events: []Event{wrote(ada, 1, 2, Acknowledged, "a"), Read{Span: Span{3, 4}, Session: ada, ID: "a", Found: 0}},
			rows: map[string]int{"a": 1}, want: []Fault{Stale},
		},
		{
			name: "stale count", events: []Event{wrote(ada, 1, 2, Acknowledged, "a"), Count{Span{3, 4}, ada, 0}},
			rows: map[string]int{"a": 1}, want: []Fault{Stale},
		},
		{
			name: "read beside the write", events: []Event{wrote(ada, 1, 4, Acknowledged, "a"), Read{Span: Span{2, 3}, Session: ada, ID: "a", Found: 0}},
			rows: map[string]int{"a": 1},
		},
		{
			name: "read of another session", events: []Event{wrote(ada, 1, 2, Acknowledged, "a"), Read{Span: Span{3, 4}, Session: bea, ID: "a", Found: 0}},
			rows: map[string]int{"a": 1},
		},
		{
			name: "read before the write", events: []Event{Read{Span: Span{1, 2}, Session: ada, ID: "a", Found: 1}, wrote(ada, 3, 4, Acknowledged, "a")},
			rows: map[string]int{"a": 1}, want: []Fault{Phantom},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			final := NewFinal()
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

// A gap that counted unacknowledged writes would hide a failover during which every write fails.
func TestGapCountsOnlyAcknowledgedWrites(t *testing.T) {
	at := func(outcome Outcome, at ident.Time) Write {
		return Write{Session: ada, Outcome: outcome, At: at}
	}
	events := []Event{at(Acknowledged, 10), at(Unknown, 15), at(Acknowledged, 30), at(Acknowledged, 35)}
	longest, from := Gap(events, "rentals", 0)
	require.Equal(t, ident.Time(20), longest)
	require.Equal(t, ident.Time(10), from)
}
