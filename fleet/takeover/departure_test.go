package takeover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/takeover"
)

// at returns a position in the log of the first term.
func at(number int) ident.Position {
	return ident.Position{Term: 1, LSN: ident.LSN(number)}
}

// Guards against the promotion of an upstream that lacks an acknowledged write which only a replica has that must get no new work, or one
// that is gone, or one whose place the former primary takes in the count.
func TestChooseBesideUncountedReplicas(t *testing.T) {
	for name, c := range map[string]struct {
		decision  takeover.Decision
		positions map[ident.Upstream]ident.Position
		want      ident.Upstream
	}{
		"an ending replica has more": {
			takeover.Decision{Candidates: []ident.Upstream{"c"}, Ending: []ident.Upstream{"b"}, Replicas: 2},
			map[ident.Upstream]ident.Position{"b": at(9), "c": at(5)},
			"",
		},
		"an ending replica has as much": {
			takeover.Decision{Candidates: []ident.Upstream{"c"}, Ending: []ident.Upstream{"b"}, Replicas: 2},
			map[ident.Upstream]ident.Position{"b": at(9), "c": at(9)},
			"c",
		},
		"an evacuated replica has more": {
			takeover.Decision{Candidates: []ident.Upstream{"c"}, Evacuated: []ident.Upstream{"b"}, Replicas: 2},
			map[ident.Upstream]ident.Position{"b": at(9), "c": at(5)},
			"b",
		},
		"an evacuated replica has as much": {
			takeover.Decision{Candidates: []ident.Upstream{"c"}, Evacuated: []ident.Upstream{"b"}, Replicas: 2},
			map[ident.Upstream]ident.Position{"b": at(9), "c": at(9)},
			"c",
		},
		"a replica has departed": {
			takeover.Decision{Candidates: []ident.Upstream{"c"}, Replicas: 2, Departed: 1},
			map[ident.Upstream]ident.Position{"c": at(9)},
			"",
		},
		"the candidate does not reach the floor": {
			takeover.Decision{Candidates: []ident.Upstream{"c"}, Replicas: 1, Floor: at(6)},
			map[ident.Upstream]ident.Position{"c": at(5)},
			"",
		},
		"the candidate reaches the floor": {
			takeover.Decision{Candidates: []ident.Upstream{"c"}, Replicas: 1, Floor: at(5)},
			map[ident.Upstream]ident.Position{"c": at(5)},
			"c",
		},
		"the former primary started again": {
			takeover.Decision{Primary: "a", Candidates: []ident.Upstream{"c", "a"}, Replicas: 2},
			map[ident.Upstream]ident.Position{"a": at(0), "c": at(5)},
			"",
		},
		"the former primary has kept its log": {
			takeover.Decision{Primary: "a", Candidates: []ident.Upstream{"c", "a"}, Replicas: 2, Complete: "a"},
			map[ident.Upstream]ident.Position{"a": at(9), "c": at(5)},
			"a",
		},
		"the successor of the primary has its log": {
			takeover.Decision{Primary: "a", Candidates: []ident.Upstream{"c", "d"}, Replicas: 3, Departed: 1, Complete: "d"},
			map[ident.Upstream]ident.Position{"c": at(5), "d": at(9)},
			"d",
		},
		"that successor does not answer": {
			takeover.Decision{Primary: "a", Candidates: []ident.Upstream{"c", "d"}, Replicas: 3, Departed: 1, Complete: "d"},
			map[ident.Upstream]ident.Position{"c": at(5)},
			"",
		},
	} {
		got, ok := takeover.Choose(&c.decision, c.positions, 1)
		require.Equal(t, c.want, got, name)
		require.Equal(t, c.want != "", ok, name)
	}
}

// departed is a simulation whose replica b has ended.
func departed(t *testing.T, left takeover.Departure) *simulation {
	s := newSimulation()
	require.Nil(t, s.run(5*time.Second))
	require.True(t, s.decider.FloorDue(s.now), "a new leader doesn't know what has departed before")
	s.decider.SetFloor(s.now, "a", at(1))
	s.now = s.now.Add(time.Second)
	delete(s.members, "b")
	s.order = []ident.Upstream{"a", "c"}
	left.At = s.now
	s.decider.SetDepartures([]takeover.Departure{left})
	return s
}

// crash lets the primary crash and returns the decision to replace it.
func (s *simulation) crash(t *testing.T) *takeover.Decision {
	s.members["a"].announces, s.members["a"].answersHosts, s.members["a"].answersLeader = false, false, false
	decision := s.run(10 * time.Second)
	require.NotNil(t, decision)
	require.Equal(t, []ident.Upstream{"c"}, decision.Candidates)
	return decision
}

// Guards against a replica that isn't counted any more as soon as it has ended, although it may be the only one with an acknowledged
// write, and against one that is counted for ever.
func TestDepartedReplicaCounts(t *testing.T) {
	decision := departed(t, takeover.Departure{Upstream: "b"}).crash(t)
	require.Equal(t, 2, decision.Replicas)
	require.Equal(t, 1, decision.Departed)

	s := departed(t, takeover.Departure{Upstream: "b"})
	require.False(t, s.decider.FloorDue(s.now.Add(100*time.Millisecond)), "it may still run")
	s.now = s.now.Add(time.Second)
	require.True(t, s.decider.FloorDue(s.now), "its last writes are in the position now")
	require.False(t, s.decider.FloorDue(s.now), "a reading is under way")
	s.decider.SetFloor(s.now, "a", at(7))
	require.False(t, s.decider.FloorDue(s.now.Add(time.Hour)))
	decision = s.crash(t)
	require.Equal(t, 1, decision.Replicas)
	require.Equal(t, at(7), decision.Floor)

	decision = departed(t, takeover.Departure{Upstream: "b", Primary: true}).crash(t)
	require.Equal(t, 1, decision.Replicas, "a former primary is none of the replicas that a write has waited for")
}

// Guards against the promotion of a replica that has received nothing since the last promotion: the new primary alone may hold the writes
// that were acknowledged before. A new leader must know as much from the control log.
func TestFloorAfterPromotion(t *testing.T) {
	s := newSimulation()
	require.Nil(t, s.run(5*time.Second))
	s.decider.Promoted(s.now, "b", at(9))
	s.members["a"].primary, s.members["b"].primary = false, true
	require.Nil(t, s.run(5*time.Second))
	*s.members["b"] = member{primary: true, lastAnnounced: s.now}
	decision := s.run(10 * time.Second)
	require.NotNil(t, decision)
	require.Equal(t, at(9), decision.Floor)

	for _, executed := range []bool{true, false} {
		s = newSimulation()
		s.decider = takeover.New(s.now, "b", at(9))
		s.members["a"].primary, s.members["b"].primary = !executed, executed
		require.Nil(t, s.run(5*time.Second))
		for _, id := range []ident.Upstream{"a", "b"} {
			*s.members[id] = member{primary: s.members[id].primary, lastAnnounced: s.now}
		}
		decision = s.run(10 * time.Second)
		require.NotNil(t, decision)
		require.Equal(t, executed, decision.Floor == at(9), "an order that was not executed sets no floor")
	}
}

// Guards against a service that gets no primary because the floor was read from one that had written nothing since its promotion: its
// position has the new term, while those of replicas have the term of their last write.
func TestFloorOfQuietPrimary(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		s := newSimulation()
		require.Nil(t, s.run(5*time.Second))
		s.members["a"].primary, s.members["b"].primary = false, true
		if inherited {
			s.decider = takeover.New(s.now, "b", at(9))
		} else {
			s.decider.Promoted(s.now, "b", at(9))
		}
		require.Nil(t, s.run(5*time.Second))
		s.decider.SetFloor(s.now, "b", ident.Position{Term: 2, LSN: 9})
		*s.members["b"] = member{primary: true, lastAnnounced: s.now}
		decision := s.run(10 * time.Second)
		require.NotNil(t, decision)
		chosen, ok := takeover.Choose(decision, map[ident.Upstream]ident.Position{"a": at(9), "c": at(8)}, 1)
		require.True(t, ok)
		require.Equal(t, ident.Upstream("a"), chosen)
		_, ok = takeover.Choose(decision, map[ident.Upstream]ident.Position{"a": at(8), "c": at(8)}, 1)
		require.False(t, ok, "neither has all that was acknowledged before the promotion")
	}
}
