package takeover_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/takeover"
)

// simulation runs a Decider against a simulated service in steps of 100 ms.
type simulation struct {
	now     ident.Time
	decider *takeover.Decider
	members map[ident.Upstream]*member
	order   []ident.Upstream
}

type member struct {
	primary, leaving bool
	// Each of these is set while the upstream still reaches the respective receivers.
	announces, answersLeader, answersHosts bool
	lastAnnounced                          ident.Time
}

func newSimulation() *simulation {
	s := &simulation{now: ident.Time(time.Hour), members: map[ident.Upstream]*member{}, order: []ident.Upstream{"a", "b", "c"}}
	for _, id := range s.order {
		s.members[id] = &member{announces: true, answersLeader: true, answersHosts: true, lastAnnounced: s.now}
	}
	s.members["a"].primary = true
	s.decider = takeover.New(s.now, "", ident.Position{})
	return s
}

// run advances the time by up to d and returns the first decision, or nil.
func (s *simulation) run(d time.Duration) *takeover.Decision {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(100 * time.Millisecond) {
		var list []takeover.Member
		for _, id := range s.order {
			m := s.members[id]
			if m.announces && s.now.Sub(m.lastAnnounced) >= 1200*time.Millisecond {
				m.lastAnnounced = s.now
			}
			list = append(list, takeover.Member{Upstream: id, Primary: m.primary, Leaving: m.leaving, LastAnnounced: m.lastAnnounced})
		}
		s.decider.SetMembers(s.now, list)
		if p := s.members[s.decider.Primary()]; p != nil {
			if p.answersHosts {
				s.decider.Answered(s.decider.Primary(), s.now)
			}
			if s.decider.ProbeDue(s.now) {
				if p.answersLeader {
					s.decider.Answered(s.decider.Primary(), s.now)
				} else {
					s.decider.Failed(s.decider.Primary(), s.now)
				}
			}
		}
		if decision := s.decider.Decide(s.now); decision != nil {
			return decision
		}
	}
	return nil
}

// Guards against replacing a primary that is only unreachable for some hosts, and against keeping one that is dead.
func TestDecisionCauses(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(s *simulation)
		cause   string
		planned bool
	}{
		"healthy":                 {func(*simulation) {}, "", false},
		"cut off from the leader": {func(s *simulation) { s.members["a"].answersLeader = false }, "", false},
		"cut off from the hosts":  {func(s *simulation) { s.members["a"].answersHosts = false }, "", false},
		"announces only": {func(s *simulation) {
			s.members["a"].answersHosts, s.members["a"].answersLeader = false, false
		}, "", false},
		"announces nothing and answers hosts": {func(s *simulation) {
			s.members["a"].announces, s.members["a"].answersLeader = false, false
		}, "the announcements of the primary do not arrive", true},
		"announces nothing": {func(s *simulation) {
			s.members["a"].announces, s.members["a"].answersLeader, s.members["a"].answersHosts = false, false, false
		}, "the primary does not answer", false},
		"unresponsive": {func(s *simulation) {
			*s.members["a"] = member{primary: true, lastAnnounced: s.now}
		}, "the primary does not answer", false},
		"unresponsive and no candidate": {func(s *simulation) {
			for _, m := range s.members {
				*m = member{primary: m.primary, lastAnnounced: s.now.Add(-10 * time.Second)}
			}
		}, "", false},
		"leaving":  {func(s *simulation) { s.members["a"].leaving = true }, "the primary must get no new work", true},
		"removed":  {func(s *simulation) { delete(s.members, "a"); s.order = s.order[1:] }, "the primary has ended", false},
		"restarts": {func(s *simulation) { s.members["a"].primary = false }, "no upstream is the primary", false},
		"others leave too": {func(s *simulation) {
			for _, m := range s.members {
				m.leaving = true
			}
		}, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation()
			require.Nil(t, s.run(5*time.Second))
			require.Equal(t, ident.Upstream("a"), s.decider.Primary())
			c.change(s)
			decision := s.run(20 * time.Second)
			if c.cause == "" {
				require.Nil(t, decision)
				return
			}
			require.NotNil(t, decision)
			require.Equal(t, c.cause, decision.Cause)
			require.Equal(t, c.planned, decision.Planned)
			require.Equal(t, c.cause == "the announcements of the primary do not arrive", decision.Serving)
		})
	}
}

// Guards against an unplanned replacement of a promoted upstream that serves hosts but has not reached the core since its promotion, and
// against keeping one that has announced itself as a replica.
func TestPromotedUpstreamWithoutAnnouncements(t *testing.T) {
	for _, announced := range []bool{false, true} {
		s := newSimulation()
		require.Nil(t, s.run(5*time.Second))
		*s.members["a"] = member{primary: true, lastAnnounced: s.now}
		require.NotNil(t, s.run(10*time.Second))
		s.members["b"].announces, s.members["b"].answersLeader = announced, false
		s.decider.Promoted(s.now, "b", ident.Position{})
		decision := s.run(20 * time.Second)
		require.NotNil(t, decision)
		require.Equal(t, ident.Upstream("b"), decision.Primary)
		require.Equal(t, !announced, decision.Serving, decision.Cause)
	}
}

// Guards against a replacement that is given up although replicas are paused or an order may still be executed, and against one that
// promotes the primary which it replaces.
func TestUnfinishedReplacementIsCompleted(t *testing.T) {
	s := newSimulation()
	require.Nil(t, s.run(5*time.Second))
	s.decider.Unfinished(s.now)
	decision := s.run(5 * time.Second)
	require.NotNil(t, decision, "although the primary serves")
	require.Equal(t, ident.Upstream("a"), decision.Primary)
	require.Equal(t, []ident.Upstream{"b", "c"}, decision.Candidates)
	require.Equal(t, 2, decision.Replicas)

	// The order was executed after all.
	s.members["a"].primary, s.members["b"].primary = false, true
	s.decider.Unfinished(s.now)
	decision = s.run(5 * time.Second)
	require.NotNil(t, decision)
	require.Equal(t, ident.Upstream("a"), decision.Primary)
	s.decider.Promoted(s.now, "b", ident.Position{})
	require.Nil(t, s.run(20*time.Second))
	require.Equal(t, ident.Upstream("b"), s.decider.Primary())
}

// Guards against a second promotion before the first has taken effect, and against a Decider that returns to the old primary.
func TestPromotionSettles(t *testing.T) {
	s := newSimulation()
	require.Nil(t, s.run(5*time.Second))
	*s.members["a"] = member{primary: true, lastAnnounced: s.now}
	require.NotNil(t, s.run(10*time.Second))
	s.decider.Promoted(s.now, "b", ident.Position{})
	require.Nil(t, s.run(2*time.Second), "the directory still has a as the primary, since b has not announced itself yet")
	require.Equal(t, ident.Upstream("b"), s.decider.Primary())
	s.members["b"].primary, s.members["a"].primary = true, false
	require.Nil(t, s.run(20*time.Second))
	require.Equal(t, ident.Upstream("b"), s.decider.Primary())
}

// Guards against a new leader that decides before it has received announcements, and one that never promotes an upstream
// if there is no primary.
func TestNewLeader(t *testing.T) {
	s := newSimulation()
	s.members["a"].primary = false
	require.Nil(t, s.run(2400*time.Millisecond))
	decision := s.run(5 * time.Second)
	require.NotNil(t, decision)
	require.ElementsMatch(t, []ident.Upstream{"a", "b", "c"}, decision.Candidates)
	s.decider.NotPromoted(s.now)
	require.Nil(t, s.decider.Decide(s.now.Add(100*time.Millisecond)))
	require.NotNil(t, s.decider.Decide(s.now.Add(time.Second)))
}

// Guards against a dead primary that a new leader replaces only after the time in which one that knows nothing collects announcements,
// although it has followed them itself, and against a leader that decides so early without having followed them, or for another cause.
func TestNewLeaderThatHasFollowed(t *testing.T) {
	const start = ident.Time(time.Hour)
	const early, late = 1600 * time.Millisecond, 2500 * time.Millisecond
	ago := func(d time.Duration) ident.Time { return start.Add(-d) }
	dead := takeover.Member{Upstream: "a", Primary: true, LastAnnounced: ago(time.Second)}
	replica := takeover.Member{Upstream: "b", LastAnnounced: ago(500 * time.Millisecond)}
	for name, c := range map[string]struct {
		successor ident.Upstream
		first     []takeover.Member
		// answers is set while the primary answers other hosts, and announces while it announces itself.
		answers, announces bool
		want               time.Duration
	}{
		"followed":                      {first: []takeover.Member{dead, replica}, want: early},
		"followed, it was ordered":      {successor: "a", first: []takeover.Member{dead, replica}, want: early},
		"it answers hosts":              {first: []takeover.Member{dead, replica}, answers: true},
		"it announces itself":           {first: []takeover.Member{dead, replica}, announces: true},
		"an order may be under way":     {successor: "b", first: []takeover.Member{dead, replica}, want: late},
		"an entry is restored":          {first: []takeover.Member{dead, replica, {Upstream: "c", Restored: true, LastAnnounced: start}}, want: late},
		"the leader was cut off":        {first: []takeover.Member{dead, {Upstream: "b", LastAnnounced: ago(3 * time.Second)}}, want: late},
		"the leader knows no replica":   {first: []takeover.Member{dead}, want: late},
		"a planned replacement is due":  {first: []takeover.Member{{Upstream: "a", Primary: true, Leaving: true, LastAnnounced: start}, replica}, answers: true, want: late},
		"no upstream claims to lead it": {first: []takeover.Member{{Upstream: "a", LastAnnounced: ago(time.Second)}, replica}, want: late},
	} {
		t.Run(name, func(t *testing.T) {
			d := takeover.New(start, c.successor, ident.Position{})
			var took time.Duration
			for now := start; took == 0 && now < start.Add(3*time.Second); now = now.Add(100 * time.Millisecond) {
				members := slices.Clone(c.first)
				if now > start || c.successor == "b" {
					members = append(members[:1], takeover.Member{Upstream: "b", LastAnnounced: now}, takeover.Member{Upstream: "c", LastAnnounced: now})
				}
				if c.successor == "b" {
					// The primary is the one that was ordered, and it has ended too.
					members[1].LastAnnounced = replica.LastAnnounced
				}
				if c.announces {
					members[0].LastAnnounced = now
				}
				d.SetMembers(now, members)
				if c.answers {
					d.Answered(d.Primary(), now)
				} else if d.ProbeDue(now) {
					d.Failed(d.Primary(), now)
				}
				if d.Decide(now) != nil {
					took = now.Sub(start)
				}
			}
			require.Equal(t, c.want, took)
		})
	}
}

// Guards against promoting an upstream whose log is behind another's and, if writes wait for replicas, one that may lack an
// acknowledged write.
func TestChoose(t *testing.T) {
	at := func(term, number int) ident.Position {
		return ident.Position{Term: ident.Term(term), LSN: ident.LSN(number)}
	}
	d := &takeover.Decision{Candidates: []ident.Upstream{"b", "c"}, Replicas: 2}
	for name, c := range map[string]struct {
		positions    map[ident.Upstream]ident.Position
		syncReplicas int
		want         ident.Upstream
	}{
		"latest position":                  {map[ident.Upstream]ident.Position{"b": at(1, 5), "c": at(1, 9)}, 0, "c"},
		"later term":                       {map[ident.Upstream]ident.Position{"b": at(2, 5), "c": at(1, 9)}, 0, "b"},
		"the only one that answers":        {map[ident.Upstream]ident.Position{"b": at(1, 5)}, 0, "b"},
		"none answers":                     {nil, 0, ""},
		"one synced replica, one answers":  {map[ident.Upstream]ident.Position{"b": at(1, 5)}, 1, ""},
		"one synced replica, both answer":  {map[ident.Upstream]ident.Position{"b": at(1, 5), "c": at(1, 9)}, 1, "c"},
		"all replicas synced, one answers": {map[ident.Upstream]ident.Position{"b": at(1, 5)}, 2, "b"},
		"empty logs":                       {map[ident.Upstream]ident.Position{"c": {}}, 0, "c"},
	} {
		got, ok := takeover.Choose(d, c.positions, c.syncReplicas)
		require.Equal(t, c.want, got, name)
		require.Equal(t, c.want != "", ok, name)
	}
}

// Guards against a promotion that loses an acknowledged write because the primary, which is no longer a member, was not counted
// among the members but subtracted from them.
func TestReplicasWithoutThePrimary(t *testing.T) {
	s := newSimulation()
	require.Nil(t, s.run(4*time.Second))
	delete(s.members, "a")
	s.order = []ident.Upstream{"b", "c"}
	decision := s.run(4 * time.Second)
	require.NotNil(t, decision)
	require.Equal(t, "the primary has ended", decision.Cause)
	_, ok := takeover.Choose(decision, map[ident.Upstream]ident.Position{"b": {Term: 1, LSN: 4}}, 1)
	require.False(t, ok, "the other replica may hold a later acknowledged write")
	chosen, ok := takeover.Choose(decision, map[ident.Upstream]ident.Position{"b": {Term: 1, LSN: 4}, "c": {Term: 1, LSN: 5}}, 1)
	require.True(t, ok)
	require.Equal(t, ident.Upstream("c"), chosen)
}

// Guards against a service without a primary for as long as a dead primary is listed: a new leader that does not know which
// upstream was the primary takes the one that no longer announces itself for it.
func TestReplicasOfAnUnknownPrimary(t *testing.T) {
	s := newSimulation()
	s.members["a"].primary, s.members["a"].announces = false, false
	for range 20 {
		decision := s.run(10 * time.Second)
		require.NotNil(t, decision)
		require.Equal(t, "no upstream is the primary", decision.Cause)
		_, ok := takeover.Choose(decision, map[ident.Upstream]ident.Position{"b": {Term: 1, LSN: 4}}, 1)
		require.False(t, ok, "the other replica may hold a later acknowledged write")
		if _, ok = takeover.Choose(decision, map[ident.Upstream]ident.Position{"b": {Term: 1, LSN: 4}, "c": {Term: 1, LSN: 5}}, 1); ok {
			return
		}
		s.decider.NotPromoted(s.now)
	}
	require.Fail(t, "no replica is promoted while the dead primary is listed")
}

// Guards against a service without a primary until the upstreams announce themselves after a restart of the core, and against a primary
// that is taken from an entry saved before although another upstream announces itself as the primary, or the log has a later order.
func TestRestoredPrimary(t *testing.T) {
	const now = ident.Time(time.Hour)
	saved := takeover.Member{Upstream: "a", Primary: true, Restored: true, LastAnnounced: now}
	replica := takeover.Member{Upstream: "a", LastAnnounced: now.Add(time.Second)}
	other := takeover.Member{Upstream: "b", Primary: true, LastAnnounced: now.Add(time.Second)}
	for name, c := range map[string]struct {
		successor ident.Upstream
		// first are the members when the leader begins, and next those a second later.
		first, next []takeover.Member
		atOnce      ident.Upstream
		later       ident.Upstream
	}{
		"confirmed": {
			first: []takeover.Member{saved}, next: []takeover.Member{{Upstream: "a", Primary: true, LastAnnounced: now.Add(time.Second)}},
			atOnce: "a", later: "a",
		},
		"not yet confirmed":        {first: []takeover.Member{saved}, next: []takeover.Member{saved}, atOnce: "a", later: "a"},
		"another claims the role":  {first: []takeover.Member{saved}, next: []takeover.Member{saved, other}, atOnce: "a", later: "b"},
		"it is a replica now":      {first: []takeover.Member{saved}, next: []takeover.Member{replica, other}, atOnce: "a", later: "b"},
		"the log has an order":     {successor: "c", first: []takeover.Member{saved}, next: []takeover.Member{saved}, atOnce: "c", later: "c"},
		"another has claimed it":   {first: []takeover.Member{saved, other}, next: []takeover.Member{saved, other}, atOnce: "b", later: "b"},
		"it is dropped, and alone": {first: []takeover.Member{saved}, next: nil, atOnce: "a", later: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			d := takeover.New(now, c.successor, ident.Position{})
			d.SetMembers(now, c.first)
			require.Equal(t, c.atOnce, d.Primary())
			d.SetMembers(now.Add(time.Second), c.next)
			require.Equal(t, c.later, d.Primary())
		})
	}
}

// Guards against a dead primary that is replaced later because a restored entry still names it.
func TestRestoredPrimaryThatIsDead(t *testing.T) {
	now := ident.Time(time.Hour)
	d := takeover.New(now, "", ident.Position{})
	start := now
	var decision *takeover.Decision
	for ; decision == nil && now < start.Add(10*time.Second); now = now.Add(100 * time.Millisecond) {
		members := []takeover.Member{{Upstream: "b", LastAnnounced: now}, {Upstream: "c", LastAnnounced: now}}
		if now.Sub(start) < 3*time.Second {
			members = append(members, takeover.Member{Upstream: "a", Primary: true, Restored: true, LastAnnounced: start})
		}
		d.SetMembers(now, members)
		if d.ProbeDue(now) {
			d.Failed("a", now)
		}
		decision = d.Decide(now)
	}
	require.NotNil(t, decision)
	require.Equal(t, []ident.Upstream{"b", "c"}, decision.Candidates)
	require.Equal(t, 2500*time.Millisecond, now.Sub(start)-100*time.Millisecond, "as soon as a new leader may decide")
}
