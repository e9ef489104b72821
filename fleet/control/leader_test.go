package control_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Guards invariant 1: an epoch that is settled while a host that has not adopted it may still serve, or a dead keeper
// that is never replaced.
func TestKeeperEpochs(t *testing.T) {
	w := newWorld(t)
	w.text("a1", 0, yaml)
	w.host("h1", "north")
	w.host("h2", "south")
	w.host("h3", "east")
	w.run(time.Second, "h1 h2 h3", "")
	w.tell("three hosts sync, but the leader is new:")
	w.keepers()
	w.run(2*time.Second, "h1 h2 h3", "")
	w.keepers()
	w.tell("h2 stops syncing")
	w.run(1500*time.Millisecond, "h1 h3", "")
	w.keepers()
	w.run(time.Second, "h1 h3", "")
	w.keepers()
	w.tell("h2 returns under a new incarnation")
	w.host("h2", "south")
	w.run(time.Second, "h1 h2 h3", "")
	w.keepers()
	w.tell("h3 restarts before its lease has ended, and its old process may still serve")
	w.host("h3", "east")
	w.run(time.Second, "h1 h2 h3", "")
	w.keepers()
	w.run(time.Second, "h1 h2 h3", "")
	w.keepers()
	stale := proto.CloneOf(w.hosts["h3"])
	stale.Incarnation--
	_, err := w.sync(stale)
	w.tell("the old process of h3 syncs: %v", err)
	w.tell("h1 starts to leave, and keeps its old epoch for a while")
	w.hosts["h1"].Leaving = true
	w.run(250*time.Millisecond, "h1", "")
	for range 4 {
		_, _, err := w.leader.Sync(w.now, w.hosts["h1"])
		require.NoError(t, err)
		w.run(250*time.Millisecond, "h2 h3", "")
	}
	w.keepers()
	w.run(500*time.Millisecond, "h1 h2 h3", "")
	w.keepers()
	w.hosts["h1"].Gone = true
	w.run(250*time.Millisecond, "h1", "")
	_, err = w.sync(w.hosts["h1"])
	w.tell("h1 syncs again: %v", err)
	w.golden("epochs")
}

// Guards invariant 8 as operators see it: a zone that is out and still holds a primary is reported, its upstreams may then
// go away, and they must come back before the text counts as met again.
func TestStatusAcrossZoneChange(t *testing.T) {
	w := newWorld(t)
	const hosts, all, rest = "h1 h2", "orders/u1/north orders/u2/south orders/u3/east rentals/r1/north rentals/r2/south rentals/r3/east",
		"orders/u2/south orders/u3/east rentals/r2/south rentals/r3/east"
	w.text("a1", 0, yaml)
	w.host("h1", "north")
	w.host("h2", "south")
	w.run(3*time.Second, hosts, "orders/u1/north orders/u2/south")
	w.tell("two upstreams of orders are announced, none of rentals; stock is unknown:")
	w.tell("%q", w.announce("stock/s1/north").GetProblem())
	w.announce("stock/s1/north")
	w.status()
	for _, name := range strings.Fields(all) {
		parts := strings.Split(name, "/")
		w.apply(join(parts[0], member(parts[1], parts[2])))
	}
	w.run(time.Second, hosts, all)
	for service, primary := range map[string]string{"orders": "u1", "rentals": "r2"} {
		require.Equal(t, "done", w.outcome(attempt(service, 1)))
		require.Equal(t, "done", w.outcome(promoted(service, 1, primary)))
	}
	w.run(time.Second, hosts, all)
	w.story.Reset()
	w.status()
	w.tell("the operator takes north out")
	w.text("a2", 1, strings.Replace(yaml, "region: moravia", "region: moravia, out: true", 1))
	w.status()
	w.run(250*time.Millisecond, hosts, all)
	w.status()
	w.hosts["h1"].Observed = []*fleetpb.Observed{{Service: "orders", Upstream: "u1", Primary: true, SilentMs: 100}}
	w.run(250*time.Millisecond, hosts, all)
	w.tell("a planned switchover runs")
	w.outcome(attempt("orders", 2))
	w.status()
	w.hosts["h1"].Observed = nil
	w.run(500*time.Millisecond, hosts, all)
	w.outcome(promoted("orders", 2, "u2"))
	w.run(time.Second, hosts, all)
	w.status()
	w.tell("north loses power")
	w.hosts["h1"].Gone = true
	w.run(250*time.Millisecond, "h1", "")
	w.run(3*time.Second, "h2", rest)
	w.status()
	w.tell("the operator returns north before its power is back")
	w.text("a3", 2, yaml)
	w.run(time.Second, "h2", rest)
	w.status()
	w.host("h1", "north").Gone = false
	w.run(2*time.Second, hosts, all)
	w.tell("north is back")
	w.status()
	w.tell("u2 stops answering")
	w.hosts["h2"].Observed = []*fleetpb.Observed{{Service: "orders", Upstream: "u2", SilentMs: 1600, Refused: true}}
	w.run(250*time.Millisecond, hosts, all)
	w.status()
	w.tell("explain orders:")
	for _, event := range w.leader.Explain(w.now, "orders") {
		w.tell("  at %d ms %s %s: %s", event.At.Sub(0).Milliseconds(), event.Kind, event.Subject, event.Cause)
	}
	w.golden("zone")
}

// Guards invariants 6 and 14 across leaders: leases that outlive the wait of the next leader, a host that gets an older
// state than it has, and a new leader that takes hosts it has not heard of for gone.
func TestLeasesAcrossLeaders(t *testing.T) {
	w := newWorld(t)
	w.text("a1", 0, yaml)
	require.Equal(t, "done", w.outcome(join("orders", member("u1", "north"))))
	w.host("h1", "north")
	w.host("h2", "south")
	w.run(3*time.Second, "h1 h2", "")
	until := w.now.Add(300 * time.Millisecond)
	w.carry(w.leader.SetLeadership(w.now, control.Leadership{Leads: true, Until: until}))
	grant := func(at ident.Time) time.Duration {
		w.now = at
		response, err := w.sync(w.hosts["h1"])
		if err != nil {
			var unconfirmed *control.UnconfirmedError
			require.ErrorAs(t, err, &unconfirmed)
			return 0
		}
		return time.Duration(response.GetLeaseMs()) * time.Millisecond
	}
	last := until.Add(-time.Millisecond)
	require.LessOrEqual(t, last.Add(grant(last)), until.Add(control.Lease))
	require.Zero(t, grant(until), "another host may lead from now on")
	_, _, err := w.leader.Announce(w.now, &fleetpb.AnnounceRequest{})
	require.Error(t, err)

	w.restart()
	epoch := w.machine.Keepers().GetEpoch()
	response, err := w.sync(w.hosts["h1"])
	require.NoError(t, err)
	require.Len(t, response.GetHosts(), 2, "h2 counts as alive")
	require.Equal(t, []string{"orders/u1"}, response.GetUpstreams(), "u1 counts as announced")
	w.run(control.Lease-250*time.Millisecond, "h1", "")
	require.Equal(t, epoch, w.machine.Keepers().GetEpoch(), "no host is declared gone within a lease")
	w.run(time.Second, "h1", "")
	require.Equal(t, epoch+1, w.machine.Keepers().GetEpoch())
	response, err = w.sync(w.hosts["h1"])
	require.NoError(t, err)
	require.Len(t, response.GetHosts(), 1)

	ahead := proto.CloneOf(w.hosts["h1"])
	ahead.Known = uint64(w.machine.Version()) + 1
	_, err = w.sync(ahead)
	var later *control.AheadError
	require.ErrorAs(t, err, &later)

	same := proto.CloneOf(w.hosts["h1"])
	same.Digest = response.GetDigest()
	response, err = w.sync(same)
	require.NoError(t, err)
	require.Empty(t, response.GetHosts(), "an idle host's answer does not repeat the list of hosts")
	require.Nil(t, response.GetState().GetText())
	w.run(10*time.Second, "h1", "")
	response, err = w.sync(w.hosts["h1"])
	require.NoError(t, err)
	require.Empty(t, response.GetUpstreams(), "u1 was not announced again")

	w.carry(w.leader.SetLeadership(w.now, control.Leadership{Leads: true, Since: w.now, Until: w.now.Add(time.Hour)}))
	require.Empty(t, w.leader.Status(w.now).GetHosts(), "a new office does not rely on hosts that were heard of in the last one")
}

// Guards the sums in reports: counts that are taken twice after a late sync, lost at a host's restart, or counted again by
// a new leader.
func TestTallies(t *testing.T) {
	machine, meter := control.NewMachine(), burn.New()
	leader := control.NewLeader(control.LeaderOptions{Host: "c1", Machine: machine, Meter: meter})
	leader.SetLeadership(0, control.Leadership{Leads: true, Until: ident.Time(time.Hour)})
	now := ident.Time(0)
	sync := func(incarnation, replica, primary uint64) {
		now = now.Add(250 * time.Millisecond)
		_, _, err := leader.Sync(now, &fleetpb.SyncRequest{Host: "h1", Incarnation: incarnation, Tallies: []*fleetpb.Tally{
			{Team: "brno", Asked: replica + primary, Served: replica + primary, ReadsReplica: replica, ReadsPrimary: primary},
		}})
		require.NoError(t, err)
	}
	counted := func() string {
		return strings.Join(strings.Fields(strings.Split(leader.Report(now), "WRITES\n")[1]), " ")
	}
	sync(1, 1000, 0)
	require.False(t, meter.Measure(now, burn.Slow).ReplicaShare.Known, "an earlier leader counted these")
	sync(1, 1100, 0)
	sync(1, 1050, 0)
	sync(1, 1100, 100)
	require.Equal(t, "brno 1200 1200 0 0 0 1100 100 0", counted())
	require.Equal(t, 0.5, meter.Measure(now, burn.Slow).ReplicaShare.Amount)
	sync(2, 30, 0)
	sync(2, 130, 100)
	require.Equal(t, "brno 230 230 0 0 0 130 100 0", counted(), "sums are since the hosts' starts")
	require.Equal(t, 0.5, meter.Measure(now, burn.Slow).ReplicaShare.Amount)
}

// Guards against a host that leads again and counts what another leader counted in between, or that shows windows with a
// hole in them as whole.
func TestCountsAfterReturnToOffice(t *testing.T) {
	machine, meter := control.NewMachine(), burn.New()
	leader := control.NewLeader(control.LeaderOptions{Host: "c1", Machine: machine, Meter: meter})
	sync := func(now ident.Time, replica, primary uint64) {
		_, _, err := leader.Sync(now, &fleetpb.SyncRequest{Host: "h1", Incarnation: 1, Tallies: []*fleetpb.Tally{
			{Team: "brno", Asked: replica + primary, Served: replica + primary, ReadsReplica: replica, ReadsPrimary: primary},
		}})
		require.NoError(t, err)
	}
	until := ident.Time(time.Hour)
	leader.SetLeadership(0, control.Leadership{Leads: true, Until: until})
	sync(ident.Time(time.Second), 0, 0)
	sync(ident.Time(2*time.Second), 0, 500)
	require.Zero(t, meter.Measure(ident.Time(2*time.Second), burn.Slow).ReplicaShare.Amount)
	leader.SetLeadership(ident.Time(3*time.Second), control.Leadership{})
	back := ident.Time(9 * time.Second)
	leader.SetLeadership(back, control.Leadership{Leads: true, Since: back, Until: until})
	sync(back, 0, 9000)
	require.False(t, meter.Measure(back, burn.Slow).ReplicaShare.Known)
	sync(back.Add(time.Second), 100, 9000)
	require.Equal(t, 1.0, meter.Measure(back.Add(time.Second), burn.Slow).ReplicaShare.Amount)
	require.Equal(t, back, meter.Began())
}

// Guards the order and the subjects of explain: rejections that come after later events, and the kind "status" or the name
// of an upstream that finds nothing.
func TestExplainOrder(t *testing.T) {
	w := newWorld(t)
	w.text("a1", 0, yaml)
	require.Equal(t, "done", w.outcome(join("orders", member("u1", "north"))))
	w.host("h1", "north")
	w.hosts["h1"].Rejections = []*fleetpb.Event{{Subject: "orders/brno", Cause: "once rate_exceeded"}}
	w.run(250*time.Millisecond, "h1", "")
	w.hosts["h1"].Rejections = nil
	w.run(3*time.Second, "h1", "")
	require.Equal(t, "done", w.outcome(attempt("orders", 1)))
	require.Equal(t, "done", w.outcome(promoted("orders", 1, "u1")))
	at := map[control.Kind]int{}
	for i, event := range w.leader.Explain(w.now, "") {
		at[event.Kind] = i
	}
	require.Less(t, at[control.KindRejected], at[control.KindPromoted])
	require.Less(t, at[control.KindPromoted], at[control.KindStatus])
	require.NotEmpty(t, w.leader.Explain(w.now, "status"))
	w.run(time.Minute, "h1", "")
	about := w.leader.Explain(w.now, "u1")
	require.Equal(t, control.KindStatus, about[len(about)-1].Kind, "u1 is not announced")
}
