package quorum

import (
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Input is an event that a member handles: Tick, Receive, Propose, AddLearner, Remove, Transfer, Contacts, Persisted or
// Compact.
type Input interface{ input() }

// Tick advances timeouts and heartbeats; the caller sends one every Bounds.Tick.
type Tick struct{}

// Receive passes on a message from another member.
type Receive struct{ Message *fleetpb.Message }

// Propose asks the leader to append a change; a Proposed action with the same ID answers it.
type Propose struct {
	ID     uint64
	Change *fleetpb.Change
	// Until is the latest time at which the change may be appended; 0 means any time.
	Until ident.Time
}

// AddLearner asks the leader to let a host join as a learner at its next start; a Proposed action answers it.
type AddLearner struct {
	ID     uint64
	Host   string
	Peer   string
	Zone   string
	Region string
}

// Remove asks the leader to remove a host from the members; a Proposed action answers it.
type Remove struct {
	ID   uint64
	Host string
}

// Transfer asks the leader to transfer its leadership to another voter before a shutdown.
type Transfer struct{}

// Contacts names the peer addresses that a member without a log asks for admission, besides the initial control hosts.
type Contacts struct{ Peers []string }

// Persisted reports that the Persist action with this number, and all before it, are synced to disk.
type Persisted struct{ Seq uint64 }

// Compact passes on the state of the state machine after the entry at Index was applied; it answers TakeSnapshot.
type Compact struct {
	Index uint64
	State []byte
}

func (Tick) input()       {}
func (Receive) input()    {}
func (Propose) input()    {}
func (AddLearner) input() {}
func (Remove) input()     {}
func (Transfer) input()   {}
func (Contacts) input()   {}
func (Persisted) input()  {}
func (Compact) input()    {}

// Action is a step that the caller performs, in the order returned: Persist, Send, Apply, Restore, TakeSnapshot, Proposed,
// MembersChange or RoleChange.
type Action interface{ action() }

// Persist stores its parts in one transaction; the caller answers with Persisted once they are synced to disk.
type Persist struct {
	Seq uint64
	// HardState replaces the stored hard state unless it is nil.
	HardState *fleetpb.HardState
	// Snapshot replaces the stored snapshot unless it is nil.
	Snapshot *fleetpb.Snapshot
	// Reset deletes all stored entries before Entries are stored.
	Reset bool
	// DeleteBelow deletes the stored entries below this index; 0 deletes none.
	DeleteBelow uint64
	// Entries replace the stored entries from Entries[0].Index on.
	Entries []*fleetpb.Entry
}

// Send sends a message to the member at a peer address; the message may be lost, delayed or duplicated.
type Send struct {
	Peer    string
	Message *fleetpb.Message
}

// Apply applies committed entries to the state machine.
type Apply struct{ Entries []*fleetpb.Entry }

// Restore replaces the state of the state machine with that of a snapshot.
type Restore struct{ Snapshot *fleetpb.Snapshot }

// TakeSnapshot requests the state of the state machine after the entry at Index, to compact the log.
type TakeSnapshot struct{ Index uint64 }

// Proposed answers Propose, AddLearner and Remove with the entry's index and term, or with the reason it was rejected.
type Proposed struct {
	ID    uint64
	Index uint64
	Term  uint64
	Err   error
}

// MemberChange is a kind of change of the membership by one member.
type MemberChange int

//go:generate enumer -type=MemberChange -transform=lower

const (
	// Admitted hosts may join with an empty data folder.
	Admitted MemberChange = iota
	// Joined hosts are learners with a member id.
	Joined
	// Promoted learners are voters.
	Promoted
	// Demoted voters are learners and keep their logs.
	Demoted
	// Removed members are no longer part of the membership.
	Removed
)

// MembersChange reports a change of the membership that the leader has appended, for its log.
type MembersChange struct {
	Kind MemberChange
	Host string
	// Silence is the time since the leader last heard from the member, or since it became the leader.
	Silence time.Duration
	// Voters is the number of voters after the change, and Active the number of those that have answered recently.
	Voters, Active int
}

// RoleChange reports a change of role, term, leader, readiness or problem.
type RoleChange struct{ Status Status }

func (Persist) action()       {}
func (Send) action()          {}
func (Apply) action()         {}
func (Restore) action()       {}
func (TakeSnapshot) action()  {}
func (Proposed) action()      {}
func (MembersChange) action() {}
func (RoleChange) action()    {}
