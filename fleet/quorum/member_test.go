package quorum_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/quorum"
)

// member drives one node of the voters a, b and c, whose log ends at index 3 of term 5.
type member struct {
	t          *testing.T
	node       *quorum.Node
	now        ident.Time
	seq        uint64
	syncPaused bool
}

func newMember(t *testing.T) *member {
	t.Helper()
	voters := &fleetpb.Voters{}
	for _, name := range []string{"a", "b", "c"} {
		voters.Voters = append(voters.Voters, &fleetpb.Voter{Host: name, Peer: name, Member: name + "/1"})
	}
	node, _, err := quorum.New(0, quorum.Options{
		Self:      voters.Voters[0],
		HardState: &fleetpb.HardState{Term: 5, Fleet: 1},
		Entries: []*fleetpb.Entry{
			{Index: 1, Term: 1, Change: &fleetpb.Change{Kind: &fleetpb.Change_Voters{Voters: voters}}},
			{Index: 2, Term: 4, Change: &fleetpb.Change{}},
			{Index: 3, Term: 5, Change: &fleetpb.Change{}},
		},
	})
	require.NoError(t, err)
	return &member{t: t, node: node}
}

// step passes inputs to the node and returns its answers, proposals and applied entries as text. It completes the writes
// to disk unless syncPaused is set.
func (m *member) step(inputs ...quorum.Input) string {
	var outputs []string
	for _, action := range m.node.Step(m.now, inputs...) {
		switch action := action.(type) {
		case quorum.Persist:
			m.seq = action.Seq
		case quorum.Apply:
			outputs = append(outputs, fmt.Sprint("applies ", action.Entries[len(action.Entries)-1].Index))
		case quorum.Proposed:
			outputs = append(outputs, fmt.Sprint("proposed ", action.Index, " ", action.Err))
		case quorum.Send:
			if answer := action.Message.GetAnswer(); answer != nil {
				outputs = append(outputs, fmt.Sprint("vote ", answer.Granted))
			}
			if answer := action.Message.GetAppended(); answer != nil {
				outputs = append(outputs, fmt.Sprintf("match %d rejected %d hint %d/%d", answer.Match, answer.Rejected, answer.HintTerm, answer.Hint))
			}
		}
	}
	if m.seq > 0 && !m.syncPaused {
		seq := m.seq
		m.seq = 0
		outputs = append(outputs, strings.Fields(m.step(quorum.Persisted{Seq: seq}))...)
	}
	return strings.Join(outputs, " ")
}

func (m *member) receive(from string, term uint64, kind any) string {
	message := &fleetpb.Message{From: from + "/1", To: "a/1", Peer: from, Term: term, Fleet: 1}
	switch kind := kind.(type) {
	case *fleetpb.PreVote:
		message.Kind = &fleetpb.Message_Prevote{Prevote: kind}
	case *fleetpb.Vote:
		message.Kind = &fleetpb.Message_Vote{Vote: kind}
	case *fleetpb.VoteAnswer:
		message.Kind = &fleetpb.Message_Answer{Answer: kind}
	case *fleetpb.Append:
		message.Kind = &fleetpb.Message_Append{Append: kind}
	case *fleetpb.AppendAnswer:
		message.Kind = &fleetpb.Message_Appended{Appended: kind}
	}
	return m.step(quorum.Receive{Message: message})
}

// becomeLeader makes the node the leader of term 6, whose first entry is at index 4.
func (m *member) becomeLeader() {
	m.now = ident.Time(2 * time.Second)
	m.step(quorum.Tick{})
	m.receive("b", 6, &fleetpb.VoteAnswer{Granted: true, Pre: true})
	m.receive("b", 6, &fleetpb.VoteAnswer{Granted: true})
	require.Equal(m.t, quorum.Leader, m.node.Status().Role)
}

// Guards against a vote for a member with an older log, a second vote in a term, a vote during the lease of a leader, and
// an acknowledgement of entries that are not synced.
func TestVoteAndAppendAnswers(t *testing.T) {
	full, heartbeat := &fleetpb.Vote{LastIndex: 3, LastTerm: 5}, &fleetpb.Append{PrevIndex: 3, PrevTerm: 5, Round: 1}
	tests := []struct {
		name string
		// before passes earlier messages to the member. They and the message of the test arrive at the time after, counted
		// from the member's start.
		before func(m *member)
		after  time.Duration
		term   uint64
		kind   any
		want   string
	}{
		{"equal log", nil, time.Second, 6, full, "vote true"},
		{"longer log of an older term", nil, time.Second, 6, &fleetpb.Vote{LastIndex: 9, LastTerm: 4}, "vote false"},
		{"shorter log", nil, time.Second, 6, &fleetpb.Vote{LastIndex: 2, LastTerm: 5}, "vote false"},
		{"second vote", func(m *member) { m.receive("c", 6, full) }, time.Second, 6, full, "vote false"},
		{"right after a restart", nil, 100 * time.Millisecond, 6, full, ""},
		{"recent contact with the leader", func(m *member) { m.receive("c", 5, heartbeat) }, time.Second, 6, full, ""},
		{"recent contact with the leader, transfer", func(m *member) { m.receive("c", 5, heartbeat) }, time.Second, 6, &fleetpb.Vote{LastIndex: 3, LastTerm: 5, Transfer: true}, "vote true"},
		{"recent contact with the leader, before an election", func(m *member) { m.receive("c", 5, heartbeat) }, time.Second, 6, &fleetpb.PreVote{LastIndex: 3, LastTerm: 5}, "vote false"},
		{"before an election", nil, time.Second, 6, &fleetpb.PreVote{LastIndex: 3, LastTerm: 5}, "vote true"},
		{"replaced entry, not synced", func(m *member) { m.syncPaused = true; m.receive("b", 5, heartbeat) }, time.Second, 5, &fleetpb.Append{PrevIndex: 2, PrevTerm: 4, Entries: []*fleetpb.Entry{{Index: 3, Term: 6}}, Round: 2}, "match 2 rejected 0 hint 0/0"},
		{"gap", nil, time.Second, 5, &fleetpb.Append{PrevIndex: 9, PrevTerm: 5, Round: 1}, "match 0 rejected 9 hint 5/3"},
		{"other term", nil, time.Second, 5, &fleetpb.Append{PrevIndex: 3, PrevTerm: 3, Round: 1}, "match 0 rejected 3 hint 1/1"},
		{"deposed leader", nil, time.Second, 4, heartbeat, "match 0 rejected 0 hint 0/0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMember(t)
			m.now = ident.Time(tt.after)
			if tt.before != nil {
				tt.before(m)
			}
			require.Equal(t, tt.want, m.receive("b", tt.term, tt.kind))
		})
	}
}

// Guards against a leader that commits an entry of an earlier term while a member with a different entry can still be
// elected, and against membership changes of two terms that form disjoint majorities.
func TestNewLeaderCommitsItsOwnTermFirst(t *testing.T) {
	m := newMember(t)
	require.Contains(t, m.receive("b", 5, &fleetpb.Append{PrevIndex: 3, PrevTerm: 5, Commit: 1}), "applies 1")
	m.becomeLeader()
	require.Empty(t, m.receive("b", 6, &fleetpb.AppendAnswer{Success: true, Match: 3, Round: 1}))
	require.Contains(t, m.step(quorum.AddLearner{ID: 1, Host: "d", Peer: "d"}), "in progress")
	require.Equal(t, "applies 4", m.receive("b", 6, &fleetpb.AppendAnswer{Success: true, Match: 4, Round: 1}))
	require.Contains(t, m.step(quorum.AddLearner{ID: 2, Host: "d", Peer: "d"}), "proposed 5")
	require.Contains(t, m.step(quorum.Remove{ID: 3, Host: "c"}), "in progress")
}

// Guards against a log that grows without bound while no majority answers.
func TestUncommittedEntriesAreBounded(t *testing.T) {
	m := newMember(t)
	m.becomeLeader()
	for id := range quorum.DefaultBounds.Pending - 4 {
		require.Contains(t, m.step(quorum.Propose{ID: id, Change: &fleetpb.Change{}}), "<nil>")
	}
	require.Contains(t, m.step(quorum.Propose{Change: &fleetpb.Change{}}), "not yet committed")
}

// Guards against a member that handles messages addressed to its lost predecessor, or messages of another log.
func TestForeignMessagesAreDropped(t *testing.T) {
	for _, change := range []func(*fleetpb.Message){
		func(m *fleetpb.Message) { m.To = "a/2" },
		func(m *fleetpb.Message) { m.Fleet = 2 },
	} {
		m := newMember(t)
		m.now = ident.Time(time.Second)
		message := &fleetpb.Message{From: "b/1", To: "a/1", Peer: "b", Term: 6, Fleet: 1, Kind: &fleetpb.Message_Vote{
			Vote: &fleetpb.Vote{LastIndex: 3, LastTerm: 5},
		}}
		change(message)
		require.Empty(t, m.step(quorum.Receive{Message: message}))
		require.Equal(t, uint64(5), m.node.Status().Term)
	}
}

// Guards against a leader that counts its own entries before they are synced. With one follower they would be committed,
// and would be lost if the leader lost power and the follower lost its disk.
func TestLeaderCountsOnlySyncedEntries(t *testing.T) {
	m := newMember(t)
	m.becomeLeader()
	m.receive("b", 6, &fleetpb.AppendAnswer{Success: true, Match: 4, Round: 1})
	var seq uint64
	// committed passes inputs to the node and returns the highest commit index that it sends to the followers.
	committed := func(inputs ...quorum.Input) uint64 {
		var highest uint64
		for _, action := range m.node.Step(m.now, inputs...) {
			switch action := action.(type) {
			case quorum.Persist:
				seq = action.Seq
			case quorum.Send:
				highest = max(highest, action.Message.GetAppend().GetCommit())
			}
		}
		return highest
	}
	committed(quorum.Propose{ID: 1, Change: &fleetpb.Change{}})
	require.NotZero(t, seq)
	answer := &fleetpb.Message{From: "b/1", To: "a/1", Peer: "b", Term: 6, Fleet: 1, Kind: &fleetpb.Message_Appended{
		Appended: &fleetpb.AppendAnswer{Success: true, Match: 5, Round: 1},
	}}
	heartbeat := func() uint64 {
		m.now = m.now.Add(quorum.DefaultBounds.Heartbeat)
		return committed(quorum.Tick{})
	}
	committed(quorum.Receive{Message: answer})
	require.Equal(t, uint64(4), heartbeat(), "committed with one follower although the leader has not synced the entry")
	committed(quorum.Persisted{Seq: seq})
	require.Equal(t, uint64(5), heartbeat())
}
