package route_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/route"
	"tamarackshunt.dev/fleet/session"
)

const ms = ident.Time(time.Millisecond)

func replica(name string, zone ident.Zone, lsn ident.LSN) route.Candidate {
	return route.Candidate{
		Upstream: ident.Upstream(name), Zone: zone, Region: ident.Region(zone[:1]), Reachable: true, Announced: true,
		Position: ident.Position{Term: 1, LSN: lsn},
	}
}

// Guards against reads from an upstream that lacks the session's writes, holds old data, is leaving, out of service or
// unreachable, and against a wrong order of preference.
func TestChoose(t *testing.T) {
	need := route.Need{
		Position: ident.Position{Term: 1, LSN: 5}, MaxAge: time.Second, Zone: "a1", Region: "a", Deadline: 500 * ms, BusyThreshold: 8,
	}
	own, near, far := replica("own", "a1", 5), replica("near", "a2", 5), replica("far", "b1", 5)
	with := func(c route.Candidate, change func(*route.Candidate)) route.Candidate {
		change(&c)
		return c
	}
	p := replica("p", "a1", 9)
	const lag, age, none = route.CauseLag, route.CauseAge, route.CauseNoReplica
	tests := []struct {
		name    string
		members []route.Candidate
		now     ident.Time
		want    route.Decision
	}{
		{"own zone first", []route.Candidate{p, far, near, own}, 0, route.ToReplica{Upstream: "own"}},
		{"own region next", []route.Candidate{p, far, near}, 0, route.ToReplica{Upstream: "near"}},
		{"leaving", []route.Candidate{p, with(own, func(c *route.Candidate) { c.Leaving = true }), far}, 0, route.ToReplica{Upstream: "far"}},
		{"expired", []route.Candidate{p, with(own, func(c *route.Candidate) { c.Announced = false }), far}, 0, route.ToReplica{Upstream: "far"}},
		{"zone out", []route.Candidate{p, with(own, func(c *route.Candidate) { c.ZoneOut = true }), far}, 0, route.ToReplica{Upstream: "far"}},
		{"unreachable", []route.Candidate{p, with(own, func(c *route.Candidate) { c.Reachable = false }), far}, 0, route.ToReplica{Upstream: "far"}},
		{"behind", []route.Candidate{p, replica("own", "a1", 4), far}, 0, route.ToReplica{Upstream: "far"}},
		{"least work", []route.Candidate{p, with(near, func(c *route.Candidate) { c.Outstanding = 2 }), replica("near2", "a3", 5)}, 0, route.ToReplica{Upstream: "near2"}},
		{"busy own zone", []route.Candidate{p, with(own, func(c *route.Candidate) { c.Outstanding = 8 }), far}, 0, route.ToReplica{Upstream: "far"}},
		{"all behind", []route.Candidate{p, replica("own", "a1", 4)}, 49 * ms, route.Wait{Until: 50 * ms, Cause: lag}},
		{"behind for too long", []route.Candidate{p, replica("own", "a1", 4)}, 50 * ms, route.ToPrimary{Upstream: "p", Cause: lag}},
		{"old term", []route.Candidate{p, with(own, func(c *route.Candidate) { c.Position.Term = 0 })}, 50 * ms, route.ToPrimary{Upstream: "p", Cause: lag}},
		{"old data", []route.Candidate{p, with(own, func(c *route.Candidate) { c.Age = 2 * time.Second })}, 50 * ms, route.ToPrimary{Upstream: "p", Cause: age}},
		{"no replica: no wait", []route.Candidate{p}, 0, route.ToPrimary{Upstream: "p", Cause: none}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := route.Choose(tt.now, need, route.Group{Term: 1, Primary: "p", Confirmed: true, Members: tt.members})
			require.Equal(t, tt.want, got)
		})
	}
}

// Guards against sending statements to a primary that may have been replaced, and against rejecting them during a failover.
func TestChoosePrimary(t *testing.T) {
	need := route.Need{Primary: true, Cause: route.CauseWrite, Position: ident.Position{Term: 2}, Deadline: 500 * ms}
	tests := []struct {
		name  string
		now   ident.Time
		group route.Group
		want  route.Decision
	}{
		{"confirmed", 0, route.Group{Term: 2, Primary: "p", Confirmed: true}, route.ToPrimary{Upstream: "p", Cause: route.CauseWrite}},
		{"not confirmed", 0, route.Group{Term: 2, Primary: "p"}, route.Wait{Until: 500 * ms, Cause: route.CauseUnconfirmed}},
		{"not confirmed in time", 500 * ms, route.Group{Term: 2, Primary: "p"}, route.Reject{Cause: route.CauseUnconfirmed}},
		{"older term than the session's", 0, route.Group{Term: 1, Primary: "p", Confirmed: true}, route.Wait{Until: 500 * ms, Cause: route.CauseStaleTerm}},
		{"none yet", 500 * ms, route.Group{}, route.Reject{Cause: route.CauseNoPrimary}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, route.Choose(tt.now, need, tt.group))
		})
	}
}

// Guards against sending all work to one of several equal replicas.
func TestTurnSpreadsEqualReplicas(t *testing.T) {
	members := []route.Candidate{replica("r0", "a1", 1), replica("r1", "a1", 1), replica("r2", "a1", 1)}
	got := map[route.Decision]int{}
	for turn := range uint64(30) {
		got[route.Choose(0, route.Need{Turn: turn, Deadline: 1}, route.Group{Term: 1, Members: members})]++
	}
	require.Len(t, got, 3)
	for decision, n := range got {
		require.Equal(t, 10, n, decision)
	}
}

// Guards invariant 1 (read-your-writes) for a session that writes through one host and reads through others while replicas
// lag. Each read must wait, use a replica of another zone or go to the primary, and must never miss the write.
func TestReadYourWritesAcrossHosts(t *testing.T) {
	var out bytes.Buffer
	id := ident.Session{Service: "ledger", Team: "stalls", User: "ema"}
	keeper := session.Member{Host: "k1", Incarnation: 1, Zone: "a1"}
	view := &session.View{Current: session.NewSet(1, []session.Member{keeper}), Settled: true}
	k := session.NewKeeper(session.KeeperOptions{Self: keeper})
	k.Adopt(view)
	k.SetLease(1000 * ms)
	k.SetFloor("ledger", 1, ident.Position{Term: 1})
	write := func(now ident.Time, lsn ident.LSN) {
		w := session.NewWriter(id, ident.Position{Term: 1, LSN: lsn}, now+100*ms)
		conditions := session.Conditions{View: view, Lease: 1000 * ms}
		send := w.Next(now, conditions).(session.SendPuts)
		w.Answered(now, keeper, k.Put(w.Request(send.Epoch)))
		require.Equal(t, session.Acknowledge{}, w.Next(now, conditions))
		fmt.Fprintf(&out, "%3d ms  write through entry1 acknowledged at 1/%X\n", now/ms, lsn)
	}
	read := func(now ident.Time, host string, zone ident.Zone, since ident.Time, r1, r2 ident.LSN) {
		r := session.NewReader(id, view, nil, now)
		r.Next(now)
		r.Answered(keeper, k.Get(now, r.Request()))
		known := r.Next(now).(session.Known)
		group := route.Group{Term: 1, Primary: "p", Confirmed: true, Members: []route.Candidate{
			replica("p", "a1", 0x99), replica("r1", "a2", r1), replica("r2", "b1", r2),
		}}
		need := route.Need{Position: known.Position, MaxAge: time.Second, Zone: zone, Region: ident.Region(zone[:1]), Since: since, Deadline: since + 500*ms}
		decision := route.Choose(now, need, group)
		fmt.Fprintf(&out, "%3d ms  read through %s (zone %s) must see %s; r1 holds 1/%X, r2 holds 1/%X: %T%v\n",
			now/ms, host, zone, known.Position, r1, r2, decision, decision)
		if d, ok := decision.(route.ToReplica); ok {
			held := map[ident.Upstream]ident.LSN{"r1": r1, "r2": r2}[d.Upstream]
			require.GreaterOrEqual(t, held, known.Position.LSN)
		}
	}
	read(0, "entry2", "b1", 0, 0, 0)
	write(10*ms, 0x10)
	read(12*ms, "entry2", "b1", 12*ms, 0x08, 0x0F)
	read(20*ms, "entry2", "b1", 12*ms, 0x10, 0x0F)
	read(22*ms, "entry3", "a2", 22*ms, 0x10, 0x0F)
	write(30*ms, 0x20)
	read(31*ms, "entry2", "b1", 31*ms, 0x18, 0x18)
	read(81*ms, "entry2", "b1", 31*ms, 0x18, 0x1F)
	read(90*ms, "entry2", "b1", 90*ms, 0x20, 0x20)
	goldie.New(t).Assert(t, "roaming", out.Bytes())
}
