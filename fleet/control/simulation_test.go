package control_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/key"
)

const yaml = `zones:
  - {name: north, region: moravia}
  - {name: south, region: bohemia}
  - {name: east, region: silesia}
services:
  - {name: orders, upstreams: 3, slots: 2, connections: 20, age: 2s, deadline: 5s}
  - {name: rentals, needs: [orders], upstreams: 3, slots: 2, connections: 20, age: 2s, deadline: 5s}
teams:
  - {name: brno, rate: 200, burst: 100}
  - {name: plzen, rate: 200, burst: 100}
`

// simulation runs one control host with its machine and leader, and applies the leader's proposals at once.
type simulation struct {
	t          *testing.T
	now        ident.Time
	index      uint64
	machine    *control.Machine
	leader     *control.Leader
	hosts      map[string]*fleetpb.SyncRequest
	transcript strings.Builder
}

func newSimulation(t *testing.T) *simulation {
	sim := &simulation{t: t, hosts: map[string]*fleetpb.SyncRequest{}}
	sim.restart()
	return sim
}

// restart replaces the leader with a new one, which takes over only the control state.
func (sim *simulation) restart() {
	machine := control.NewMachine()
	if sim.machine != nil {
		snapshot, err := sim.machine.Snapshot()
		require.NoError(sim.t, err)
		require.NoError(sim.t, machine.Restore(snapshot))
	}
	sim.machine = machine
	sim.leader = control.NewLeader(control.LeaderOptions{Host: "c1", Machine: machine, Meter: burn.New()})
	sim.execute(sim.leader.SetLeadership(sim.now, control.Leadership{Leads: true, Since: sim.now, Until: sim.now.Add(time.Hour)}))
}

func (sim *simulation) logf(format string, args ...any) {
	fmt.Fprintf(&sim.transcript, "%6d ms  %s\n", sim.now.Sub(0).Milliseconds(), fmt.Sprintf(format, args...))
}

// execute applies the changes that the leader proposes, and logs the events that it records.
func (sim *simulation) execute(actions []control.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case control.Propose:
			answer := sim.apply(a.Change).(*fleetpb.Outcome)
			require.Empty(sim.t, answer.GetProblem())
		case control.Record:
			sim.logf("  %s %s: %s", a.Event.Kind, a.Event.Subject, a.Event.Cause)
		}
	}
}

func (sim *simulation) apply(change *fleetpb.Change) proto.Message {
	sim.index++
	answer := sim.machine.Apply(sim.index, change)
	sim.execute(sim.leader.Applied(sim.now, change, answer))
	return answer
}

func (sim *simulation) applyText(id string, expected uint64, source string) *fleetpb.ApplyResponse {
	request := &fleetpb.ApplyRequest{Id: id, Expected: expected, Source: []byte(source), File: "fleet.yaml"}
	change, refused := control.ApplyChange(request, sim.machine.TextVersion())
	if refused != nil {
		return refused
	}
	return sim.apply(change).(*fleetpb.ApplyResponse)
}

func (sim *simulation) outcome(change *fleetpb.Change) string {
	answer := sim.apply(change).(*fleetpb.Outcome)
	if answer.GetDone() {
		return "done"
	}
	return "refused: " + answer.GetProblem()
}

func (sim *simulation) startHost(name, zone string) *fleetpb.SyncRequest {
	request := sim.hosts[name]
	if request == nil {
		request = &fleetpb.SyncRequest{Host: name, Zone: zone, Region: "r", Peer: name + ":1"}
		sim.hosts[name] = request
	}
	request.Incarnation++
	request.Known, request.AdoptedEpoch = 0, 0
	return request
}

// sync sends one host's request and updates the host from the answer.
func (sim *simulation) sync(request *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
	response, actions, err := sim.leader.Sync(sim.now, request)
	if err != nil {
		return nil, err
	}
	request.Known = max(request.Known, response.GetState().GetVersion())
	if keepers := response.GetState().GetKeepers(); keepers != nil {
		request.AdoptedEpoch = keepers.GetEpoch()
	}
	sim.execute(actions)
	return response, nil
}

// run advances the time in steps of 250 ms. In each, the named hosts sync and the named upstreams announce
// themselves.
func (sim *simulation) run(d time.Duration, hosts, upstreams string) {
	for end := sim.now.Add(d); sim.now < end; {
		sim.now = sim.now.Add(250 * time.Millisecond)
		for _, name := range strings.Fields(hosts) {
			_, err := sim.sync(sim.hosts[name])
			require.NoError(sim.t, err)
		}
		for _, name := range strings.Fields(upstreams) {
			sim.announce(name)
		}
		sim.execute(sim.leader.Tick(sim.now))
	}
}

// announce announces an upstream, named as service/upstream/zone.
func (sim *simulation) announce(name string) *fleetpb.AnnounceResponse {
	parts := strings.Split(name, "/")
	response, actions, err := sim.leader.Announce(sim.now, &fleetpb.AnnounceRequest{
		Service: parts[0], Member: member(parts[1], parts[2]), LeaseMs: 1000,
	})
	require.NoError(sim.t, err)
	sim.execute(actions)
	return response
}

func member(upstream, zone string) *fleetpb.Member {
	return &fleetpb.Member{Upstream: upstream, Address: upstream + ":5432", Zone: zone, Region: "r"}
}

func (sim *simulation) logKeepers() {
	set := sim.machine.Keepers()
	var names []string
	for _, k := range set.GetCurrent() {
		names = append(names, fmt.Sprintf("%s/%d", k.GetHost(), k.GetIncarnation()))
	}
	sim.logf("epoch %d: keepers %s, settled %t", set.GetEpoch(), strings.Join(names, " "), set.GetSettled())
}

func (sim *simulation) logStatus() {
	for _, s := range sim.leader.Status(sim.now).GetServices() {
		if s.GetMet() {
			sim.logf("%s is met, primary %s", s.GetService(), s.GetGroup().GetPrimary())
		} else {
			sim.logf("%s is not met: %s", s.GetService(), s.GetReason())
		}
	}
}

func (sim *simulation) assertGolden(name string) {
	goldie.New(sim.t).Assert(sim.t, name, []byte(sim.transcript.String()))
}

func attempt(service string, term uint64) *fleetpb.Change {
	return &fleetpb.Change{Kind: &fleetpb.Change_Attempt{Attempt: &fleetpb.Attempt{Service: service, Term: term, Cause: "test"}}}
}

func promoted(service string, term uint64, upstream string) *fleetpb.Change {
	return &fleetpb.Change{Kind: &fleetpb.Change_Promoted{Promoted: &fleetpb.Promoted{Service: service, Term: term, Upstream: upstream}}}
}

func join(service string, m *fleetpb.Member) *fleetpb.Change {
	return &fleetpb.Change{Kind: &fleetpb.Change_Join{Join: &fleetpb.Join{Service: service, Member: m}}}
}

func leave(upstream string, remove bool) *fleetpb.Change {
	return &fleetpb.Change{Kind: &fleetpb.Change_Leave{Leave: &fleetpb.Leave{Service: "orders", Upstream: upstream, Remove: remove}}}
}

func keepers(epoch uint64, settled bool, hosts ...string) *fleetpb.Change {
	set := &fleetpb.KeeperSet{Epoch: epoch, Settled: settled}
	for _, name := range hosts {
		set.Current = append(set.Current, &fleetpb.Keeper{Host: name})
	}
	return &fleetpb.Change{Kind: &fleetpb.Change_Keepers{Keepers: set}}
}

func newKey(t *testing.T, seed byte) key.Key {
	k, err := key.Generate(bytes.NewReader(bytes.Repeat([]byte{seed}, 64)))
	require.NoError(t, err)
	return k
}

func give(id string, k key.Key, team string) *fleetpb.Change {
	hash := k.Hash()
	return &fleetpb.Change{Kind: &fleetpb.Change_Give{Give: &fleetpb.GiveKeyRequest{
		Id: id, Team: team, Key: string(k.ID), Hash: hash[:],
	}}}
}

func withdraw(id string, k key.Key) *fleetpb.Change {
	return &fleetpb.Change{Kind: &fleetpb.Change_Withdraw{Withdraw: &fleetpb.WithdrawKeyRequest{Id: id, Key: string(k.ID)}}}
}
