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

// world is one control host with its machine and leader, whose proposals are applied at once.
type world struct {
	t       *testing.T
	now     ident.Time
	index   uint64
	machine *control.Machine
	leader  *control.Leader
	hosts   map[string]*fleetpb.SyncRequest
	story   strings.Builder
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, hosts: map[string]*fleetpb.SyncRequest{}}
	w.restart()
	return w
}

// restart replaces the leader by a new one, which takes over the control state only.
func (w *world) restart() {
	machine := control.NewMachine()
	if w.machine != nil {
		snapshot, err := w.machine.Snapshot()
		require.NoError(w.t, err)
		require.NoError(w.t, machine.Restore(snapshot))
	}
	w.machine = machine
	w.leader = control.NewLeader(control.LeaderOptions{Host: "c1", Machine: machine, Meter: burn.New()})
	w.carry(w.leader.SetLeadership(w.now, control.Leadership{Leads: true, Since: w.now, Until: w.now.Add(time.Hour)}))
}

func (w *world) tell(format string, args ...any) {
	fmt.Fprintf(&w.story, "%6d ms  %s\n", w.now.Sub(0).Milliseconds(), fmt.Sprintf(format, args...))
}

// carry applies what the leader proposes, and tells what it records.
func (w *world) carry(actions []control.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case control.Propose:
			answer := w.apply(a.Change).(*fleetpb.Outcome)
			require.Empty(w.t, answer.GetProblem())
		case control.Record:
			w.tell("  %s %s: %s", a.Event.Kind, a.Event.Subject, a.Event.Cause)
		}
	}
}

func (w *world) apply(change *fleetpb.Change) proto.Message {
	w.index++
	answer := w.machine.Apply(w.index, change)
	w.carry(w.leader.Applied(w.now, change, answer))
	return answer
}

func (w *world) text(id string, expected uint64, source string) *fleetpb.ApplyResponse {
	request := &fleetpb.ApplyRequest{Id: id, Expected: expected, Source: []byte(source), File: "fleet.yaml"}
	change, refused := control.ApplyChange(request, w.machine.TextVersion())
	if refused != nil {
		return refused
	}
	return w.apply(change).(*fleetpb.ApplyResponse)
}

func (w *world) outcome(change *fleetpb.Change) string {
	answer := w.apply(change).(*fleetpb.Outcome)
	if answer.GetDone() {
		return "done"
	}
	return "refused: " + answer.GetProblem()
}

func (w *world) host(name, zone string) *fleetpb.SyncRequest {
	request := w.hosts[name]
	if request == nil {
		request = &fleetpb.SyncRequest{Host: name, Zone: zone, Region: "r", Peer: name + ":1"}
		w.hosts[name] = request
	}
	request.Incarnation++
	request.Known, request.AdoptedEpoch = 0, 0
	return request
}

// sync sends one host's request and lets it adopt the answer.
func (w *world) sync(request *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
	response, actions, err := w.leader.Sync(w.now, request)
	if err != nil {
		return nil, err
	}
	request.Known = max(request.Known, response.GetState().GetVersion())
	if keepers := response.GetState().GetKeepers(); keepers != nil {
		request.AdoptedEpoch = keepers.GetEpoch()
	}
	w.carry(actions)
	return response, nil
}

// run lets time pass in steps of 250 ms, in which the named hosts sync and the named upstreams announce themselves.
func (w *world) run(d time.Duration, hosts, upstreams string) {
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(250 * time.Millisecond)
		for _, name := range strings.Fields(hosts) {
			_, err := w.sync(w.hosts[name])
			require.NoError(w.t, err)
		}
		for _, name := range strings.Fields(upstreams) {
			w.announce(name)
		}
		w.carry(w.leader.Tick(w.now))
	}
}

// announce takes service/upstream/zone.
func (w *world) announce(name string) *fleetpb.AnnounceResponse {
	parts := strings.Split(name, "/")
	response, actions, err := w.leader.Announce(w.now, &fleetpb.AnnounceRequest{
		Service: parts[0], Member: member(parts[1], parts[2]), LeaseMs: 1000,
	})
	require.NoError(w.t, err)
	w.carry(actions)
	return response
}

func member(upstream, zone string) *fleetpb.Member {
	return &fleetpb.Member{Upstream: upstream, Address: upstream + ":5432", Zone: zone, Region: "r"}
}

func (w *world) keepers() {
	set := w.machine.Keepers()
	var names []string
	for _, k := range set.GetCurrent() {
		names = append(names, fmt.Sprintf("%s/%d", k.GetHost(), k.GetIncarnation()))
	}
	w.tell("epoch %d: keepers %s, settled %t", set.GetEpoch(), strings.Join(names, " "), set.GetSettled())
}

func (w *world) status() {
	for _, s := range w.leader.Status(w.now).GetServices() {
		if s.GetMet() {
			w.tell("%s is met, primary %s", s.GetService(), s.GetGroup().GetPrimary())
		} else {
			w.tell("%s is not met: %s", s.GetService(), s.GetReason())
		}
	}
}

func (w *world) golden(name string) {
	goldie.New(w.t).Assert(w.t, name, []byte(w.story.String()))
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
