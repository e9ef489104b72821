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
	t    *testing.T
	node *quorum.Node
	now  ident.Time
	seq  uint64
	held bool
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

// take steps the node and returns its answers to messages and what it applies; it syncs what is to be persisted.
func (m *member) take(inputs ...quorum.Input) string {
	var said []string
	for _, action := range m.node.Step(m.now, inputs...) {
		switch action := action.(type) {
		case quorum.Persist:
			m.seq = action.Seq
		case quorum.Apply:
			said = append(said, fmt.Sprint("applies ", action.Entries[len(action.Entries)-1].Index))
		case quorum.Proposed:
			said = append(said, fmt.Sprint("proposed ", action.Index, " ", action.Err))
		case quorum.Send:
			if answer := action.Message.GetAnswer(); answer != nil {
				said = append(said, fmt.Sprint("vote ", answer.Granted))
			}
			if answer := action.Message.GetAppended(); answer != nil {
				said = append(said, fmt.Sprintf("match %d rejected %d hint %d/%d", answer.Match, answer.Rejected, answer.HintTerm, answer.Hint))
			}
		}
	}
	if m.seq > 0 && !m.held {
		seq := m.seq
		m.seq = 0
		said = append(said, strings.Fields(m.take(quorum.Persisted{Seq: seq}))...)
	}
	return strings.Join(said, " ")
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
	return m.take(quorum.Receive{Message: message})
}

// lead makes the node leader of term 6, whose first entry is at index 4.
func (m *member) lead() {
	m.now = ident.Time(2 * time.Second)
	m.take(quorum.Tick{})
	m.receive("b", 6, &fleetpb.VoteAnswer{Granted: true, Pre: true})
	m.receive("b", 6, &fleetpb.VoteAnswer{Granted: true})
	require.Equal(m.t, quorum.Leader, m.node.Status().Role)
}

// Guards against a vote for a member with an older log, a second vote in a term, a vote that breaks the lease of a
// leader, and an acknowledgement of what is not synced.
func TestAnswers(t *testing.T) {
	full, beat := &fleetpb.Vote{LastIndex: 3, LastTerm: 5}, &fleetpb.Append{PrevIndex: 3, PrevTerm: 5, Round: 1}
	tests := []struct {
		name string
		// What happens before the message, which comes at a time after the start.
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
		{"leader heard", func(m *member) { m.receive("c", 5, beat) }, time.Second, 6, full, ""},
		{"leader heard, transfer", func(m *member) { m.receive("c", 5, beat) }, time.Second, 6, &fleetpb.Vote{LastIndex: 3, LastTerm: 5, Transfer: true}, "vote true"},
		{"leader heard, before an election", func(m *member) { m.receive("c", 5, beat) }, time.Second, 6, &fleetpb.PreVote{LastIndex: 3, LastTerm: 5}, "vote false"},
		{"before an election", nil, time.Second, 6, &fleetpb.PreVote{LastIndex: 3, LastTerm: 5}, "vote true"},
		{"replaced entry, not synced", func(m *member) { m.held = true; m.receive("b", 5, beat) }, time.Second, 5, &fleetpb.Append{PrevIndex: 2, PrevTerm: 4, Entries: []*fleetpb.Entry{{Index: 3, Term: 6}}, Round: 2}, "match 2 rejected 0 hint 0/0"},
		{"gap", nil, time.Second, 5, &fleetpb.Append{PrevIndex: 9, PrevTerm: 5, Round: 1}, "match 0 rejected 9 hint 5/3"},
		{"other term", nil, time.Second, 5, &fleetpb.Append{PrevIndex: 3, PrevTerm: 3, Round: 1}, "match 0 rejected 3 hint 1/1"},
		{"deposed leader", nil, time.Second, 4, beat, "match 0 rejected 0 hint 0/0"},
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

// Guards against an entry of an earlier term that counts as committed while a member with another one may still win, and
// against membership changes of two terms that form disjoint majorities.
func TestNewLeaderCommitsItsOwnTermFirst(t *testing.T) {
	m := newMember(t)
	require.Contains(t, m.receive("b", 5, &fleetpb.Append{PrevIndex: 3, PrevTerm: 5, Commit: 1}), "applies 1")
	m.lead()
	require.Empty(t, m.receive("b", 6, &fleetpb.AppendAnswer{Success: true, Match: 3, Round: 1}))
	require.Contains(t, m.take(quorum.AddLearner{ID: 1, Host: "d", Peer: "d"}), "in progress")
	require.Equal(t, "applies 4", m.receive("b", 6, &fleetpb.AppendAnswer{Success: true, Match: 4, Round: 1}))
	require.Contains(t, m.take(quorum.AddLearner{ID: 2, Host: "d", Peer: "d"}), "proposed 5")
	require.Contains(t, m.take(quorum.Remove{ID: 3, Host: "c"}), "in progress")
}

// Guards against a log that grows without bound while no majority answers.
func TestUncommittedEntriesAreBounded(t *testing.T) {
	m := newMember(t)
	m.lead()
	for id := range quorum.DefaultBounds.Pending - 4 {
		require.Contains(t, m.take(quorum.Propose{ID: id, Change: &fleetpb.Change{}}), "<nil>")
	}
	require.Contains(t, m.take(quorum.Propose{Change: &fleetpb.Change{}}), "not yet committed")
}

// Guards against messages to a lost member's identity, or of another log, that this member acts on.
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
		require.Empty(t, m.take(quorum.Receive{Message: message}))
		require.Equal(t, uint64(5), m.node.Status().Term)
	}
}

// Guards against a leader that counts its own entries before they are synced: with one follower they would be committed, and a
// loss of power of the leader and of the other follower's disk would lose them.
func TestLeaderCountsOnlySyncedEntries(t *testing.T) {
	m := newMember(t)
	m.lead()
	m.receive("b", 6, &fleetpb.AppendAnswer{Success: true, Match: 4, Round: 1})
	var seq uint64
	// committed steps the node and returns the highest commitment that it tells the followers.
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
	beat := func() uint64 {
		m.now = m.now.Add(quorum.DefaultBounds.Heartbeat)
		return committed(quorum.Tick{})
	}
	committed(quorum.Receive{Message: answer})
	require.Equal(t, uint64(4), beat(), "one follower and an entry that is not synced are no majority")
	committed(quorum.Persisted{Seq: seq})
	require.Equal(t, uint64(5), beat())
}
