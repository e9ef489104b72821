package failover_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/failover"
	"tamarackshunt.dev/fleet/ident"
)

// Guards against a failover that loses or duplicates an acknowledged write, leaves a group without a primary, or executes
// other steps than those in the golden files.
func TestScenarios(t *testing.T) {
	tests := []struct {
		name, title string
		play        func(*testing.T, *simulation)
	}{
		{"primary-fails", "Invariant: no acknowledged record is lost. The primary stops under writes.", func(t *testing.T, s *simulation) {
			s.upstreams["a"].down = true
			s.logf("a refuses connections")
			s.run(3 * time.Second)
			require.NotEqual(t, ident.Upstream("a"), s.control.Primary)
		}},
		{"lagging-replica", "Invariant: no acknowledged record is lost. One replica lags when the primary is cut off.", func(t *testing.T, s *simulation) {
			s.upstreams["b"].replicationPaused = true
			s.logf("b lags")
			s.run(time.Second)
			s.upstreams["a"].isolated = true
			s.logf("a is cut off")
			s.run(4 * time.Second)
			require.Equal(t, ident.Upstream("c"), s.control.Primary)
			s.upstreams["b"].replicationPaused = false
			s.logf("b catches up")
		}},
		{"leaving", "Invariant 12: a leaving upstream gets no new work. One leaves, is announced again, leaves and is replaced.", func(t *testing.T, s *simulation) {
			c := s.upstreams["c"]
			c.member.Leaving = true
			s.logf("c announces that it leaves")
			s.run(2 * time.Second)
			require.True(t, s.control.Members[2].Leaving)
			c.member.Leaving = false
			s.logf("c is announced again")
			s.run(2 * time.Second)
			require.False(t, s.control.Members[2].Leaving)
			c.member.Leaving = true
			s.logf("c announces that it leaves")
			s.run(time.Second)
			c.down = true
			d := s.announce("d", "z3")
			d.replicationPaused = true
			s.logf("c stops; d is announced, and lags")
			s.run(10 * time.Second)
			require.Len(t, s.control.Members, 3, "an upstream must not join before it has caught up")
			d.replicationPaused = false
			s.logf("d catches up")
			s.run(12 * time.Second)
			require.Equal(t, ident.Upstream("d"), s.control.Members[2].Upstream)
			s.upstreams["a"].down = true
			s.logf("a refuses connections")
			s.run(3 * time.Second)
		}},
		{"zone-out", "Invariants 8 and 10: an availability zone leaves without a lost or failed write.", func(t *testing.T, s *simulation) {
			s.step(failover.Zones{Out: []ident.Zone{"z1"}})
			s.logf("z1 is taken out of service")
			s.run(2 * time.Second)
			require.NotEqual(t, ident.Upstream("a"), s.control.Primary)
			require.Positive(t, s.retries, "writes during the switchover are refused and retried")
			require.Zero(t, s.unknown, "a planned switchover leaves no write with an unknown outcome")
		}},
		{"primary-leaves", "Invariants 12 and 10: a leaving primary hands over without a lost or failed write.", func(t *testing.T, s *simulation) {
			s.upstreams["a"].member.Leaving = true
			s.logf("a announces that it leaves")
			s.run(2 * time.Second)
			require.NotEqual(t, ident.Upstream("a"), s.control.Primary)
			require.Zero(t, s.unknown, "a planned switchover leaves no write with an unknown outcome")
			s.upstreams["a"].down = true
			s.logf("a stops")
			s.run(time.Second)
			require.Equal(t, ident.Term(2), s.control.Term, "a stopped replica causes no failover")
		}},
		{"target-behind", "Invariant: no acknowledged record is lost. The target of a planned switchover does not catch up.", func(t *testing.T, s *simulation) {
			s.upstreams["b"].replicationPaused, s.upstreams["c"].down = true, true
			s.run(200 * time.Millisecond)
			s.step(failover.Zones{Out: []ident.Zone{"z1"}})
			s.logf("z1 is taken out of service; c is down and b lags")
			s.run(4 * time.Second)
			require.Equal(t, ident.Upstream("a"), s.control.Primary, "no other member holds the last records of the old primary")
			s.upstreams["b"].replicationPaused, s.upstreams["c"].down = false, false
			s.logf("b catches up and c returns")
			s.run(8 * time.Second)
			require.NotEqual(t, ident.Upstream("a"), s.control.Primary)
		}},
		{"two-failures", "Invariant: no acknowledged record is lost. Two of three upstreams fail together; one returns.", func(t *testing.T, s *simulation) {
			s.upstreams["a"].down, s.upstreams["b"].isolated = true, true
			s.logf("a refuses connections and b is cut off")
			s.run(5 * time.Second)
			require.Equal(t, ident.Term(1), s.control.Term, "no promotion with one of three members")
			s.upstreams["b"].isolated = false
			s.logf("b is reachable again")
			s.run(6 * time.Second)
			require.Greater(t, s.control.Term, ident.Term(1))
		}},
		{"old-primary-returns", "Invariant 2: no write is acknowledged by an old primary. An isolated primary writes and comes back.", func(t *testing.T, s *simulation) {
			a := s.upstreams["a"]
			a.isolated = true
			for id := 9001; id < 9004; id++ {
				a.appendRecord(1, id)
			}
			s.logf("a is cut off, and takes three writes that no other member gets")
			s.run(4 * time.Second)
			a.isolated = false
			s.logf("a is reachable again")
			s.run(2 * time.Second)
			require.False(t, a.state.Primary)
			require.False(t, a.holds(9001))
		}},
		{"primary-restarts", "Invariant 2: no write is acknowledged by an old primary. The primary restarts, and is no primary then.", func(t *testing.T, s *simulation) {
			s.upstreams["a"].restart()
			s.logf("a restarts")
			s.run(4 * time.Second)
			require.Greater(t, s.control.Term, ident.Term(1))
		}},
		{"new-leader", "Invariant 2: no write is acknowledged by an old primary. The control leader stops after it fenced.", func(t *testing.T, s *simulation) {
			s.upstreams["a"].down = true
			s.upstreams["b"].isolated = true
			s.logf("a refuses connections and b is cut off")
			s.run(500 * time.Millisecond)
			s.group = failover.New(failover.Options{Service: "ledger", Seed: 2})
			s.upstreams["b"].isolated = false
			s.logf("another control host becomes leader; b is reachable again")
			s.step(s.control)
			s.run(2 * time.Second)
			require.Greater(t, s.control.Term, ident.Term(2), "another leader must not reuse a reserved term")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(tt.title, "a", "b", "c")
			require.Equal(t, ident.Upstream("a"), s.control.Primary)
			tt.play(t, s)
			s.run(500 * time.Millisecond)
			before := len(s.acknowledged)
			s.run(500 * time.Millisecond)
			require.Greater(t, len(s.acknowledged), before, "writes must be acknowledged at the end")
			lost, twice := s.lostAndDuplicated()
			require.Empty(t, lost)
			require.Empty(t, twice)
			s.logf("%d writes acknowledged, none lost, none twice; %d refused and tried again, %d with unknown outcome",
				len(s.acknowledged), s.retries, s.unknown)
			goldie.New(t).Assert(t, tt.name, []byte(s.transcript.String()))
		})
	}
}

// Guards against losing acknowledged writes in combinations of failures that the scenarios don't cover. Random faults must
// lose or duplicate none, and the group must accept writes again once the faults end.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newSimulation("", "a", "b", "c")
		s.group = failover.New(failover.Options{Seed: seed})
		s.step(s.control)
		for range 30 {
			u := s.upstreams[s.names()[random.IntN(3)]]
			switch random.IntN(7) {
			case 0:
				u.down = !u.down
			case 1:
				u.isolated = !u.isolated
			case 2:
				u.replicationPaused = !u.replicationPaused
			case 3:
				u.down, u.isolated, u.replicationPaused = false, false, false
			case 4:
				s.dropProposals = !s.dropProposals
			case 5:
				s.step(failover.Zones{Out: []ident.Zone{u.member.Zone}})
			case 6:
				u.restart()
			}
			s.run(time.Duration(random.IntN(1500)) * time.Millisecond)
			lost, twice := s.lostAndDuplicated()
			require.Empty(t, lost, "seed %d:\n%s", seed, &s.transcript)
			require.Empty(t, twice, "seed %d:\n%s", seed, &s.transcript)
		}
		s.dropProposals = false
		for _, u := range s.upstreams {
			u.down, u.isolated, u.replicationPaused = false, false, false
		}
		s.run(10 * time.Second)
		before := len(s.acknowledged)
		s.run(time.Second)
		require.Greater(t, len(s.acknowledged), before, "seed %d:\n%s", seed, &s.transcript)
	}
}
