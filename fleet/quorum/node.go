package quorum

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Role is the role of a member in its term.
type Role int

//go:generate enumer -type=Role -transform=lower

const (
	// Outsider has no log yet: it bootstraps one with the other initial hosts or waits to be added as a learner.
	Outsider Role = iota
	// Learner receives the log but has no vote.
	Learner
	// Follower is a voter that follows the leader, or waits for one.
	Follower
	// PreCandidate asks the voters whether it would win an election, without entering a new term.
	PreCandidate
	// Candidate requests votes in its term.
	Candidate
	// Leader appends entries in its term.
	Leader
)

// Bounds are the intervals, timeouts and size limits of the log.
type Bounds struct {
	// Tick is the interval of Tick inputs, Heartbeat that of a leader's heartbeat rounds.
	Tick      time.Duration
	Heartbeat time.Duration
	// Election timeouts are random, between ElectionMin and ElectionMax.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Lease is how long a heartbeat round confirms the leader, counted from when the round was sent. It must be shorter than
	// ElectionMin, the time for which a member votes for no other leader after contact with the current one. The difference
	// allows for clocks that run at different rates.
	Lease time.Duration
	// SnapshotRetry is the time after which an unanswered snapshot is sent again.
	SnapshotRetry time.Duration
	// Compact is the number of applied entries after which the log is compacted, Trailing the number of entries before the
	// snapshot that are kept for slow members.
	Compact  uint64
	Trailing uint64
	// Batch limits the number of entries in one message and BatchBytes their size. Window limits the number of entries that
	// are sent to a member and not yet acknowledged.
	Batch      int
	BatchBytes int
	Window     uint64
	// Pending is the number of uncommitted entries at which a leader rejects further changes.
	Pending uint64
	// Voters says which members vote.
	Voters VoterPolicy
}

// DefaultBounds are the bounds that the design page states.
var DefaultBounds = Bounds{
	Tick:          50 * time.Millisecond,
	Heartbeat:     100 * time.Millisecond,
	ElectionMin:   500 * time.Millisecond,
	ElectionMax:   time.Second,
	Lease:         450 * time.Millisecond,
	SnapshotRetry: 2 * time.Second,
	Compact:       256,
	Trailing:      64,
	Batch:         64,
	BatchBytes:    1 << 20,
	Window:        1024,
	Pending:       4096,
}

// Options describe a member and its stored state.
type Options struct {
	// Self is this member: host, peer address and member id.
	Self *fleetpb.Voter
	// InitialHosts are the control hosts that the fleet is first started with; their member ids are ignored.
	InitialHosts []*fleetpb.Voter
	// Replacement keeps a member with an empty data folder from bootstrapping a log.
	Replacement bool
	// Seed seeds the random election timeouts, together with the member id.
	Seed uint64
	// Bounds defaults to DefaultBounds when zero.
	Bounds Bounds

	// The stored state, with zero values for an empty data folder.
	HardState *fleetpb.HardState
	Snapshot  *fleetpb.Snapshot
	Entries   []*fleetpb.Entry
}

// Status is what a member knows about the leadership of the log.
type Status struct {
	Role Role
	Term uint64
	// Leader is the peer address of the term's leader, LeaderHost its host; empty when unknown.
	Leader     string
	LeaderHost ident.Host
	// Ready is set on a leader that has applied all entries of earlier terms.
	Ready bool
	// First is the index of the empty entry that opened this leader's term.
	First uint64
	// Since is when this member became the leader.
	Since ident.Time
	// NoLeaderSince is a time at or before Since. No earlier leader was confirmed from then on.
	NoLeaderSince ident.Time
	// ConfirmedAt is when the last heartbeat round that a majority answered was sent, and Until is when that confirmation
	// ends. Until is zero on members that are not the leader and on a leader that is transferring its leadership.
	ConfirmedAt ident.Time
	Until       ident.Time
	// LeaderContact is when this member, as a follower or learner, was last contacted by its leader, or when it started with a
	// log; 0 if neither happened.
	LeaderContact ident.Time
	// Problem is why other members refuse this one, empty once a leader contacts it.
	Problem string
}

// Node is one member of the log.
type Node struct {
	self         *fleetpb.Voter
	initialHosts []*fleetpb.Voter
	replacement  bool
	bounds       Bounds
	random       *rand.Rand
	now          ident.Time

	role Role
	term uint64
	vote string
	// fleet identifies the log, so that messages of another log are dropped. It is 0 until the member bootstraps a log or
	// receives a message of one.
	fleet  uint64
	leader *fleetpb.Voter

	log     entryLog
	commit  uint64
	applied uint64
	// Index of the last requested or restored snapshot.
	lastSnapshotIndex uint64
	// Highest index up to which the log is known to match that of the term's leader.
	matchIndex uint64

	leaderContact    ident.Time
	hasLeaderContact bool
	// ledUntil is when the member last stopped being the leader, or when it started.
	ledUntil         ident.Time
	electionDeadline ident.Time
	ballots          map[string]bool
	// failedPreVotes is the number of pre-votes that were answered and found no majority, in this term and since this
	// member last followed a leader. preVoteAnswered is set once the present pre-vote has an answer.
	failedPreVotes  int
	preVoteAnswered bool
	// noLeaderSince is the latest lease end that this candidate and its voters know of.
	noLeaderSince ident.Time

	leaderState leaderState
	outsider    outsider

	disk disk
	// pending holds the messages that send has queued since the last flush.
	pending  []Send
	out      []Action
	reported Status
}

// New returns a member and its first actions, or a StateError when the stored state is inconsistent.
func New(now ident.Time, options Options) (*Node, []Action, error) {
	log, err := newEntryLog(options.Snapshot, options.Entries)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	n := &Node{
		self:         options.Self,
		initialHosts: options.InitialHosts,
		replacement:  options.Replacement,
		bounds:       options.Bounds,
		random:       rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(options.Self.GetMember()))),
		now:          now,
		ledUntil:     now,
		term:         options.HardState.GetTerm(),
		vote:         options.HardState.GetVote(),
		fleet:        options.HardState.GetFleet(),
		log:          log,
	}
	if n.bounds == (Bounds{}) {
		n.bounds = DefaultBounds
	}
	if n.log.last().term > n.term {
		return nil, nil, trace.Wrap(&StateError{"the last entry is of a later term than the hard state"})
	}
	n.outsider.hellos = map[string]*receivedHello{}
	n.disk.syncedIndex = n.log.last().index
	n.commit = n.log.snapshot.GetIndex()
	n.disk.syncedSnapshot = n.commit
	if n.term > 0 {
		// Before the restart, the member may have answered a leader whose lease still relies on that answer.
		n.leaderContact, n.hasLeaderContact = now, true
	}
	n.resetRole(nil)
	if n.term == 0 && n.role == Outsider && n.mayBootstrapAlone() {
		n.bootstrap()
	}
	n.flush()
	return n, n.takeActions(), nil
}

// Step handles inputs and returns the resulting actions; now must not be before the time of the last call. Entries of
// several inputs are stored in one Persist.
func (n *Node) Step(now ident.Time, inputs ...Input) []Action {
	n.now = max(n.now, now)
	for _, in := range inputs {
		n.handleInput(in)
	}
	n.flush()
	return n.takeActions()
}

func (n *Node) handleInput(in Input) {
	switch in := in.(type) {
	case Tick:
		n.tick()
	case Receive:
		n.handleMessage(in.Message)
	case Propose:
		n.propose(in)
	case AddLearner:
		n.addLearner(in)
	case Remove:
		n.remove(in)
	case Transfer:
		n.transfer()
	case Contacts:
		n.outsider.contacts = in.Peers
	case Persisted:
		n.handlePersisted(in.Seq)
	case Compact:
		n.compact(in)
	}
}

// Status returns what the member knows about the leadership of the log.
func (n *Node) Status() Status {
	s := Status{Role: n.role, Term: n.term, LeaderContact: n.leaderContact, Problem: n.outsider.problem}
	if n.leader != nil {
		s.Leader, s.LeaderHost = n.leader.GetPeer(), ident.Host(n.leader.GetHost())
	}
	if n.role != Leader {
		return s
	}
	s.Ready = n.applied >= n.leaderState.firstIndex
	s.First = n.leaderState.firstIndex
	s.Since, s.NoLeaderSince = n.leaderState.since, n.leaderState.noLeaderSince
	s.ConfirmedAt = n.leaderState.confirmedAt
	if !n.leaderState.transferring && n.leaderState.hasConfirmed {
		s.Until = n.leaderState.confirmedAt.Add(n.bounds.Lease)
	}
	return s
}

// Members returns the membership in force, or nil without a log; the caller must not change it.
func (n *Node) Members() *fleetpb.Voters {
	return n.log.voters
}

func (n *Node) tick() {
	switch {
	case n.role == Leader:
		n.tickLeader()
	case n.log.voters == nil:
		n.sendHellos()
	case n.now >= n.electionDeadline && n.isVoter(n.self.GetMember()):
		n.preCampaign()
	}
}

// resetRole ends a candidacy or leadership and makes the member follow a leader, or wait for one if leader is nil.
func (n *Node) resetRole(leader *fleetpb.Voter) {
	n.leader = leader
	if leader != nil {
		n.failedPreVotes, n.preVoteAnswered = 0, false
	}
	n.ballots = nil
	if n.role == Leader {
		n.ledUntil = n.now
	}
	n.leaderState = leaderState{}
	n.role = n.membershipRole()
	n.resetElectionTimer()
}

func (n *Node) membershipRole() Role {
	switch {
	case n.log.voters == nil:
		return Outsider
	case n.isVoter(n.self.GetMember()):
		return Follower
	default:
		return Learner
	}
}

// enterTerm enters a later term, without a vote or a leader.
func (n *Node) enterTerm(term uint64) {
	if term == n.term {
		return
	}
	n.term, n.vote = term, ""
	n.failedPreVotes, n.preVoteAnswered = 0, false
	n.matchIndex = 0
	n.disk.dirtyHardState = true
	n.resetRole(nil)
}

func (n *Node) resetElectionTimer() {
	spread := int64(n.bounds.ElectionMax - n.bounds.ElectionMin)
	n.electionDeadline = n.now.Add(n.bounds.ElectionMin + time.Duration(n.random.Int64N(spread+1)))
}

// hasActiveLeader reports whether the term's leader may still rely on this member not to vote for another leader.
func (n *Node) hasActiveLeader() bool {
	if n.role == Leader {
		return n.leaderState.hasConfirmed && n.now.Sub(n.leaderState.confirmedAt) < n.bounds.ElectionMin
	}
	return n.hasLeaderContact && n.now.Sub(n.leaderContact) < n.bounds.ElectionMin
}

// leaseEnd returns the end of the last lease that this member knows of: its own, or that of a leader that it has answered.
func (n *Node) leaseEnd() ident.Time {
	if n.hasLeaderContact {
		return max(n.ledUntil, n.leaderContact.Add(n.bounds.Lease))
	}
	return n.ledUntil
}

// send queues a message to be sent once the hard state is synced.
func (n *Node) send(to, peer string, message *fleetpb.Message) {
	n.pending = append(n.pending, Send{Peer: peer, Message: n.setAddresses(to, message)})
}

// sendNow sends a message that does not depend on unsynced state.
func (n *Node) sendNow(to, peer string, message *fleetpb.Message) {
	n.out = append(n.out, Send{Peer: peer, Message: n.setAddresses(to, message)})
}

func (n *Node) setAddresses(to string, message *fleetpb.Message) *fleetpb.Message {
	message.From, message.To = n.self.GetMember(), to
	message.Peer, message.Fleet = n.self.GetPeer(), n.fleet
	if message.Term == 0 {
		message.Term = n.term
	}
	return message
}

// MemberID returns the id of the member whose data folder has this incarnation.
func MemberID(host ident.Host, incarnation uint64) string {
	return fmt.Sprintf("%s/%016x", host, incarnation)
}

// HostOf returns the host of a member id.
func HostOf(member string) ident.Host {
	host, _, _ := strings.Cut(member, "/")
	return ident.Host(host)
}

func (n *Node) takeActions() []Action {
	out := n.out
	n.out = nil
	return out
}
