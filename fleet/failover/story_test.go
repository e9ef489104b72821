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

// Guards against a failover that loses or doubles an acknowledged write, leaves a group without a primary, or acts in
// another order than the golden files tell.
func TestStories(t *testing.T) {
	tests := []struct {
		name, title string
		play        func(*testing.T, *world)
	}{
		{"primary-fails", "Invariant: no acknowledged record is lost. The primary stops under writes.", func(t *testing.T, w *world) {
			w.upstreams["a"].down = true
			w.say("a refuses connections")
			w.run(3 * time.Second)
			require.NotEqual(t, ident.Upstream("a"), w.control.Primary)
		}},
		{"lagging-replica", "Invariant: no acknowledged record is lost. One replica lags when the primary is cut off.", func(t *testing.T, w *world) {
			w.upstreams["b"].behind = true
			w.say("b lags")
			w.run(time.Second)
			w.upstreams["a"].cut = true
			w.say("a is cut off")
			w.run(4 * time.Second)
			require.Equal(t, ident.Upstream("c"), w.control.Primary)
			w.upstreams["b"].behind = false
			w.say("b catches up")
		}},
		{"leaving", "Invariant 12: a leaving upstream gets no new work. One leaves, is announced again, leaves and is replaced.", func(t *testing.T, w *world) {
			c := w.upstreams["c"]
			c.member.Leaving = true
			w.say("c announces that it leaves")
			w.run(2 * time.Second)
			require.True(t, w.control.Members[2].Leaving)
			c.member.Leaving = false
			w.say("c is announced again")
			w.run(2 * time.Second)
			require.False(t, w.control.Members[2].Leaving)
			c.member.Leaving = true
			w.say("c announces that it leaves")
			w.run(time.Second)
			c.down = true
			d := w.announce("d", "z3")
			d.behind = true
			w.say("c stops; d is announced, and lags")
			w.run(10 * time.Second)
			require.Len(t, w.control.Members, 3, "a member that has not caught up does not count")
			d.behind = false
			w.say("d catches up")
			w.run(12 * time.Second)
			require.Equal(t, ident.Upstream("d"), w.control.Members[2].Upstream)
			w.upstreams["a"].down = true
			w.say("a refuses connections")
			w.run(3 * time.Second)
		}},
		{"zone-out", "Invariants 8 and 10: an availability zone leaves without a lost or failed write.", func(t *testing.T, w *world) {
			w.step(failover.Zones{Out: []ident.Zone{"z1"}})
			w.say("z1 is taken out of service")
			w.run(2 * time.Second)
			require.NotEqual(t, ident.Upstream("a"), w.control.Primary)
			require.Positive(t, w.retries, "writes during the switchover are refused and tried again")
			require.Zero(t, w.unknown, "a planned switchover leaves no write with an unknown outcome")
		}},
		{"primary-leaves", "Invariants 12 and 10: a leaving primary hands over without a lost or failed write.", func(t *testing.T, w *world) {
			w.upstreams["a"].member.Leaving = true
			w.say("a announces that it leaves")
			w.run(2 * time.Second)
			require.NotEqual(t, ident.Upstream("a"), w.control.Primary)
			require.Zero(t, w.unknown, "a planned switchover leaves no write with an unknown outcome")
			w.upstreams["a"].down = true
			w.say("a stops")
			w.run(time.Second)
			require.Equal(t, ident.Term(2), w.control.Term, "a stopped replica causes no failover")
		}},
		{"target-behind", "Invariant: no acknowledged record is lost. The target of a planned switchover does not catch up.", func(t *testing.T, w *world) {
			w.upstreams["b"].behind, w.upstreams["c"].down = true, true
			w.run(200 * time.Millisecond)
			w.step(failover.Zones{Out: []ident.Zone{"z1"}})
			w.say("z1 is taken out of service; c is down and b lags")
			w.run(4 * time.Second)
			require.Equal(t, ident.Upstream("a"), w.control.Primary, "only the old primary holds its last records")
			w.upstreams["b"].behind, w.upstreams["c"].down = false, false
			w.say("b catches up and c returns")
			w.run(8 * time.Second)
			require.NotEqual(t, ident.Upstream("a"), w.control.Primary)
		}},
		{"two-failures", "Invariant: no acknowledged record is lost. Two of three upstreams fail together; one returns.", func(t *testing.T, w *world) {
			w.upstreams["a"].down, w.upstreams["b"].cut = true, true
			w.say("a refuses connections and b is cut off")
			w.run(5 * time.Second)
			require.Equal(t, ident.Term(1), w.control.Term, "one of three members must not be promoted")
			w.upstreams["b"].cut = false
			w.say("b is reachable again")
			w.run(6 * time.Second)
			require.Greater(t, w.control.Term, ident.Term(1))
		}},
		{"old-primary-returns", "Invariant 2: no write is acknowledged by an old primary. An isolated primary writes and comes back.", func(t *testing.T, w *world) {
			a := w.upstreams["a"]
			a.cut = true
			for id := 9001; id < 9004; id++ {
				a.add(1, id)
			}
			w.say("a is cut off, and takes three writes that no other member gets")
			w.run(4 * time.Second)
			a.cut = false
			w.say("a is reachable again")
			w.run(2 * time.Second)
			require.False(t, a.state.Primary)
			require.False(t, a.holds(9001))
		}},
		{"primary-restarts", "Invariant 2: no write is acknowledged by an old primary. The primary restarts, and is no primary then.", func(t *testing.T, w *world) {
			w.upstreams["a"].restart()
			w.say("a restarts")
			w.run(4 * time.Second)
			require.Greater(t, w.control.Term, ident.Term(1))
		}},
		{"new-leader", "Invariant 2: no write is acknowledged by an old primary. The control leader stops after it fenced.", func(t *testing.T, w *world) {
			w.upstreams["a"].down = true
			w.upstreams["b"].cut = true
			w.say("a refuses connections and b is cut off")
			w.run(500 * time.Millisecond)
			w.group = failover.New(failover.Options{Service: "ledger", Seed: 2})
			w.upstreams["b"].cut = false
			w.say("another control host becomes leader; b is reachable again")
			w.step(w.control)
			w.run(2 * time.Second)
			require.Greater(t, w.control.Term, ident.Term(2), "a reserved term is not used by another leader")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(tt.title, "a", "b", "c")
			require.Equal(t, ident.Upstream("a"), w.control.Primary)
			tt.play(t, w)
			w.run(500 * time.Millisecond)
			before := len(w.acked)
			w.run(500 * time.Millisecond)
			require.Greater(t, len(w.acked), before, "writes must be acknowledged at the end")
			lost, twice := w.missing()
			require.Empty(t, lost)
			require.Empty(t, twice)
			w.say("%d writes acknowledged, none lost, none twice; %d refused and tried again, %d with unknown outcome",
				len(w.acked), w.retries, w.unknown)
			goldie.New(t).Assert(t, tt.name, []byte(w.story.String()))
		})
	}
}

// Guards against combinations of failures that nobody thought of: random faults must lose no acknowledged write, and
// the group must take writes again once they end.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 1))
		w := newWorld("", "a", "b", "c")
		w.group = failover.New(failover.Options{Seed: seed})
		w.step(w.control)
		for range 30 {
			u := w.upstreams[w.names()[random.IntN(3)]]
			switch random.IntN(7) {
			case 0:
				u.down = !u.down
			case 1:
				u.cut = !u.cut
			case 2:
				u.behind = !u.behind
			case 3:
				u.down, u.cut, u.behind = false, false, false
			case 4:
				w.lost = !w.lost
			case 5:
				w.step(failover.Zones{Out: []ident.Zone{u.member.Zone}})
			case 6:
				u.restart()
			}
			w.run(time.Duration(random.IntN(1500)) * time.Millisecond)
			lost, twice := w.missing()
			require.Empty(t, lost, "seed %d:\n%s", seed, &w.story)
			require.Empty(t, twice, "seed %d:\n%s", seed, &w.story)
		}
		w.lost = false
		for _, u := range w.upstreams {
			u.down, u.cut, u.behind = false, false, false
		}
		w.run(10 * time.Second)
		before := len(w.acked)
		w.run(time.Second)
		require.Greater(t, len(w.acked), before, "seed %d:\n%s", seed, &w.story)
	}
}
