package quorum_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/quorum"
)

// replay runs nodes through the steps of a counterexample of models/log.pml. The model has no time, so each host has its
// own clock: a step is then refused by a rule of the log and not because of its timing.
type replay struct {
	t     *testing.T
	hosts map[string]*host
	clock map[string]ident.Time
	// Messages in transit, by sender and peer address.
	sent map[[2]string][]*fleetpb.Message
	// The host whose writes are not synced, and these writes.
	unsyncedHost string
	unsynced     []quorum.Persist
	transcript   strings.Builder
	committed    map[uint64]*fleetpb.Entry
	answers      map[string]string
	stopped      map[string]bool
}

func newReplay(t *testing.T) *replay {
	t.Helper()
	r := &replay{
		t:         t,
		hosts:     map[string]*host{},
		clock:     map[string]ident.Time{},
		sent:      map[[2]string][]*fleetpb.Message{},
		committed: map[uint64]*fleetpb.Entry{},
		answers:   map[string]string{},
		stopped:   map[string]bool{},
	}
	voters := &fleetpb.Voters{}
	for _, name := range []string{"a", "b", "c"} {
		voters.Voters = append(voters.Voters, &fleetpb.Voter{Host: name, Peer: name, Member: name + "/1"})
	}
	first := &fleetpb.Entry{Index: 1, Term: 1, Change: &fleetpb.Change{Kind: &fleetpb.Change_Voters{Voters: voters}}}
	for _, name := range []string{"a", "b", "c"} {
		r.hosts[name] = &host{name: name, member: name + "/1", log: []*fleetpb.Entry{first}, hardState: &fleetpb.HardState{Term: 1, Fleet: 1}}
		r.start(name)
	}
	// d is the new member of host c after its disk is lost; see loseDisk.
	r.hosts["d"] = &host{name: "c", member: "c/2", hardState: &fleetpb.HardState{}}
	r.start("d")
	r.elect("a", "b")
	return r
}

func (r *replay) logf(format string, args ...any) {
	fmt.Fprintf(&r.transcript, "    "+format+"\n", args...)
}

func (r *replay) start(name string) {
	h := r.hosts[name]
	r.clock[name] = r.clock[name].Add(time.Second)
	node, actions, err := quorum.New(r.clock[name], quorum.Options{
		Self:         &fleetpb.Voter{Host: h.name, Peer: name, Member: h.member},
		InitialHosts: []*fleetpb.Voter{{Host: "a", Peer: "a"}, {Host: "b", Peer: "b"}, {Host: "c", Peer: "c"}},
		HardState:    h.hardState, Entries: slices.Clone(h.log),
	})
	require.NoError(r.t, err)
	h.node, h.machine = node, &stateMachine{answers: map[string]*fleetpb.ApplyResponse{}}
	r.perform(name, actions)
}

func (r *replay) step(name string, inputs ...quorum.Input) {
	if !r.stopped[name] {
		r.perform(name, r.hosts[name].node.Step(r.clock[name], inputs...))
	}
}

func (r *replay) perform(name string, actions []quorum.Action) {
	h := r.hosts[name]
	for _, action := range actions {
		switch action := action.(type) {
		case quorum.Persist:
			if r.unsyncedHost == name {
				r.unsynced = append(r.unsynced, action)
				continue
			}
			if action.HardState != nil {
				h.hardState = action.HardState
			}
			if len(action.Entries) > 0 {
				h.log = append(slices.Clone(h.log[:action.Entries[0].Index-1]), action.Entries...)
			}
			r.step(name, quorum.Persisted{Seq: action.Seq})
		case quorum.Send:
			link := [2]string{name, action.Peer}
			r.sent[link] = append(r.sent[link], proto.CloneOf(action.Message))
		case quorum.Apply:
			r.apply(name, action.Entries)
		case quorum.Proposed:
			if action.Err != nil {
				r.logf("%s refuses: %v", name, action.Err)
			}
		case quorum.RoleChange:
			if role := fmt.Sprintf("%s in term %d", action.Status.Role, action.Status.Term); role != h.role {
				r.logf("%s is %s", name, role)
				h.role = role
			}
		}
	}
}

func (r *replay) apply(name string, entries []*fleetpb.Entry) {
	for _, entry := range entries {
		if committed := r.committed[entry.Index]; committed != nil {
			require.True(r.t, proto.Equal(committed, entry), "%s applies another entry at %d", name, entry.Index)
		}
		r.committed[entry.Index] = entry
		answer := r.hosts[name].machine.apply(entry.GetChange())
		if answer == nil {
			continue
		}
		id, outcome := entry.GetChange().GetApply().GetId(), fmt.Sprintf("accepted %t at version %d", answer.Accepted, answer.Version)
		if earlier := r.answers[id]; earlier != "" {
			require.Equal(r.t, earlier, outcome, "a resent request got another answer")
		}
		r.answers[id] = outcome
		r.logf("%s applies %s: %s", name, id, outcome)
	}
}

// deliver passes the messages that keep accepts from one member to another; the others are lost.
func (r *replay) deliver(from, to string, keep func(*fleetpb.Message) bool) {
	link := [2]string{from, to}
	messages := r.sent[link]
	r.sent[link] = nil
	for _, m := range messages {
		if keep(m) {
			r.step(to, quorum.Receive{Message: m})
		}
	}
}

func anyMessage(*fleetpb.Message) bool { return true }

// elect makes a member start an election in which it reaches one other member.
func (r *replay) elect(name, voter string) {
	r.clock[name] = r.clock[name].Add(2 * time.Second)
	r.clock[voter] = r.clock[voter].Add(600 * time.Millisecond)
	clear(r.sent)
	r.step(name, quorum.Tick{})
	for range 2 {
		r.deliver(name, voter, func(m *fleetpb.Message) bool { return m.GetAppend() == nil })
		r.deliver(voter, name, anyMessage)
	}
	if r.hosts[name].node.Status().Role != quorum.Leader {
		r.logf("%s is not elected", name)
	}
}

// catchUp makes a leader replicate its whole log to another member, if it is still the leader.
func (r *replay) catchUp(leader, to string) {
	node := r.hosts[leader].node
	clear(r.sent)
	for range 6 {
		if node.Status().Role != quorum.Leader {
			r.logf("%s does not lead", leader)
			return
		}
		r.heartbeat(leader)
		r.deliver(leader, to, anyMessage)
		r.deliver(to, leader, anyMessage)
	}
}

// heartbeat advances the clock of a leader by one heartbeat interval.
func (r *replay) heartbeat(leader string) {
	r.clock[leader] = r.clock[leader].Add(quorum.DefaultBounds.Heartbeat)
	r.step(leader, quorum.Tick{})
}

// changeMembers makes the replacement d send its Hello to a leader that has not heard from c for a long time, so that the
// leader may change the membership.
func (r *replay) changeMembers(leader string) {
	for range 12 {
		r.heartbeat(leader)
		for _, other := range []string{"a", "b", "d"} {
			if other != leader && r.hosts[other].node.Status().Term <= r.hosts[leader].node.Status().Term {
				r.exchangeHeartbeats(leader, other)
			}
		}
	}
	r.clock["d"] = r.clock["d"].Add(time.Second)
	r.step("d", quorum.Tick{})
	r.deliver("d", leader, anyMessage)
	voters := r.hosts[leader].node.Members()
	r.logf("%s has voters %s, learners %s", leader, ids(voters.GetVoters()), ids(voters.GetLearners()))
}

// exchangeHeartbeats delivers heartbeats without entries: the leader stays confirmed and the logs stay as in the model.
func (r *replay) exchangeHeartbeats(leader, other string) {
	for _, m := range r.sent[[2]string{leader, other}] {
		if m.GetAppend() != nil {
			m.GetAppend().Entries = nil
		}
	}
	r.deliver(leader, other, func(m *fleetpb.Message) bool { return m.GetAppend() != nil })
	r.deliver(other, leader, anyMessage)
}

// loseDisk stops the member c; its host returns as the member d, which also gets the messages to the address of c.
func (r *replay) loseDisk() {
	r.stopped["c"] = true
	r.hosts["c"], r.clock["c"] = r.hosts["d"], r.clock["d"]
	r.stopped["c"] = false
}

// crash restarts a member without its unsynced writes.
func (r *replay) crash(name string) {
	r.unsyncedHost, r.unsynced = "", nil
	r.start(name)
}

func (r *replay) runStep(words []string) {
	switch words[0] {
	case "elect":
		r.elect(words[1], words[2])
	case "append", "depose":
		r.catchUp(words[1], words[2])
	case "commit":
		r.logf("%s holds %d entries, applied up to %d", words[1], len(r.hosts[words[1]].log), len(r.committed))
	case "propose":
		id := map[string]string{"6": "opA", "7": "opB"}[words[2]]
		r.step(words[1], quorum.Propose{ID: 1, Change: &fleetpb.Change{Kind: &fleetpb.Change_Apply{
			Apply: &fleetpb.ApplyText{Id: id, Source: []byte("text of " + id)},
		}}})
	case "change":
		r.changeMembers(words[1])
	case "lose":
		r.loseDisk()
	case "crash":
		r.crash(words[1])
	case "die":
		r.stopped[words[1]] = true
	case "silent":
	default:
		require.Fail(r.t, "unknown step", words[0])
	}
}

// hostWithLostWrite returns the host whose write in the step at an index is lost in a later crash, or an empty string.
func hostWithLostWrite(steps []string, at int, variant string) string {
	kind := map[string]string{"UNSYNCED": "append", "VOTE_LOST": "elect"}[variant]
	for i := at + 1; i < len(steps); i++ {
		words := strings.Fields(steps[i])
		if words[0] == "crash" && kind != "" && strings.HasPrefix(steps[at], kind) && strings.Fields(steps[at])[2] == words[1] {
			return words[1]
		}
		if words[0] == kind && words[2] == strings.Fields(steps[at])[2%len(strings.Fields(steps[at]))] {
			return ""
		}
	}
	return ""
}

// Guards against a rule that the Go code lacks. Each trace breaks a variant of the model that lacks one rule; in the Go
// code it must not lead to two entries at one index, two accepted operators, or two answers to one request (invariant 14).
func TestTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/trace/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		variant := strings.TrimSuffix(filepath.Base(path), ".txt")
		t.Run(variant, func(t *testing.T) {
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			r := newReplay(t)
			steps := strings.Split(strings.TrimSpace(string(content)), "\n")
			for i, step := range steps {
				if unsynced := hostWithLostWrite(steps, i, variant); unsynced != "" {
					r.unsyncedHost = unsynced
				}
				fmt.Fprintf(&r.transcript, "%s\n", step)
				r.runStep(strings.Fields(step))
			}
			accepted := 0
			for _, outcome := range r.answers {
				if strings.HasPrefix(outcome, "accepted true") {
					accepted++
				}
			}
			require.LessOrEqual(t, accepted, 1)
			goldie.New(t).Assert(t, "trace/"+variant, []byte("Invariant 14, counterexample of the variant "+variant+"\n\n"+r.transcript.String()))
		})
	}
}
