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

// Guards invariant 1 against an epoch that is settled while a host that has not adopted it may still serve, as after
// a restart within a lease, and against a stopped keeper that is never replaced.
func TestKeeperEpochs(t *testing.T) {
	sim := newSimulation(t)
	sim.applyText("a1", 0, yaml)
	sim.startHost("h1", "north")
	sim.startHost("h2", "south")
	sim.startHost("h3", "east")
	sim.run(time.Second, "h1 h2 h3", "")
	sim.logf("three hosts sync, but the leader is new:")
	sim.logKeepers()
	sim.run(2*time.Second, "h1 h2 h3", "")
	sim.logKeepers()
	sim.logf("h2 stops syncing")
	sim.run(1500*time.Millisecond, "h1 h3", "")
	sim.logKeepers()
	sim.run(time.Second, "h1 h3", "")
	sim.logKeepers()
	sim.logf("h2 returns under a new incarnation")
	sim.startHost("h2", "south")
	sim.run(time.Second, "h1 h2 h3", "")
	sim.logKeepers()
	sim.logf("h3 restarts before its lease has ended, and its old process may still serve")
	sim.startHost("h3", "east")
	sim.run(time.Second, "h1 h2 h3", "")
	sim.logKeepers()
	sim.run(time.Second, "h1 h2 h3", "")
	sim.logKeepers()
	stale := proto.CloneOf(sim.hosts["h3"])
	stale.Incarnation--
	_, err := sim.sync(stale)
	sim.logf("the old process of h3 syncs: %v", err)
	sim.logf("h1 starts to leave, and keeps its old epoch for a while")
	sim.hosts["h1"].Leaving = true
	sim.run(250*time.Millisecond, "h1", "")
	for range 4 {
		_, _, err := sim.leader.Sync(sim.now, sim.hosts["h1"])
		require.NoError(t, err)
		sim.run(250*time.Millisecond, "h2 h3", "")
	}
	sim.logKeepers()
	sim.run(500*time.Millisecond, "h1 h2 h3", "")
	sim.logKeepers()
	sim.hosts["h1"].Gone = true
	sim.run(250*time.Millisecond, "h1", "")
	_, err = sim.sync(sim.hosts["h1"])
	sim.logf("h1 syncs again: %v", err)
	sim.assertGolden("epochs")
}

// Guards against an announcement whose address nobody can connect to and that makes its sender a member of the group.
func TestAnnouncementWithoutUsableAddress(t *testing.T) {
	sim := newSimulation(t)
	sim.applyText("a1", 0, yaml)
	sim.startHost("h1", "north")
	sim.run(3*time.Second, "h1", "orders/u1/north")
	for _, address := range []string{"u2", "u2:", "u2:0", "u2:65536", "u2:99999999999", "u2:-1", "u2:http", ":5432", "u2:5432:1"} {
		request := &fleetpb.AnnounceRequest{
			Service: "orders", LeaseMs: 1000, Member: &fleetpb.Member{Upstream: "u2", Address: address, Zone: "north", Region: "r"},
		}
		response, _, err := sim.leader.Announce(sim.now, request)
		require.NoError(t, err)
		require.False(t, response.GetAccepted(), address)
		require.NotEmpty(t, response.GetProblem())
	}
	response := sim.announce("orders/u2/north")
	require.True(t, response.GetAccepted(), response.GetProblem())
}

// Guards invariant 8 in the status that operators see. A zone that is out of service but still holds a primary must
// be reported, its upstreams may then stop, and they must return before the text counts as met again.
func TestStatusAcrossZoneChange(t *testing.T) {
	sim := newSimulation(t)
	const hosts, all, rest = "h1 h2", "orders/u1/north orders/u2/south orders/u3/east rentals/r1/north rentals/r2/south rentals/r3/east",
		"orders/u2/south orders/u3/east rentals/r2/south rentals/r3/east"
	sim.applyText("a1", 0, yaml)
	sim.startHost("h1", "north")
	sim.startHost("h2", "south")
	sim.run(3*time.Second, hosts, "orders/u1/north orders/u2/south")
	sim.logf("two upstreams of orders are announced, none of rentals; stock is unknown:")
	sim.logf("%q", sim.announce("stock/s1/north").GetProblem())
	sim.announce("stock/s1/north")
	sim.logStatus()
	for _, name := range strings.Fields(all) {
		parts := strings.Split(name, "/")
		sim.apply(join(parts[0], member(parts[1], parts[2])))
	}
	sim.run(time.Second, hosts, all)
	for service, primary := range map[string]string{"orders": "u1", "rentals": "r2"} {
		require.Equal(t, "done", sim.outcome(attempt(service, 1)))
		require.Equal(t, "done", sim.outcome(promoted(service, 1, primary)))
	}
	sim.run(time.Second, hosts, all)
	sim.transcript.Reset()
	sim.logStatus()
	sim.logf("the operator takes north out")
	sim.applyText("a2", 1, strings.Replace(yaml, "region: moravia", "region: moravia, out: true", 1))
	sim.logStatus()
	sim.run(250*time.Millisecond, hosts, all)
	sim.logStatus()
	sim.hosts["h1"].Observed = []*fleetpb.Observed{{Service: "orders", Upstream: "u1", Primary: true, SilentMs: 100}}
	sim.run(250*time.Millisecond, hosts, all)
	sim.logf("a planned switchover runs")
	sim.outcome(attempt("orders", 2))
	sim.logStatus()
	sim.hosts["h1"].Observed = nil
	sim.run(500*time.Millisecond, hosts, all)
	sim.outcome(promoted("orders", 2, "u2"))
	sim.run(time.Second, hosts, all)
	sim.logStatus()
	sim.logf("north loses power")
	sim.hosts["h1"].Gone = true
	sim.run(250*time.Millisecond, "h1", "")
	sim.run(3*time.Second, "h2", rest)
	sim.logStatus()
	sim.logf("the operator returns north before its power is back")
	sim.applyText("a3", 2, yaml)
	sim.run(time.Second, "h2", rest)
	sim.logStatus()
	sim.startHost("h1", "north").Gone = false
	sim.run(2*time.Second, hosts, all)
	sim.logf("north is back")
	sim.logStatus()
	sim.logf("u2 stops answering")
	sim.hosts["h2"].Observed = []*fleetpb.Observed{{Service: "orders", Upstream: "u2", SilentMs: 1600, Refused: true}}
	sim.run(250*time.Millisecond, hosts, all)
	sim.logStatus()
	sim.logf("explain orders:")
	for _, event := range sim.leader.Explain(sim.now, "orders") {
		sim.logf("  at %d ms %s %s: %s", event.At.Sub(0).Milliseconds(), event.Kind, event.Subject, event.Cause)
	}
	sim.assertGolden("zone")
}

// Guards invariants 6 and 14 across leaders against leases that last longer than the next leader waits, a host that
// gets an older state than it has, and a new leader that treats hosts as stopped because they have not synced with it
// yet.
func TestLeasesAcrossLeaders(t *testing.T) {
	sim := newSimulation(t)
	sim.applyText("a1", 0, yaml)
	require.Equal(t, "done", sim.outcome(join("orders", member("u1", "north"))))
	sim.startHost("h1", "north")
	sim.startHost("h2", "south")
	sim.run(3*time.Second, "h1 h2", "")
	until := sim.now.Add(300 * time.Millisecond)
	sim.execute(sim.leader.SetLeadership(sim.now, control.Leadership{Leads: true, Until: until}))
	// grant syncs h1 at a time and returns the lease that it gets, or 0 if the leader is not confirmed any more.
	grant := func(at ident.Time) time.Duration {
		sim.now = at
		response, err := sim.sync(sim.hosts["h1"])
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
	_, _, err := sim.leader.Announce(sim.now, &fleetpb.AnnounceRequest{})
	require.Error(t, err)

	sim.restart()
	epoch := sim.machine.Keepers().GetEpoch()
	response, err := sim.sync(sim.hosts["h1"])
	require.NoError(t, err)
	require.Len(t, response.GetHosts(), 2, "h2 counts as alive")
	require.Equal(t, []string{"orders/u1"}, response.GetUpstreams(), "u1 counts as announced")
	sim.run(control.Lease-250*time.Millisecond, "h1", "")
	require.Equal(t, epoch, sim.machine.Keepers().GetEpoch(), "no keeper is removed within a lease")
	sim.run(time.Second, "h1", "")
	require.Equal(t, epoch+1, sim.machine.Keepers().GetEpoch())
	response, err = sim.sync(sim.hosts["h1"])
	require.NoError(t, err)
	require.Len(t, response.GetHosts(), 1)

	ahead := proto.CloneOf(sim.hosts["h1"])
	ahead.Known = uint64(sim.machine.Version()) + 1
	_, err = sim.sync(ahead)
	var later *control.AheadError
	require.ErrorAs(t, err, &later)

	same := proto.CloneOf(sim.hosts["h1"])
	same.Digest = response.GetDigest()
	response, err = sim.sync(same)
	require.NoError(t, err)
	require.Empty(t, response.GetHosts(), "an idle host's answer does not repeat the list of hosts")
	require.Nil(t, response.GetState().GetText())
	sim.run(10*time.Second, "h1", "")
	response, err = sim.sync(sim.hosts["h1"])
	require.NoError(t, err)
	require.Empty(t, response.GetUpstreams(), "u1 was not announced again")

	sim.execute(sim.leader.SetLeadership(sim.now, control.Leadership{Leads: true, Since: sim.now, Until: sim.now.Add(time.Hour)}))
	require.Empty(t, sim.leader.Status(sim.now).GetHosts(), "a new leadership does not rely on hosts that synced in the previous one")
}

// Guards the sums in reports against counts that are added twice after a late sync, lost at a host's restart, or
// added again by a new leader.
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

// Guards against a host that becomes the leader again and adds what another leader counted in between, or that
// reports windows with a gap as complete.
func TestCountsAfterLeadingAgain(t *testing.T) {
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

// Guards against an Explain that lists rejections after later events, or that finds no events for the kind "status" or
// the name of an upstream.
func TestExplainOrder(t *testing.T) {
	sim := newSimulation(t)
	sim.applyText("a1", 0, yaml)
	require.Equal(t, "done", sim.outcome(join("orders", member("u1", "north"))))
	sim.startHost("h1", "north")
	sim.hosts["h1"].Rejections = []*fleetpb.Event{{Subject: "orders/brno", Cause: "once rate_exceeded"}}
	sim.run(250*time.Millisecond, "h1", "")
	sim.hosts["h1"].Rejections = nil
	sim.run(3*time.Second, "h1", "")
	require.Equal(t, "done", sim.outcome(attempt("orders", 1)))
	require.Equal(t, "done", sim.outcome(promoted("orders", 1, "u1")))
	at := map[control.Kind]int{}
	for i, event := range sim.leader.Explain(sim.now, "") {
		at[event.Kind] = i
	}
	require.Less(t, at[control.KindRejected], at[control.KindPromoted])
	require.Less(t, at[control.KindPromoted], at[control.KindStatus])
	require.NotEmpty(t, sim.leader.Explain(sim.now, "status"))
	sim.run(time.Minute, "h1", "")
	about := sim.leader.Explain(sim.now, "u1")
	require.Equal(t, control.KindStatus, about[len(about)-1].Kind, "u1 is not announced")
}

// Guards against a host that is refused for minutes because its clock was stepped back before a restart, and against requests of
// replaced starts that get a lease, whatever the order of the numbers.
func TestRestartAfterClockStep(t *testing.T) {
	sim := newSimulation(t)
	sim.applyText("a1", 0, yaml)
	sim.startHost("h1", "north")
	sim.startHost("h2", "south").Incarnation = 1000
	sim.run(3*time.Second, "h1 h2", "")
	sim.logKeepers()
	crashed := proto.CloneOf(sim.hosts["h2"])
	sim.logf("h2 crashes and starts again with a clock that was stepped back")
	sim.startHost("h2", "south").Incarnation = 5
	syncOf := func(request *fleetpb.SyncRequest) string {
		if _, err := sim.sync(request); err != nil {
			return err.Error()
		}
		return "accepted"
	}
	sim.run(1750*time.Millisecond, "h1", "")
	sim.logf("h2 syncs within the lease of the earlier start, which may still serve: %s", syncOf(sim.hosts["h2"]))
	sim.run(250*time.Millisecond, "h1", "")
	sim.logf("h2 syncs: %s", syncOf(sim.hosts["h2"]))
	sim.run(time.Second, "h1 h2", "")
	sim.logKeepers()
	sim.logf("a late request of the earlier start arrives: %s", syncOf(crashed))
	sim.logf("h2 shuts down, and starts again with a clock that was stepped back further")
	gone := proto.CloneOf(sim.hosts["h2"])
	gone.Gone = true
	sim.logf("h2 syncs for the last time: %s", syncOf(gone))
	sim.startHost("h2", "south").Incarnation = 3
	sim.logf("h2 syncs: %s", syncOf(sim.hosts["h2"]))
	sim.run(2500*time.Millisecond, "h1", "")
	sim.logf("late requests of the earlier starts arrive after the lease of h2 has ended: %s; %s", syncOf(crashed), syncOf(gone))
	sim.logf("h1 restarts just after a new leader took over, and its lease ends before an epoch is without the earlier start")
	keeper := proto.CloneOf(sim.hosts["h1"])
	sim.restart()
	sim.startHost("h1", "north")
	sim.logf("h1 syncs: %s", syncOf(sim.hosts["h1"]))
	sim.now = sim.now.Add(control.Lease)
	sim.logf("a late request of the earlier start, which is a keeper, arrives: %s", syncOf(keeper))
	sim.assertGolden("clock_step")
}
