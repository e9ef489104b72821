package quorum

import (
	"slices"

	"tamarackshunt.dev/fleet/fleetpb"
)

// caughtUpLag is how many committed entries a learner may lack when it becomes a voter. Under steady writes a learner
// is always about one round trip behind, so a lag of zero could keep it waiting.
const caughtUpLag = 16

// members returns voters and learners that have started.
func (n *Node) members() []*fleetpb.Voter {
	voters := n.log.voters
	members := make([]*fleetpb.Voter, 0, len(voters.GetVoters())+len(voters.GetLearners()))
	for _, member := range slices.Concat(voters.GetVoters(), voters.GetLearners()) {
		if member.GetMember() != "" {
			members = append(members, member)
		}
	}
	return members
}

func (n *Node) member(id string) *fleetpb.Voter {
	for _, member := range n.members() {
		if member.GetMember() == id {
			return member
		}
	}
	return nil
}

func (n *Node) otherMembers() []*fleetpb.Voter {
	return slices.DeleteFunc(n.members(), n.isSelf)
}

func (n *Node) otherVoters() []*fleetpb.Voter {
	return slices.DeleteFunc(slices.Clone(n.log.voters.GetVoters()), n.isSelf)
}

func (n *Node) isSelf(member *fleetpb.Voter) bool {
	return member.GetMember() == n.self.GetMember()
}

func (n *Node) isVoter(id string) bool {
	return slices.ContainsFunc(n.log.voters.GetVoters(), func(voter *fleetpb.Voter) bool {
		return voter.GetMember() == id
	})
}

func (n *Node) majorityOf(ballots map[string]bool) bool {
	count := 0
	for _, voter := range n.log.voters.GetVoters() {
		if ballots[voter.GetMember()] {
			count++
		}
	}
	return count > len(n.log.voters.GetVoters())/2
}

// membersChanged adjusts the role of a member that does not lead to the membership in its log.
func (n *Node) membersChanged() {
	n.role = n.restingRole()
	if known := n.member(n.leader.GetMember()); known != nil {
		n.leader = known
	}
}

// mayChange reports whether the leader may append a membership change: the last one and an entry of its own term are
// committed. Without the second condition, changes of two terms could form disjoint majorities.
func (n *Node) mayChange() bool {
	return n.log.votersIndex <= n.commit && n.commit >= n.office.first
}

// setMembers appends a membership that differs from the last one by at most one voter.
func (n *Node) setMembers(voters, learners []*fleetpb.Voter) uint64 {
	index := n.appendEntry(&fleetpb.Change{Kind: &fleetpb.Change_Voters{Voters: &fleetpb.Voters{
		Voters:   voters,
		Learners: learners,
	}}})
	for id := range n.office.peers {
		if n.member(id) == nil {
			delete(n.office.peers, id)
		}
	}
	return index
}

// addLearner reserves a learner's place, which the host takes when it starts with an empty data folder.
func (n *Node) addLearner(in AddLearner) {
	answer := Proposed{ID: in.ID, Term: n.term}
	voters := n.log.voters
	switch err := n.leadership(); {
	case err != nil:
		answer.Err = err
	case !n.mayChange():
		answer.Err = &BusyError{}
	case ofHost(voters.GetVoters(), in.Host) != nil || ofHost(voters.GetLearners(), in.Host) != nil:
		answer.Err = &MembershipError{in.Host, "it is a member already"}
	default:
		place := &fleetpb.Voter{Host: in.Host, Peer: in.Peer}
		answer.Index = n.setMembers(voters.GetVoters(), append(slices.Clone(voters.GetLearners()), place))
	}
	n.out = append(n.out, answer)
}

// remove drops a host from the members; a replacement of a lost disk needs no removal.
func (n *Node) remove(in Remove) {
	answer := Proposed{ID: in.ID, Term: n.term}
	voters := n.log.voters
	switch err := n.leadership(); {
	case err != nil:
		answer.Err = err
	case !n.mayChange():
		answer.Err = &BusyError{}
	case ofHost(voters.GetLearners(), in.Host) != nil:
		answer.Index = n.setMembers(voters.GetVoters(), withoutHost(voters.GetLearners(), in.Host))
	case ofHost(voters.GetVoters(), in.Host) == nil:
		answer.Err = &MembershipError{in.Host, "it is not a member"}
	case !n.majorityActive(withoutHost(voters.GetVoters(), in.Host)):
		answer.Err = &MembershipError{in.Host, "without it, too few of the remaining voters answer"}
	default:
		answer.Index = n.setMembers(withoutHost(voters.GetVoters(), in.Host), voters.GetLearners())
	}
	n.out = append(n.out, answer)
}

// join lets a member that started with an empty data folder take its host's place as a learner.
func (n *Node) join(hello *fleetpb.Hello) {
	joining := hello.GetMember()
	voters := n.log.voters
	if n.member(joining.GetMember()) != nil || n.office.leaving || !n.mayChange() {
		return
	}
	if n.now.Sub(n.office.since) <= n.bounds.ElectionMax {
		// A new leader has not yet heard which members run.
		return
	}
	voter, learner := ofHost(voters.GetVoters(), joining.GetHost()), ofHost(voters.GetLearners(), joining.GetHost())
	if voter == nil && learner == nil {
		n.refuse(joining, "the host is not a member of the control log; admit it first")
		return
	}
	for _, old := range []*fleetpb.Voter{voter, learner} {
		if old.GetMember() != "" && (n.isSelf(old) || n.active(n.progress(old.GetMember()))) {
			n.refuse(joining, "the host has another running member")
			return
		}
	}
	n.setMembers(voters.GetVoters(), append(withoutHost(voters.GetLearners(), joining.GetHost()), joining))
}

// maintain promotes a learner that has caught up. The voter that it replaces goes first, in an entry of its own, so that
// each membership differs from the one before by one voter.
func (n *Node) maintain() {
	if n.office.leaving || !n.mayChange() {
		return
	}
	voters := n.log.voters
	for _, learner := range voters.GetLearners() {
		if learner.GetMember() == "" || !n.caughtUp(learner) {
			continue
		}
		remaining := withoutHost(voters.GetVoters(), learner.GetHost())
		if !n.majorityActive(remaining) {
			continue
		}
		if len(remaining) < len(voters.GetVoters()) {
			n.setMembers(remaining, voters.GetLearners())
			return
		}
		n.setMembers(append(remaining, learner), withoutHost(voters.GetLearners(), learner.GetHost()))
		return
	}
}

func (n *Node) caughtUp(learner *fleetpb.Voter) bool {
	p := n.progress(learner.GetMember())
	return n.active(p) && p.match > 0 && p.match+caughtUpLag >= n.commit && p.match >= n.log.snapshot.GetIndex()
}

// majorityActive reports whether a majority of the voters answers, so that the membership can commit.
func (n *Node) majorityActive(voters []*fleetpb.Voter) bool {
	count := 0
	for _, voter := range voters {
		if n.isSelf(voter) || n.active(n.progress(voter.GetMember())) {
			count++
		}
	}
	return count > len(voters)/2
}

func ofHost(members []*fleetpb.Voter, host string) *fleetpb.Voter {
	for _, member := range members {
		if member.GetHost() == host {
			return member
		}
	}
	return nil
}

func withoutHost(members []*fleetpb.Voter, host string) []*fleetpb.Voter {
	return slices.DeleteFunc(slices.Clone(members), func(member *fleetpb.Voter) bool {
		return member.GetHost() == host
	})
}
