package quorum_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/quorum"
)

// FuzzMessage guards against a message of another host that stops the process: whatever it contains, the member handles or drops
// it, and continues as a follower and as a leader.
func FuzzMessage(f *testing.F) {
	voter := &fleetpb.Voter{Host: "b", Peer: "b", Member: "b/1"}
	for _, m := range []*fleetpb.Message{
		{Term: 6, Kind: &fleetpb.Message_Append{Append: &fleetpb.Append{PrevIndex: 3, PrevTerm: 5, Round: 1, Commit: 4, Entries: []*fleetpb.Entry{
			{Index: 4, Term: 6, Change: &fleetpb.Change{Kind: &fleetpb.Change_Voters{Voters: &fleetpb.Voters{}}}},
		}}}},
		{Term: 9, Kind: &fleetpb.Message_Snapshot{Snapshot: &fleetpb.Snapshot{Index: 9, Term: 9}}},
		{Term: 6, Kind: &fleetpb.Message_Appended{Appended: &fleetpb.AppendAnswer{Rejected: 1 << 60, Hint: 1 << 61, Success: true, Match: 1 << 62, Round: 9}}},
		{Term: 7, Kind: &fleetpb.Message_Vote{Vote: &fleetpb.Vote{LastIndex: 1 << 62, LastTerm: 9, Transfer: true}}},
		{Term: 6, Kind: &fleetpb.Message_Answer{Answer: &fleetpb.VoteAnswer{Granted: true, VacantMs: 1 << 63}}},
		{Kind: &fleetpb.Message_Hello{Hello: &fleetpb.Hello{Member: voter, Fresh: true, Replacement: true}}},
		{Kind: &fleetpb.Message_Hello{Hello: &fleetpb.Hello{}}},
		{Kind: &fleetpb.Message_Greeted{Greeted: &fleetpb.HelloAnswer{Problem: "x"}}},
		{Term: 5, Kind: &fleetpb.Message_Timeout{Timeout: &fleetpb.TimeoutNow{}}},
	} {
		raw, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, true)
		f.Add(raw, false)
	}
	f.Fuzz(func(t *testing.T, raw []byte, leads bool) {
		message := &fleetpb.Message{}
		if proto.Unmarshal(raw, message) != nil {
			return
		}
		message.From, message.To, message.Peer, message.Fleet = "b/1", "a/1", "b", 1
		m := newMember(t)
		if leads {
			m.becomeLeader()
		}
		m.now = m.now.Add(time.Second)
		m.step(quorum.Receive{Message: message})
		for range 5 {
			m.now = m.now.Add(time.Second)
			m.step(quorum.Tick{})
			m.step(quorum.Propose{ID: 1, Change: &fleetpb.Change{}})
		}
	})
}
