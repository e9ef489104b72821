package quorum

import (
	"slices"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// leaderState is the state of a member while it is the leader.
type leaderState struct {
	since ident.Time
	// noLeaderSince is a time from which no earlier leader was confirmed. Every majority that confirmed one shares a voter
	// with the majority that elected this leader.
	noLeaderSince ident.Time
	// Index of the empty entry that opens the term.
	firstIndex   uint64
	peerProgress map[string]*progress
	// Heartbeat rounds: the last one, when each unconfirmed one was sent, and the last one that a majority answered.
	round          uint64
	sentAt         map[uint64]ident.Time
	confirmedRound uint64
	confirmedAt    ident.Time
	hasConfirmed   bool
	// Entries were appended since the last call of replicate.
	unsent bool
	// When this leader last changed the membership, or 0.
	membersChangedAt ident.Time
	// The leadership is being transferred to the member transferTarget.
	transferring   bool
	transferSince  ident.Time
	transferTarget string
}

// progress is the leader's view of a member's log.
type progress struct {
	match uint64
	next  uint64
	// The leader searches for the last common entry, with one message at a time.
	probing     bool
	probeSent   bool
	round       uint64
	createdAt   ident.Time
	lastContact ident.Time
	// When a snapshot was sent, and its index while the answer is outstanding, otherwise 0.
	snapshotSentAt ident.Time
	snapshotIndex  uint64
}

// becomeLeader makes this member the leader and appends an empty entry, which commits all earlier entries when it is
// committed.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.self
	n.ballots = nil
	n.leaderState = leaderState{
		since:         n.now,
		noLeaderSince: min(n.now, n.noLeaderSince),
		peerProgress:  map[string]*progress{},
		sentAt:        map[uint64]ident.Time{},
	}
	n.leaderState.firstIndex = n.appendEntry(&fleetpb.Change{})
	n.heartbeat()
}

func (n *Node) appendEntry(change *fleetpb.Change) uint64 {
	index := n.log.last().index + 1
	n.log.append(&fleetpb.Entry{Index: index, Term: n.term, Change: change})
	n.disk.markReplaced(index)
	n.leaderState.unsent = true
	return index
}

// tickLeader handles a tick on the leader.
func (n *Node) tickLeader() {
	if n.lostMajority() || n.transferTimedOut() {
		n.resetRole(nil)
		return
	}
	if n.now.Sub(n.leaderState.sentAt[n.leaderState.round]) >= n.bounds.Heartbeat {
		n.heartbeat()
	}
	n.updateMembers()
	n.continueTransfer()
}

// lostMajority reports whether no majority confirmed the leader within Bounds.ElectionMax.
func (n *Node) lostMajority() bool {
	last := n.leaderState.since
	if n.leaderState.hasConfirmed {
		last = n.leaderState.confirmedAt
	}
	return n.now.Sub(last) > n.bounds.ElectionMax
}

// transferTimedOut reports whether a leadership transfer has taken longer than Bounds.ElectionMax.
func (n *Node) transferTimedOut() bool {
	return n.leaderState.transferring && n.now.Sub(n.leaderState.transferSince) > n.bounds.ElectionMax
}

// heartbeat starts a heartbeat round, which also recovers from lost messages.
func (n *Node) heartbeat() {
	n.leaderState.round++
	n.leaderState.sentAt[n.leaderState.round] = n.now
	n.leaderState.unsent = false
	for _, member := range n.otherMembers() {
		p := n.progress(member.GetMember())
		p.probeSent = false
		n.sendEntries(member, p, true)
	}
	n.confirmRounds()
}

// replicate sends new entries to the other members; sendEntries skips those with an unanswered probe or snapshot.
func (n *Node) replicate() {
	for _, member := range n.otherMembers() {
		n.sendEntries(member, n.progress(member.GetMember()), false)
	}
}

func (n *Node) progress(member string) *progress {
	p := n.leaderState.peerProgress[member]
	if p == nil {
		p = &progress{next: n.log.last().index + 1, probing: true, createdAt: n.now}
		n.leaderState.peerProgress[member] = p
	}
	return p
}

// sendEntries sends the entries or the snapshot that the member lacks; with heartbeat set, it sends a message even if the
// member lacks nothing.
func (n *Node) sendEntries(member *fleetpb.Voter, p *progress, heartbeat bool) {
	prevTerm, known := n.log.term(p.next - 1)
	if !known {
		n.sendSnapshot(member, p, heartbeat)
		return
	}
	if p.probing && p.probeSent {
		return
	}
	var entries []*fleetpb.Entry
	if p.next <= p.match+n.bounds.Window {
		entries = n.log.entriesAfter(p.next-1, n.bounds.Batch, n.bounds.BatchBytes)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	n.sendNow(member.GetMember(), member.GetPeer(), &fleetpb.Message{
		Kind: &fleetpb.Message_Append{Append: &fleetpb.Append{
			PrevIndex: p.next - 1,
			PrevTerm:  prevTerm,
			Entries:   entries,
			Commit:    n.commit,
			Round:     n.leaderState.round,
		}},
	})
	if p.probing {
		p.probeSent = true
		return
	}
	p.next += uint64(len(entries))
}

// sendSnapshot sends the snapshot to an active member. A member that is not active, or that was sent a snapshot within
// the last Bounds.SnapshotRetry and has not answered it, gets none. With heartbeat set, it gets an empty message instead.
func (n *Node) sendSnapshot(member *fleetpb.Voter, p *progress, heartbeat bool) {
	snapshot := n.log.snapshot
	unanswered := p.snapshotIndex != 0 && n.now.Sub(p.snapshotSentAt) < n.bounds.SnapshotRetry
	if unanswered || !n.active(p) {
		if heartbeat {
			n.sendNow(member.GetMember(), member.GetPeer(), &fleetpb.Message{
				Kind: &fleetpb.Message_Append{Append: &fleetpb.Append{Round: n.leaderState.round}},
			})
		}
		return
	}
	p.snapshotIndex, p.snapshotSentAt = snapshot.GetIndex(), n.now
	n.sendNow(member.GetMember(), member.GetPeer(), &fleetpb.Message{
		Kind: &fleetpb.Message_Snapshot{Snapshot: &fleetpb.Snapshot{
			Index:  snapshot.GetIndex(),
			Term:   snapshot.GetTerm(),
			Voters: snapshot.GetVoters(),
			State:  snapshot.GetState(),
			Round:  n.leaderState.round,
		}},
	})
}

// handleAppendAnswer handles a member's answer to entries, a snapshot or a heartbeat.
func (n *Node) handleAppendAnswer(m *fleetpb.Message, answer *fleetpb.AppendAnswer) {
	member := n.member(m.GetFrom())
	if n.role != Leader || member == nil {
		return
	}
	p := n.progress(m.GetFrom())
	p.lastContact = n.now
	p.round = max(p.round, min(answer.GetRound(), n.leaderState.round))
	n.confirmRounds()
	switch {
	case answer.GetSuccess():
		n.recordMatch(p, answer.GetMatch())
	case answer.GetRejected() > p.match:
		n.backtrack(p, answer)
	}
	if n.role != Leader {
		return
	}
	n.sendEntries(member, p, false)
	n.updateMembers()
	n.continueTransfer()
}

func (n *Node) recordMatch(p *progress, match uint64) {
	p.probing, p.probeSent = false, false
	if match >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
	p.next = max(p.next, match+1)
	if match <= p.match {
		return
	}
	p.match = match
	n.advanceCommit()
}

// backtrack moves p.next back to just after the last entry that both logs can share, skipping whole terms.
func (n *Node) backtrack(p *progress, answer *fleetpb.AppendAnswer) {
	if p.probing && answer.GetRejected() != p.next-1 {
		return
	}
	hint := min(answer.GetHint(), n.log.last().index)
	for hint > p.match {
		term, known := n.log.term(hint)
		if !known || term <= answer.GetHintTerm() {
			break
		}
		hint--
	}
	p.next = max(hint, p.match) + 1
	p.probing, p.probeSent = true, false
}

// confirmRounds updates the last heartbeat round that a majority of the voters answered.
func (n *Node) confirmRounds() {
	round := n.majorityValue(func(member string) uint64 {
		if member == n.self.GetMember() {
			return n.leaderState.round
		}
		return n.progress(member).round
	})
	if round <= n.leaderState.confirmedRound {
		return
	}
	n.leaderState.confirmedRound = round
	n.leaderState.confirmedAt, n.leaderState.hasConfirmed = n.leaderState.sentAt[round], true
	for r := range n.leaderState.sentAt {
		if r < round {
			delete(n.leaderState.sentAt, r)
		}
	}
}

// advanceCommit commits the entries that a majority of the voters has synced. Entries of earlier terms are committed only
// together with an entry of this term.
func (n *Node) advanceCommit() {
	index := n.majorityValue(func(member string) uint64 {
		if member == n.self.GetMember() {
			return n.disk.syncedIndex
		}
		return n.progress(member).match
	})
	if index <= n.commit {
		return
	}
	if term, _ := n.log.term(index); term != n.term {
		return
	}
	n.commit = index
	if n.log.votersIndex <= n.commit && !n.isVoter(n.self.GetMember()) {
		// The removal of the leader itself is committed.
		n.resetRole(nil)
	}
}

// majorityValue returns the highest value that a majority of the voters has reached.
func (n *Node) majorityValue(value func(member string) uint64) uint64 {
	voters := n.log.voters.GetVoters()
	values := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		values = append(values, value(voter.GetMember()))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func (n *Node) propose(in Propose) {
	if err := n.checkProposal(in); err != nil {
		n.out = append(n.out, Proposed{ID: in.ID, Err: err})
		return
	}
	index := n.appendEntry(in.Change)
	n.out = append(n.out, Proposed{ID: in.ID, Index: index, Term: n.term})
}

// checkProposal returns why a change can't be appended, or nil.
func (n *Node) checkProposal(in Propose) error {
	if in.Change.GetVoters() != nil {
		return &MembershipError{Reason: "members change by AddLearner and Remove only"}
	}
	if err := n.checkLeader(); err != nil {
		return err
	}
	if in.Until != 0 && n.now > in.Until {
		return &ExpiredError{By: n.now.Sub(in.Until)}
	}
	if n.log.last().index >= n.commit+n.bounds.Pending {
		return &OverloadError{}
	}
	return nil
}

func (n *Node) checkLeader() error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader.GetPeer()}
	}
	if n.leaderState.transferring {
		return &NotLeaderError{Leader: n.member(n.leaderState.transferTarget).GetPeer()}
	}
	return nil
}

// transfer starts the transfer of the leadership to the active voter with the highest match index.
func (n *Node) transfer() {
	if n.role != Leader || n.leaderState.transferring {
		return
	}
	n.leaderState.transferring, n.leaderState.transferSince = true, n.now
	var best *progress
	for _, voter := range n.otherVoters() {
		p := n.progress(voter.GetMember())
		if n.active(p) && (best == nil || p.match > best.match) {
			best, n.leaderState.transferTarget = p, voter.GetMember()
		}
	}
	n.continueTransfer()
}

// continueTransfer asks the transfer target to start an election once it has the whole log.
func (n *Node) continueTransfer() {
	target := n.member(n.leaderState.transferTarget)
	if !n.leaderState.transferring || target == nil {
		return
	}
	if n.progress(n.leaderState.transferTarget).match == n.log.last().index {
		n.sendNow(target.GetMember(), target.GetPeer(), &fleetpb.Message{
			Kind: &fleetpb.Message_Timeout{Timeout: &fleetpb.TimeoutNow{}},
		})
	}
}

// active reports whether a member answered within Bounds.ElectionMax.
func (n *Node) active(p *progress) bool {
	return p.round > 0 && n.now.Sub(p.lastContact) <= n.bounds.ElectionMax
}
