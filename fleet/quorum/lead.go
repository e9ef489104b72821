package quorum

import (
	"slices"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// office is what a member keeps while it leads.
type office struct {
	since ident.Time
	// noLeaderSince is a time from which no earlier leader was confirmed. Every majority that confirmed one has a voter in
	// common with the majority that elected this leader.
	noLeaderSince ident.Time
	// Index of the empty entry that opens the term.
	first uint64
	peers map[string]*progress
	// Heartbeat rounds: the last one, when each unconfirmed one was sent, and the last one that a majority answered.
	round          uint64
	sent           map[uint64]ident.Time
	confirmedRound uint64
	confirmed      ident.Time
	hasConfirmed   bool
	// Entries were appended since the last replicate.
	unsent bool
	// The leader hands its office to target.
	leaving      bool
	leavingSince ident.Time
	target       string
}

// progress is what the leader knows of a member's log.
type progress struct {
	match uint64
	next  uint64
	// The last common entry is being searched, one message at a time.
	probing bool
	waiting bool
	round   uint64
	heard   ident.Time
	// When a snapshot was sent, while its answer is outstanding.
	snapshotSent ident.Time
	snapshot     uint64
}

// takeOffice starts to lead with an empty entry, whose commitment commits all earlier entries.
func (n *Node) takeOffice() {
	n.role = Leader
	n.leader = n.self
	n.ballots = nil
	n.office = office{
		since:         n.now,
		noLeaderSince: min(n.now, n.noLeaderSince),
		peers:         map[string]*progress{},
		sent:          map[uint64]ident.Time{},
	}
	n.office.first = n.appendEntry(&fleetpb.Change{})
	n.heartbeat()
}

func (n *Node) appendEntry(change *fleetpb.Change) uint64 {
	index := n.log.last().index + 1
	n.log.append(&fleetpb.Entry{Index: index, Term: n.term, Change: change})
	n.disk.replaced(index)
	n.office.unsent = true
	return index
}

// lead does the leader's work at a tick.
func (n *Node) lead() {
	if n.lostMajority() || n.left() {
		n.rest(nil)
		return
	}
	if n.now.Sub(n.office.sent[n.office.round]) >= n.bounds.Heartbeat {
		n.heartbeat()
	}
	n.maintain()
	n.handOver()
}

// lostMajority reports whether no majority confirmed the leader within the election timeout.
func (n *Node) lostMajority() bool {
	last := n.office.since
	if n.office.hasConfirmed {
		last = n.office.confirmed
	}
	return n.now.Sub(last) > n.bounds.ElectionMax
}

// left reports whether the time to hand over the office has passed.
func (n *Node) left() bool {
	return n.office.leaving && n.now.Sub(n.office.leavingSince) > n.bounds.ElectionMax
}

// heartbeat starts a round, which also repeats what was lost.
func (n *Node) heartbeat() {
	n.office.round++
	n.office.sent[n.office.round] = n.now
	n.office.unsent = false
	for _, member := range n.otherMembers() {
		p := n.progress(member.GetMember())
		p.waiting = false
		n.sendEntries(member, p, true)
	}
	n.confirm()
}

// replicate sends new entries to the members that follow without a gap.
func (n *Node) replicate() {
	for _, member := range n.otherMembers() {
		n.sendEntries(member, n.progress(member.GetMember()), false)
	}
}

func (n *Node) progress(member string) *progress {
	p := n.office.peers[member]
	if p == nil {
		p = &progress{next: n.log.last().index + 1, probing: true}
		n.office.peers[member] = p
	}
	return p
}

// sendEntries sends what the member lacks; with beat set it sends a message in any case.
func (n *Node) sendEntries(member *fleetpb.Voter, p *progress, beat bool) {
	prevTerm, known := n.log.term(p.next - 1)
	if !known {
		n.sendSnapshot(member, p, beat)
		return
	}
	if p.probing && p.waiting {
		return
	}
	var entries []*fleetpb.Entry
	if p.next <= p.match+n.bounds.Window {
		entries = n.log.after(p.next-1, n.bounds.Batch, n.bounds.BatchBytes)
	}
	if len(entries) == 0 && !beat {
		return
	}
	n.sendNow(member.GetMember(), member.GetPeer(), &fleetpb.Message{
		Kind: &fleetpb.Message_Append{Append: &fleetpb.Append{
			PrevIndex: p.next - 1,
			PrevTerm:  prevTerm,
			Entries:   entries,
			Commit:    n.commit,
			Round:     n.office.round,
		}},
	})
	if p.probing {
		p.waiting = true
		return
	}
	p.next += uint64(len(entries))
}

// sendSnapshot sends the snapshot, or an empty heartbeat to a member that does not answer or still has to answer an
// earlier snapshot.
func (n *Node) sendSnapshot(member *fleetpb.Voter, p *progress, beat bool) {
	snapshot := n.log.snapshot
	unanswered := p.snapshot != 0 && n.now.Sub(p.snapshotSent) < n.bounds.SnapshotRetry
	if unanswered || !n.active(p) {
		if beat {
			n.sendNow(member.GetMember(), member.GetPeer(), &fleetpb.Message{
				Kind: &fleetpb.Message_Append{Append: &fleetpb.Append{Round: n.office.round}},
			})
		}
		return
	}
	p.snapshot, p.snapshotSent = snapshot.GetIndex(), n.now
	n.sendNow(member.GetMember(), member.GetPeer(), &fleetpb.Message{
		Kind: &fleetpb.Message_Snapshot{Snapshot: &fleetpb.Snapshot{
			Index:  snapshot.GetIndex(),
			Term:   snapshot.GetTerm(),
			Voters: snapshot.GetVoters(),
			State:  snapshot.GetState(),
			Round:  n.office.round,
		}},
	})
}

// appended takes a member's answer to entries, a snapshot or a heartbeat.
func (n *Node) appended(m *fleetpb.Message, answer *fleetpb.AppendAnswer) {
	member := n.member(m.GetFrom())
	if n.role != Leader || member == nil {
		return
	}
	p := n.progress(m.GetFrom())
	p.heard = n.now
	p.round = max(p.round, min(answer.GetRound(), n.office.round))
	n.confirm()
	switch {
	case answer.GetSuccess():
		n.matched(p, answer.GetMatch())
	case answer.GetRejected() > p.match:
		n.backtrack(p, answer)
	}
	if n.role != Leader {
		return
	}
	n.sendEntries(member, p, false)
	n.maintain()
	n.handOver()
}

func (n *Node) matched(p *progress, match uint64) {
	p.probing, p.waiting = false, false
	if match >= p.snapshot {
		p.snapshot = 0
	}
	p.next = max(p.next, match+1)
	if match <= p.match {
		return
	}
	p.match = match
	n.advance()
}

// backtrack continues after the last place that both logs can share, skipping whole terms.
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
	p.probing, p.waiting = true, false
}

// confirm finds the last round that a majority of the voters answered.
func (n *Node) confirm() {
	round := n.majorityValue(func(member string) uint64 {
		if member == n.self.GetMember() {
			return n.office.round
		}
		return n.progress(member).round
	})
	if round <= n.office.confirmedRound {
		return
	}
	n.office.confirmedRound = round
	n.office.confirmed, n.office.hasConfirmed = n.office.sent[round], true
	for r := range n.office.sent {
		if r < round {
			delete(n.office.sent, r)
		}
	}
}

// advance commits what a majority of the voters has synced; entries of earlier terms only with one of this term.
func (n *Node) advance() {
	index := n.majorityValue(func(member string) uint64 {
		if member == n.self.GetMember() {
			return n.disk.index
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
		// The leader removed itself, and that is committed.
		n.rest(nil)
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

func (n *Node) propose(id uint64, change *fleetpb.Change) {
	if change.GetVoters() != nil {
		n.out = append(n.out, Proposed{ID: id, Err: &MembershipError{Reason: "members change by Admit and Remove only"}})
		return
	}
	if err := n.leadership(); err != nil {
		n.out = append(n.out, Proposed{ID: id, Err: err})
		return
	}
	if n.log.last().index >= n.commit+n.bounds.Pending {
		n.out = append(n.out, Proposed{ID: id, Err: &OverloadError{}})
		return
	}
	index := n.appendEntry(change)
	n.out = append(n.out, Proposed{ID: id, Index: index, Term: n.term})
}

func (n *Node) leadership() error {
	if n.role != Leader {
		return &NotLeaderError{Leader: n.leader.GetPeer()}
	}
	if n.office.leaving {
		return &NotLeaderError{Leader: n.member(n.office.target).GetPeer()}
	}
	return nil
}

// transfer chooses the most advanced voter that answers as the next leader.
func (n *Node) transfer() {
	if n.role != Leader || n.office.leaving {
		return
	}
	n.office.leaving, n.office.leavingSince = true, n.now
	var best *progress
	for _, voter := range n.otherVoters() {
		p := n.progress(voter.GetMember())
		if n.active(p) && (best == nil || p.match > best.match) {
			best, n.office.target = p, voter.GetMember()
		}
	}
	n.handOver()
}

// handOver asks the target to stand for election as soon as it holds the whole log.
func (n *Node) handOver() {
	target := n.member(n.office.target)
	if !n.office.leaving || target == nil {
		return
	}
	if n.progress(n.office.target).match == n.log.last().index {
		n.sendNow(target.GetMember(), target.GetPeer(), &fleetpb.Message{
			Kind: &fleetpb.Message_Timeout{Timeout: &fleetpb.TimeoutNow{}},
		})
	}
}

// active reports whether a member answered within the election timeout.
func (n *Node) active(p *progress) bool {
	return p.round > 0 && n.now.Sub(p.heard) <= n.bounds.ElectionMax
}
