package takeover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/takeover"
)

// world plays a service before a Decider, in steps of 100 ms.
type world struct {
	now     ident.Time
	decider *takeover.Decider
	members map[ident.Upstream]*member
	order   []ident.Upstream
}

type member struct {
	primary, leaving bool
	// Each of these says whom the upstream still reaches.
	announces, answersLeader, answersHosts bool
	heard                                  ident.Time
}

func newWorld() *world {
	w := &world{now: ident.Time(time.Hour), members: map[ident.Upstream]*member{}, order: []ident.Upstream{"a", "b", "c"}}
	for _, id := range w.order {
		w.members[id] = &member{announces: true, answersLeader: true, answersHosts: true, heard: w.now}
	}
	w.members["a"].primary = true
	w.decider = takeover.New(w.now, "")
	return w
}

// run lets time pass and returns the first decision.
func (w *world) run(d time.Duration) *takeover.Decision {
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(100 * time.Millisecond) {
		var list []takeover.Member
		for _, id := range w.order {
			m := w.members[id]
			if m.announces && w.now.Sub(m.heard) >= 1200*time.Millisecond {
				m.heard = w.now
			}
			list = append(list, takeover.Member{Upstream: id, Primary: m.primary, Leaving: m.leaving, LastAnnounced: m.heard})
		}
		w.decider.SetMembers(w.now, list)
		if p := w.members[w.decider.Primary()]; p != nil {
			if p.answersHosts {
				w.decider.Answered(w.decider.Primary(), w.now)
			}
			if w.decider.ProbeDue(w.now) {
				if p.answersLeader {
					w.decider.Answered(w.decider.Primary(), w.now)
				} else {
					w.decider.Failed(w.decider.Primary(), w.now)
				}
			}
		}
		if decision := w.decider.Decide(w.now); decision != nil {
			return decision
		}
	}
	return nil
}

// Guards against a primary that is replaced although it is only cut off from some, and one that is dead and stays.
func TestDetect(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(w *world)
		cause   string
		planned bool
	}{
		"healthy":                 {func(*world) {}, "", false},
		"cut off from the leader": {func(w *world) { w.members["a"].answersLeader = false }, "", false},
		"cut off from the hosts":  {func(w *world) { w.members["a"].answersHosts = false }, "", false},
		"announces only": {func(w *world) {
			w.members["a"].answersHosts, w.members["a"].answersLeader = false, false
		}, "", false},
		"dark": {func(w *world) {
			*w.members["a"] = member{primary: true, heard: w.now}
		}, "the primary does not answer", false},
		"dark and alone": {func(w *world) {
			for _, m := range w.members {
				*m = member{primary: m.primary, heard: w.now.Add(-10 * time.Second)}
			}
		}, "", false},
		"leaving":  {func(w *world) { w.members["a"].leaving = true }, "the primary must get no new work", true},
		"ended":    {func(w *world) { delete(w.members, "a"); w.order = w.order[1:] }, "the primary has ended", false},
		"restarts": {func(w *world) { w.members["a"].primary = false }, "no upstream is the primary", false},
		"others leave too": {func(w *world) {
			for _, m := range w.members {
				m.leaving = true
			}
		}, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			require.Nil(t, w.run(5*time.Second))
			require.Equal(t, ident.Upstream("a"), w.decider.Primary())
			c.change(w)
			decision := w.run(20 * time.Second)
			if c.cause == "" {
				require.Nil(t, decision)
				return
			}
			require.NotNil(t, decision)
			require.Equal(t, c.cause, decision.Cause)
			require.Equal(t, c.planned, decision.Planned)
		})
	}
}

// Guards against a second promotion while the first is still taking effect, and a Decider that goes back to the old primary.
func TestSettles(t *testing.T) {
	w := newWorld()
	require.Nil(t, w.run(5*time.Second))
	*w.members["a"] = member{primary: true, heard: w.now}
	require.NotNil(t, w.run(10*time.Second))
	w.decider.Promoted(w.now, "b")
	require.Nil(t, w.run(2*time.Second), "b has not announced itself yet, and a still does in the directory")
	require.Equal(t, ident.Upstream("b"), w.decider.Primary())
	w.members["b"].primary, w.members["a"].primary = true, false
	require.Nil(t, w.run(20*time.Second))
	require.Equal(t, ident.Upstream("b"), w.decider.Primary())
}

// Guards against a new leader that decides before it has heard from upstreams, and one that never promotes where there is no
// primary.
func TestNewLeader(t *testing.T) {
	w := newWorld()
	w.members["a"].primary = false
	require.Nil(t, w.run(2400*time.Millisecond))
	decision := w.run(5 * time.Second)
	require.NotNil(t, decision)
	require.ElementsMatch(t, []ident.Upstream{"a", "b", "c"}, decision.Candidates)
	w.decider.NotPromoted(w.now)
	require.Nil(t, w.decider.Decide(w.now.Add(100*time.Millisecond)))
	require.NotNil(t, w.decider.Decide(w.now.Add(time.Second)))
}

// Guards against the promotion of an upstream that lacks what another holds, and, where writes wait for replicas, of one that
// may lack an acknowledged write.
func TestChoose(t *testing.T) {
	at := func(term, number int) ident.Position {
		return ident.Position{Term: ident.Term(term), LSN: ident.LSN(number)}
	}
	d := &takeover.Decision{Candidates: []ident.Upstream{"b", "c"}, Replicas: 2}
	for name, c := range map[string]struct {
		positions map[ident.Upstream]ident.Position
		synced    int
		want      ident.Upstream
	}{
		"furthest":                      {map[ident.Upstream]ident.Position{"b": at(1, 5), "c": at(1, 9)}, 0, "c"},
		"later term":                    {map[ident.Upstream]ident.Position{"b": at(2, 5), "c": at(1, 9)}, 0, "b"},
		"the only one that answers":     {map[ident.Upstream]ident.Position{"b": at(1, 5)}, 0, "b"},
		"none answers":                  {nil, 0, ""},
		"synced, one answers":           {map[ident.Upstream]ident.Position{"b": at(1, 5)}, 1, ""},
		"synced, both answer":           {map[ident.Upstream]ident.Position{"b": at(1, 5), "c": at(1, 9)}, 1, "c"},
		"all are synced, one is enough": {map[ident.Upstream]ident.Position{"b": at(1, 5)}, 2, "b"},
		"empty logs":                    {map[ident.Upstream]ident.Position{"c": {}}, 0, "c"},
	} {
		got, ok := takeover.Choose(d, c.positions, c.synced)
		require.Equal(t, c.want, got, name)
		require.Equal(t, c.want != "", ok, name)
	}
}
