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

// Role is the part that a member plays in its term.
type Role int

//go:generate enumer -type=Role -transform=lower

const (
	// Outsider has no log yet: it founds one with the other initial hosts or waits to be admitted.
	Outsider Role = iota
	// Learner receives the log without a vote.
	Learner
	// Follower is a voter that follows the leader, or waits for one.
	Follower
	// PreCandidate asks whether an election could succeed, without a new term.
	PreCandidate
	// Candidate stands for election in its term.
	Candidate
	// Leader appends entries in its term.
	Leader
)

// Bounds are the times and sizes of the log.
type Bounds struct {
	// Tick is the interval of Tick inputs, Heartbeat that of a leader's rounds.
	Tick      time.Duration
	Heartbeat time.Duration
	// An election timeout is drawn between ElectionMin and ElectionMax.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Lease is how long a round confirms the leader, counted from its sending. It stays below ElectionMin, for which a
	// member that heard the leader elects no other, by a margin for clocks that run at different rates.
	Lease time.Duration
	// SnapshotRetry is the time after which an unanswered snapshot is sent again.
	SnapshotRetry time.Duration
	// Compact is the number of applied entries after which the log is compacted; Trailing entries are kept for slow
	// members.
	Compact  uint64
	Trailing uint64
	// Batch and BatchBytes bound the entries of one message, Window those sent and not yet acknowledged.
	Batch      int
	BatchBytes int
	Window     uint64
	// Pending is the number of uncommitted entries above which a leader takes no further change.
	Pending uint64
}

// DefaultBounds are the bounds of the design page.
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
	// InitialHosts are the control hosts of the fleet's first start; their member ids are ignored.
	InitialHosts []*fleetpb.Voter
	// Replacement keeps an empty member from founding a log.
	Replacement bool
	// Seed selects the random election timeouts.
	Seed uint64
	// Bounds are DefaultBounds when zero.
	Bounds Bounds

	// Stored state; zero values for an empty data folder.
	HardState *fleetpb.HardState
	Snapshot  *fleetpb.Snapshot
	Entries   []*fleetpb.Entry
}

// Status is what a member knows of the leadership.
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
	// NoLeaderSince is a time from which no earlier leader was confirmed, at or before Since.
	NoLeaderSince ident.Time
	// ConfirmedAt is when the last round that a majority answered was sent, and Until when that confirmation ends. Until
	// is zero on members that do not lead and on leaders that hand over their leadership.
	ConfirmedAt ident.Time
	Until       ident.Time
	// StalestVoter is the voter that the leader has not heard from for the longest time, and StalestContact when it last heard
	// from it; empty on members that do not lead.
	StalestVoter   ident.Host
	StalestContact ident.Time
	// Problem is why the other members do not count this one.
	Problem string
}

// Node is one member of the log.
type Node struct {
	self         *fleetpb.Voter
	initialHosts []*fleetpb.Voter
	joins        bool
	bounds       Bounds
	random       *rand.Rand
	now          ident.Time

	role   Role
	term   uint64
	vote   string
	fleet  uint64
	leader *fleetpb.Voter

	log     history
	commit  uint64
	applied uint64
	// Applied index up to which a TakeSnapshot was asked for.
	snapshotAt uint64
	// Highest index known to equal the log of the term's leader.
	agreed uint64

	heard    ident.Time
	hasHeard bool
	// led is when the member last ceased to lead, or started.
	led         ident.Time
	electionDue ident.Time
	ballots     map[string]bool
	// noLeaderSince is the latest end of a lease that the voters of this candidate know of.
	noLeaderSince ident.Time
	transferred   bool

	office   office
	outsider outsider

	disk    disk
	pending []Send
	out     []Action
	told    Status
}

// New returns a member and its first actions, or a StateError when the stored state is inconsistent.
func New(now ident.Time, options Options) (*Node, []Action, error) {
	log, err := newHistory(options.Snapshot, options.Entries)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	n := &Node{
		self:         options.Self,
		initialHosts: options.InitialHosts,
		joins:        options.Replacement,
		bounds:       options.Bounds,
		random:       rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(options.Self.GetMember()))),
		now:          now,
		led:          now,
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
	n.outsider.known = map[string]*greeting{}
	n.disk.index = n.log.last().index
	n.commit = n.log.snapshot.GetIndex()
	n.disk.snapshot = n.commit
	if n.term > 0 {
		// Before the restart the member may have answered a leader, whose lease still counts on that answer.
		n.heard, n.hasHeard = now, true
	}
	n.rest(nil)
	if n.term == 0 && n.role == Outsider && n.foundsAlone() {
		n.found()
	}
	n.flush()
	return n, n.take(), nil
}

// Step takes inputs at a time that is not before the last one, and returns the actions that follow from them. Entries
// of several inputs are stored in one Persist.
func (n *Node) Step(now ident.Time, inputs ...Input) []Action {
	n.now = max(n.now, now)
	for _, in := range inputs {
		n.accept(in)
	}
	n.flush()
	return n.take()
}

func (n *Node) accept(in Input) {
	switch in := in.(type) {
	case Tick:
		n.tick()
	case Receive:
		n.receive(in.Message)
	case Propose:
		n.propose(in.ID, in.Change)
	case AddLearner:
		n.addLearner(in)
	case Remove:
		n.remove(in)
	case Transfer:
		n.transfer()
	case Persisted:
		n.persisted(in.Seq)
	case Compact:
		n.compact(in)
	}
}

// Status returns what the member knows of the leadership.
func (n *Node) Status() Status {
	s := Status{Role: n.role, Term: n.term, Problem: n.outsider.problem}
	if n.leader != nil {
		s.Leader, s.LeaderHost = n.leader.GetPeer(), ident.Host(n.leader.GetHost())
	}
	if n.role != Leader {
		return s
	}
	s.Ready = n.applied >= n.office.first
	s.First = n.office.first
	s.Since, s.NoLeaderSince = n.office.since, n.office.noLeaderSince
	s.ConfirmedAt = n.office.confirmed
	if !n.office.leaving && n.office.hasConfirmed {
		s.Until = n.office.confirmed.Add(n.bounds.Lease)
	}
	for _, voter := range n.otherVoters() {
		heard := max(n.office.since, n.progress(voter.GetMember()).heard)
		if s.StalestVoter == "" || heard < s.StalestContact {
			s.StalestVoter, s.StalestContact = ident.Host(voter.GetHost()), heard
		}
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
		n.lead()
	case n.log.voters == nil:
		n.greet()
	case n.now >= n.electionDue && n.isVoter(n.self.GetMember()):
		n.preCampaign()
	}
}

// rest makes the member wait for a leader, or follow one.
func (n *Node) rest(leader *fleetpb.Voter) {
	n.leader = leader
	n.ballots = nil
	n.transferred = false
	if n.role == Leader {
		n.led = n.now
	}
	n.office = office{}
	n.role = n.restingRole()
	n.drawElection()
}

func (n *Node) restingRole() Role {
	switch {
	case n.log.voters == nil:
		return Outsider
	case n.isVoter(n.self.GetMember()):
		return Follower
	default:
		return Learner
	}
}

// enterTerm follows a later term.
func (n *Node) enterTerm(term uint64) {
	if term == n.term {
		return
	}
	n.term, n.vote = term, ""
	n.agreed = 0
	n.disk.dirtyHardState = true
	n.rest(nil)
}

func (n *Node) drawElection() {
	spread := int64(n.bounds.ElectionMax - n.bounds.ElectionMin)
	n.electionDue = n.now.Add(n.bounds.ElectionMin + time.Duration(n.random.Int64N(spread+1)))
}

// hearsLeader reports whether the term's leader may still count on this member not to elect another one.
func (n *Node) hearsLeader() bool {
	if n.role == Leader {
		return n.office.hasConfirmed && n.now.Sub(n.office.confirmed) < n.bounds.ElectionMin
	}
	return n.hasHeard && n.now.Sub(n.heard) < n.bounds.ElectionMin
}

// leaseEnd returns the end of the last lease that this member knows of: of a leader that it has answered, or its own.
func (n *Node) leaseEnd() ident.Time {
	if n.hasHeard {
		return max(n.led, n.heard.Add(n.bounds.Lease))
	}
	return n.led
}

// send queues a message that leaves once the hard state is synced.
func (n *Node) send(to, peer string, message *fleetpb.Message) {
	n.pending = append(n.pending, Send{Peer: peer, Message: n.address(to, message)})
}

// sendNow passes on a message that does not depend on what is not yet synced.
func (n *Node) sendNow(to, peer string, message *fleetpb.Message) {
	n.out = append(n.out, Send{Peer: peer, Message: n.address(to, message)})
}

func (n *Node) address(to string, message *fleetpb.Message) *fleetpb.Message {
	message.From, message.To = n.self.GetMember(), to
	message.Peer, message.Fleet = n.self.GetPeer(), n.fleet
	if message.Term == 0 {
		message.Term = n.term
	}
	return message
}

// MemberID returns the id of the member that keeps its state in the data folder with this incarnation.
func MemberID(host ident.Host, incarnation uint64) string {
	return fmt.Sprintf("%s/%016x", host, incarnation)
}

// HostOf returns the host of a member id.
func HostOf(member string) ident.Host {
	host, _, _ := strings.Cut(member, "/")
	return ident.Host(host)
}

func (n *Node) take() []Action {
	out := n.out
	n.out = nil
	return out
}
