package quorum

import (
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
)

// handleMessage handles a message and drops one that is for another member or another log.
func (n *Node) handleMessage(m *fleetpb.Message) {
	switch kind := m.GetKind().(type) {
	case *fleetpb.Message_Hello:
		n.handleHello(kind.Hello)
		return
	case *fleetpb.Message_Greeted:
		n.handleHelloAnswer(m, kind.Greeted)
		return
	}
	if m.GetTo() != n.self.GetMember() {
		n.handleMessageToPredecessor(m)
		return
	}
	if m.GetFleet() == 0 {
		return
	}
	if n.fleet == 0 {
		n.fleet = m.GetFleet()
		n.disk.dirtyHardState = true
	}
	if m.GetFleet() != n.fleet || !n.updateTerm(m) {
		return
	}
	switch kind := m.GetKind().(type) {
	case *fleetpb.Message_Prevote:
		n.handlePreVote(m, kind.Prevote)
	case *fleetpb.Message_Vote:
		n.handleVote(m, kind.Vote)
	case *fleetpb.Message_Answer:
		n.handleVoteAnswer(m, kind.Answer)
	case *fleetpb.Message_Append:
		n.handleAppend(m, kind.Append)
	case *fleetpb.Message_Appended:
		n.handleAppendAnswer(m, kind.Appended)
	case *fleetpb.Message_Snapshot:
		n.handleSnapshot(m, kind.Snapshot)
	case *fleetpb.Message_Timeout:
		n.handleTimeoutNow(m)
	}
}

// updateTerm enters a later term if the message calls for it, and reports whether the message is to be handled.
func (n *Node) updateTerm(m *fleetpb.Message) bool {
	if m.GetPrevote() != nil {
		return true
	}
	if m.GetTerm() > n.term {
		if answer := m.GetAnswer(); answer.GetPre() && answer.GetGranted() {
			return true
		}
		// A member in contact with its leader votes for no other member; the leader's lease relies on this.
		if vote := m.GetVote(); vote != nil && !vote.GetTransfer() && n.hasActiveLeader() {
			return false
		}
		n.enterTerm(m.GetTerm())
		return true
	}
	if m.GetTerm() == n.term {
		return true
	}
	if m.GetAppend() != nil || m.GetSnapshot() != nil {
		// The term in the answer makes a deposed leader step down.
		n.send(m.GetFrom(), m.GetPeer(), &fleetpb.Message{
			Kind: &fleetpb.Message_Appended{Appended: &fleetpb.AppendAnswer{}},
		})
	}
	return false
}

// upToDate reports whether a log whose last entry has the given index and term is at least as up to date as this one.
// Only such a log is certain to contain every entry that may be committed.
func (n *Node) upToDate(index, term uint64) bool {
	last := n.log.last()
	if term != last.term {
		return term > last.term
	}
	return index >= last.index
}

func (n *Node) handlePreVote(m *fleetpb.Message, request *fleetpb.PreVote) {
	granted := m.GetTerm() > n.term && !n.hasActiveLeader() && n.upToDate(request.GetLastIndex(), request.GetLastTerm()) &&
		!n.precedes(m.GetFrom(), request)
	if granted {
		n.deferElection()
	}
	answer := &fleetpb.Message{
		Kind: &fleetpb.Message_Answer{Answer: &fleetpb.VoteAnswer{Pre: true, Granted: granted}},
	}
	if granted {
		answer.Term = m.GetTerm()
	}
	n.send(m.GetFrom(), m.GetPeer(), answer)
	if n.log.voters != nil && n.member(m.GetFrom()) == nil {
		n.sendHelloAnswer(&fleetpb.Voter{Member: m.GetFrom(), Peer: m.GetPeer()}, replacedProblem)
	}
}

func (n *Node) handleVote(m *fleetpb.Message, request *fleetpb.Vote) {
	free := n.vote == "" || n.vote == m.GetFrom()
	granted := free && n.role != Leader && n.upToDate(request.GetLastIndex(), request.GetLastTerm())
	if granted && n.vote == "" {
		n.vote = m.GetFrom()
		n.disk.dirtyHardState = true
	}
	if granted {
		n.resetElectionTimer()
	}
	// A vote for a transfer is granted while the lease lasts, as the leader that requested the transfer gave up its lease.
	noLeaderMs := max(0, n.now.Sub(n.leaseEnd())).Milliseconds()
	n.send(m.GetFrom(), m.GetPeer(), &fleetpb.Message{
		Kind: &fleetpb.Message_Answer{Answer: &fleetpb.VoteAnswer{Granted: granted, VacantMs: uint64(noLeaderMs)}},
	})
}

func (n *Node) handleVoteAnswer(m *fleetpb.Message, answer *fleetpb.VoteAnswer) {
	n.preVoteAnswered = n.preVoteAnswered || answer.GetPre()
	if !answer.GetGranted() {
		return
	}
	switch {
	case answer.GetPre() && n.role == PreCandidate && m.GetTerm() == n.term+1:
		n.ballots[m.GetFrom()] = true
		n.countPreBallots()
	case !answer.GetPre() && n.role == Candidate && m.GetTerm() == n.term:
		n.ballots[m.GetFrom()] = true
		// The voter measured the time before it answered, so this estimate of the lease end is never too early.
		n.noLeaderSince = max(n.noLeaderSince, n.now.Add(-time.Duration(answer.GetVacantMs())*time.Millisecond))
		n.countBallots()
	}
}

// maxPrecedence is the number of pre-votes without a majority after which a member neither precedes others nor defers to them. Members
// that don't reach a majority themselves, or wait for each other, must not hold up for long one that needs their votes.
const maxPrecedence = 4

// deferElection leaves the next election to a member that is about to start one and precedes this one, since two elections at the same
// time would split the votes. It waits for half of the shortest timeout only, as that member may not reach a majority.
func (n *Node) deferElection() {
	if n.failedPreVotes >= maxPrecedence {
		return
	}
	if n.role == PreCandidate {
		n.resetRole(nil)
		n.electionDeadline = n.now
	}
	if n.role == Follower {
		n.electionDeadline = max(n.electionDeadline, n.now.Add(n.bounds.ElectionMin/2))
	}
}

// precedes reports whether this member asks for the same votes as another one with an equal log, and goes first. Of members that ask at
// the same moment only one then finds a majority, where all of them would start elections and split the votes. It concerns the
// pre-vote only, on which no safety rests.
func (n *Node) precedes(other string, request *fleetpb.PreVote) bool {
	return n.role == PreCandidate && n.failedPreVotes < maxPrecedence && !n.ahead(request) && n.self.GetMember() > other
}

// ahead reports whether a log whose last entry a request names is ahead of this one.
func (n *Node) ahead(request *fleetpb.PreVote) bool {
	last := n.log.last()
	return request.GetLastTerm() > last.term || (request.GetLastTerm() == last.term && request.GetLastIndex() > last.index)
}

// preCampaign asks whether a majority would elect this member. The term stays the same, so no leader has to step down.
func (n *Node) preCampaign() {
	if n.preVoteAnswered {
		n.failedPreVotes++
	}
	n.preVoteAnswered = false
	n.resetRole(nil)
	n.role = PreCandidate
	// Voters whose last contact with the lost leader was a little later refuse the first attempt. The next attempt follows
	// after half the timeout, as a pre-vote does not disrupt a leader.
	n.electionDeadline = n.now.Add(n.electionDeadline.Sub(n.now) / 2)
	n.ballots = map[string]bool{n.self.GetMember(): true}
	last := n.log.last()
	for _, voter := range n.otherVoters() {
		n.send(voter.GetMember(), voter.GetPeer(), &fleetpb.Message{
			Term: n.term + 1,
			Kind: &fleetpb.Message_Prevote{Prevote: &fleetpb.PreVote{LastIndex: last.index, LastTerm: last.term}},
		})
	}
	n.countPreBallots()
}

func (n *Node) countPreBallots() {
	if n.hasMajority(n.ballots) {
		n.campaign(false)
	}
}

// campaign starts an election in a new term.
func (n *Node) campaign(transfer bool) {
	n.enterTerm(n.term + 1)
	n.role = Candidate
	n.vote = n.self.GetMember()
	n.ballots = map[string]bool{n.self.GetMember(): true}
	n.noLeaderSince = n.leaseEnd()
	last := n.log.last()
	for _, voter := range n.otherVoters() {
		n.send(voter.GetMember(), voter.GetPeer(), &fleetpb.Message{
			Kind: &fleetpb.Message_Vote{Vote: &fleetpb.Vote{
				LastIndex: last.index,
				LastTerm:  last.term,
				Transfer:  transfer,
			}},
		})
	}
}

// countBallots makes this member the leader once a majority voted for it; its own vote counts when it is synced.
func (n *Node) countBallots() {
	if n.disk.hardStateSynced() && n.hasMajority(n.ballots) {
		n.becomeLeader()
	}
}

func (n *Node) handleTimeoutNow(m *fleetpb.Message) {
	if n.role == Follower && n.leader.GetMember() == m.GetFrom() {
		n.campaign(true)
	}
}
