package quorum

import (
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
)

// receive takes a message; one for another member or another log is dropped.
func (n *Node) receive(m *fleetpb.Message) {
	switch kind := m.GetKind().(type) {
	case *fleetpb.Message_Hello:
		n.greeted(kind.Hello)
		return
	case *fleetpb.Message_Greeted:
		n.refused(m, kind.Greeted)
		return
	}
	if m.GetTo() != n.self.GetMember() || m.GetFleet() == 0 {
		return
	}
	if n.fleet == 0 {
		n.fleet = m.GetFleet()
		n.disk.dirtyHardState = true
	}
	if m.GetFleet() != n.fleet || !n.admitTerm(m) {
		return
	}
	switch kind := m.GetKind().(type) {
	case *fleetpb.Message_Prevote:
		n.preVoted(m, kind.Prevote)
	case *fleetpb.Message_Vote:
		n.voted(m, kind.Vote)
	case *fleetpb.Message_Answer:
		n.answered(m, kind.Answer)
	case *fleetpb.Message_Append:
		n.appendFrom(m, kind.Append)
	case *fleetpb.Message_Appended:
		n.appended(m, kind.Appended)
	case *fleetpb.Message_Snapshot:
		n.installFrom(m, kind.Snapshot)
	case *fleetpb.Message_Timeout:
		n.timeoutNow(m)
	}
}

// admitTerm enters a later term and reports whether the message is still of use in this member's term.
func (n *Node) admitTerm(m *fleetpb.Message) bool {
	if m.GetPrevote() != nil {
		return true
	}
	if m.GetTerm() > n.term {
		if answer := m.GetAnswer(); answer.GetPre() && answer.GetGranted() {
			return true
		}
		// A member that hears its leader elects no other one: the leader's lease counts on this.
		if vote := m.GetVote(); vote != nil && !vote.GetTransfer() && n.hearsLeader() {
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

// upToDate reports whether a log that ends at the given place holds every entry that may be committed.
func (n *Node) upToDate(index, term uint64) bool {
	last := n.log.last()
	if term != last.term {
		return term > last.term
	}
	return index >= last.index
}

func (n *Node) preVoted(m *fleetpb.Message, ask *fleetpb.PreVote) {
	granted := m.GetTerm() > n.term && !n.hearsLeader() && n.upToDate(ask.GetLastIndex(), ask.GetLastTerm())
	answer := &fleetpb.Message{
		Kind: &fleetpb.Message_Answer{Answer: &fleetpb.VoteAnswer{Pre: true, Granted: granted}},
	}
	if granted {
		answer.Term = m.GetTerm()
	}
	n.send(m.GetFrom(), m.GetPeer(), answer)
	if n.log.voters != nil && n.member(m.GetFrom()) == nil {
		n.refuse(&fleetpb.Voter{Member: m.GetFrom(), Peer: m.GetPeer()}, replacedProblem)
	}
}

func (n *Node) voted(m *fleetpb.Message, ask *fleetpb.Vote) {
	free := n.vote == "" || n.vote == m.GetFrom()
	granted := free && n.role != Leader && n.upToDate(ask.GetLastIndex(), ask.GetLastTerm())
	if granted && n.vote == "" {
		n.vote = m.GetFrom()
		n.disk.dirtyHardState = true
	}
	if granted {
		n.drawElection()
	}
	// A transfer is granted while the lease lasts, but the leader that asked for it has given the lease up.
	vacant := max(0, n.now.Sub(n.leaseEnd())).Milliseconds()
	n.send(m.GetFrom(), m.GetPeer(), &fleetpb.Message{
		Kind: &fleetpb.Message_Answer{Answer: &fleetpb.VoteAnswer{Granted: granted, VacantMs: uint64(vacant)}},
	})
}

func (n *Node) answered(m *fleetpb.Message, answer *fleetpb.VoteAnswer) {
	if !answer.GetGranted() {
		return
	}
	switch {
	case answer.GetPre() && n.role == PreCandidate && m.GetTerm() == n.term+1:
		n.ballots[m.GetFrom()] = true
		n.countPreBallots()
	case !answer.GetPre() && n.role == Candidate && m.GetTerm() == n.term:
		n.ballots[m.GetFrom()] = true
		// The voter counted from before its answer, so that the end is not taken for earlier than it was.
		n.noLeaderSince = max(n.noLeaderSince, n.now.Add(-time.Duration(answer.GetVacantMs())*time.Millisecond))
		n.countBallots()
	}
}

// preCampaign asks whether a majority would elect this member; its term stays, so that nobody is disturbed.
func (n *Node) preCampaign() {
	n.rest(nil)
	n.role = PreCandidate
	// Voters that heard the lost leader a little later refuse the first attempt; the next one follows sooner, as it
	// disturbs nobody.
	n.electionDue = n.now.Add(n.electionDue.Sub(n.now) / 2)
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
	if n.majorityOf(n.ballots) {
		n.campaign(false)
	}
}

// campaign stands for election in a new term.
func (n *Node) campaign(transfer bool) {
	n.enterTerm(n.term + 1)
	n.role = Candidate
	n.vote = n.self.GetMember()
	n.ballots = map[string]bool{n.self.GetMember(): true}
	n.noLeaderSince = n.leaseEnd()
	n.transferred = transfer
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

// countBallots takes office once a majority voted for this member; its own vote counts when it is synced.
func (n *Node) countBallots() {
	if n.disk.hardStateSynced() && n.majorityOf(n.ballots) {
		n.takeOffice()
	}
}

func (n *Node) timeoutNow(m *fleetpb.Message) {
	if n.role == Follower && n.leader.GetMember() == m.GetFrom() {
		n.campaign(true)
	}
}
