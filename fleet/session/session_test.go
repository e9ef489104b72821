package session_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/session"
)

func name(i int) ident.Session {
	return ident.Session{Service: "ledger", Team: "stalls", User: ident.User(fmt.Sprint("member", i))}
}

func at(lsn int) ident.Position { return ident.Position{Term: 1, LSN: ident.LSN(lsn)} }

// Guards against writes that are never acknowledged, because the name of a user is not UTF-8 and no message can carry it.
func TestUserThatIsNotUTF8(t *testing.T) {
	odd := ident.Session{Service: "ledger", Team: "stalls", User: "member\xff"}
	data, err := proto.Marshal(&fleetpb.PutRequest{Session: session.Message(odd)})
	require.NoError(t, err)
	received := &fleetpb.PutRequest{}
	require.NoError(t, proto.Unmarshal(data, received))
	require.Equal(t, odd, session.Name(received.GetSession()))
}

// Guards against an eviction that loses a position: the session could then read from a replica that lacks its writes.
func TestEvictionRaisesTheFloor(t *testing.T) {
	table := session.NewTable(256)
	for i := range 5000 {
		table.Put(session.Hash(name(i)), at(i))
	}
	require.LessOrEqual(t, table.Len(), 256)
	for i := range 5000 {
		require.True(t, table.Get(session.Hash(name(i))).Covers(at(i)), "session %d", i)
	}
	table.Raise(at(6000))
	require.Zero(t, table.Len(), "entries that the floor covers must be removed")
	require.Equal(t, at(6000), table.Get(session.Hash(name(1))))
}

// Guards against lowering a session's entry when a Put with an older position arrives late or out of order.
func TestPutNeverLowersAPosition(t *testing.T) {
	table := session.NewTable(256)
	table.Put(1, at(9))
	table.Put(1, at(4))
	table.Put(1, ident.Position{Term: 2, LSN: 3})
	require.Equal(t, ident.Position{Term: 2, LSN: 9}, table.Get(1))
}

// Guards against moving sessions between remaining hosts when a keeper is removed, and against an uneven distribution.
func TestHoldersMoveOnlyFromRemovedKeepers(t *testing.T) {
	var all []session.Member
	for i := range 12 {
		all = append(all, session.Member{
			Host: ident.Host(fmt.Sprint("entry", i)), Incarnation: 1, Zone: ident.Zone(fmt.Sprint("z", i%3)),
		})
	}
	before, after := session.NewSet(1, all), session.NewSet(2, all[1:])
	load := map[ident.Host]int{}
	for i := range 4000 {
		old := before.Holders(name(i))
		require.Len(t, old, 3)
		for j, m := range after.Holders(name(i)) {
			if old[j].Host != "entry0" {
				require.Equal(t, old[j], m)
			}
			load[m.Host]++
		}
	}
	for host, n := range load {
		require.InDelta(t, 4000/4, n, 500, host)
	}
}

// Guards against a keeper that is authoritative although its lease has ended, it missed an epoch, another host was the holder
// in an epoch, or its floor is of an epoch that is not settled.
func TestKeeperAuthority(t *testing.T) {
	self := session.Member{Host: "a", Incarnation: 1, Zone: "z"}
	other := session.Member{Host: "b", Incarnation: 1, Zone: "z"}
	settled := func(e ident.Epoch, m session.Member) *session.View {
		return &session.View{Current: session.NewSet(e, []session.Member{m}), Settled: true}
	}
	open := func(e ident.Epoch, m, old session.Member) *session.View {
		return &session.View{
			Current:  session.NewSet(e, []session.Member{m}),
			Previous: session.NewSet(e-1, []session.Member{old}),
		}
	}
	tests := []struct {
		name  string
		views []*session.View
		floor ident.Epoch // epoch of a floor that is set before the last view; 0 for none
		now   ident.Time
		want  bool
	}{
		{"settled with a floor", []*session.View{settled(1, self), settled(1, self)}, 1, 5, true},
		{"lease ended", []*session.View{settled(1, self), settled(1, self)}, 1, 10, false},
		{"no floor yet", []*session.View{settled(1, self)}, 0, 5, false},
		{"holder throughout", []*session.View{settled(1, self), open(2, self, self)}, 1, 5, true},
		{"epoch known as the previous one of its successor", []*session.View{settled(1, self), open(3, self, self)}, 1, 5, true},
		{"missed epoch", []*session.View{settled(1, self), settled(3, self)}, 1, 5, false},
		{"removed", []*session.View{settled(1, self), open(2, other, self)}, 1, 5, false},
		{"removed and added again", []*session.View{settled(1, self), open(3, self, other)}, 1, 5, false},
		{"older epoch again", []*session.View{open(2, other, self), settled(1, self)}, 1, 5, false},
		{"floor of a later epoch than the adopted one", []*session.View{open(2, self, other), open(2, self, other)}, 3, 5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k := session.NewKeeper(session.KeeperOptions{Self: self})
			k.SetLease(10)
			for i, view := range tt.views {
				if i == len(tt.views)-1 && tt.floor > 0 {
					k.SetFloor("ledger", tt.floor, at(1))
				}
				k.Adopt(view)
			}
			got := k.Get(tt.now, &fleetpb.GetRequest{Session: session.Message(name(1))})
			require.Equal(t, tt.want, got.GetAuthoritative())
		})
	}
}

// Guards against acknowledging a write after the lease has ended or the epoch has changed while the answers arrived.
func TestWriterChecksLeaseAndEpochAtAcknowledgement(t *testing.T) {
	a, b := session.Member{Host: "a", Zone: "z"}, session.Member{Host: "b", Zone: "z"}
	one := &session.View{Current: session.NewSet(1, []session.Member{a}), Settled: true}
	two := &session.View{Current: session.NewSet(2, []session.Member{b}), Previous: one.Current}
	recorded := &fleetpb.PutResponse{Recorded: true}
	tests := []struct {
		name  string
		now   ident.Time
		view  *session.View
		lease ident.Time
		want  session.WriteAction
	}{
		{"unchanged", 5, one, 10, session.Acknowledge{}},
		{"answer at the deadline", 100, one, 110, session.Acknowledge{}},
		{"lease ended", 10, one, 10, session.AwaitAnswer{Until: 100}},
		{"lease ended at the deadline", 100, one, 10, session.GiveUp{Cause: &session.Unrecorded{
			Session: name(1), Epoch: 1, NoLease: true,
		}}},
		{"new epoch", 5, two, 10, session.SendPuts{Epoch: 2, To: []session.Member{b}}},
		{"new epoch at the deadline", 100, two, 110, session.GiveUp{Cause: &session.Unrecorded{
			Session: name(1), Epoch: 2, Missing: []ident.Host{"b"},
		}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := session.NewWriter(name(1), at(1), 100)
			require.IsType(t, session.SendPuts{}, w.Next(0, session.Conditions{View: one, Lease: 10}))
			w.Answered(1, a, recorded)
			require.Equal(t, tt.want, w.Next(tt.now, session.Conditions{View: tt.view, Lease: tt.lease}))
		})
	}
}

// Guards invariant 1 against a keeper that records a write for a later start of its host: the writer would count that start as a
// holder, although its table is without the write. The order of the starts must not follow from their numbers, since the clock of
// a host may be stepped back before a restart. A restarted host must still accept writes for the start that it replaces.
func TestPutsForOtherStartsOfTheHost(t *testing.T) {
	view := func(e ident.Epoch, m session.Member) *session.View {
		return &session.View{Current: session.NewSet(e, []session.Member{m}), Settled: true}
	}
	tests := []struct {
		name        string
		self, other ident.Incarnation
	}{
		{"clocks in order", 2, 1},
		{"clock stepped back", 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			earlier, later := member("a1", tt.other), member("a1", tt.self)
			request := session.NewWriter(name(0), at(0x100), 1000).Request(1)
			put := func(views []*session.View, self session.Member) bool {
				keeper := session.NewKeeper(session.KeeperOptions{Self: self})
				for _, v := range views {
					keeper.Adopt(v)
				}
				return keeper.Put(request).GetRecorded()
			}
			before, after := view(1, earlier), view(2, later)
			require.Equal(t, []bool{true, true, true, false}, []bool{
				put([]*session.View{before}, later), put([]*session.View{before, after}, later),
				put([]*session.View{before}, earlier), put([]*session.View{before, after}, earlier),
			})
			// A host that synced before the first epoch cannot tell whether that names an earlier or a later start.
			require.False(t, put([]*session.View{nil, before}, later))
		})
	}
}
