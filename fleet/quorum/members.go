package quorum

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
)

// maxPromotionLag is the number of committed entries that a learner may lack when it becomes a voter. Under steady writes
// a learner is always about one round trip behind, so a limit of zero could delay its promotion without end.
const maxPromotionLag = 16

// members returns the voters and learners with a member id. A learner added for a host has none until the host starts.
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

func (n *Node) hasMajority(ballots map[string]bool) bool {
	count := 0
	for _, voter := range n.log.voters.GetVoters() {
		if ballots[voter.GetMember()] {
			count++
		}
	}
	return count > len(n.log.voters.GetVoters())/2
}

// updateRole sets the role of a member that is not the leader according to the membership in its log.
func (n *Node) updateRole() {
	n.role = n.membershipRole()
	if known := n.member(n.leader.GetMember()); known != nil {
		n.leader = known
	}
}

// mayChangeMembers reports whether the leader may append a membership change: the last change and an entry of the leader's
// own term must be committed. Without the second condition, changes of two terms could form disjoint majorities.
func (n *Node) mayChangeMembers() bool {
	return n.log.votersIndex <= n.commit && n.commit >= n.leaderState.firstIndex
}

// setMembers appends a membership, which must differ from the last one by at most one voter, and returns its index. The kind of
// change and the changed member are reported.
func (n *Node) setMembers(kind MemberChange, changed *fleetpb.Voter, voters, learners []*fleetpb.Voter) uint64 {
	n.out = append(n.out, MembersChange{
		Kind: kind, Host: changed.GetHost(), Silence: n.silence(changed), Voters: len(voters), Active: n.activeVoters(voters),
	})
	index := n.appendEntry(&fleetpb.Change{Kind: &fleetpb.Change_Voters{Voters: &fleetpb.Voters{
		Voters:   voters,
		Learners: learners,
	}}})
	n.leaderState.membersChangedAt = n.now
	for id := range n.leaderState.peerProgress {
		if n.member(id) == nil {
			delete(n.leaderState.peerProgress, id)
		}
	}
	return index
}

// addLearner adds a learner without a member id; the host joins as this learner when it starts with an empty data folder.
func (n *Node) addLearner(in AddLearner) {
	answer := Proposed{ID: in.ID, Term: n.term}
	voters := n.log.voters
	switch err := n.checkLeader(); {
	case err != nil:
		answer.Err = err
	case !n.mayChangeMembers():
		answer.Err = &BusyError{}
	case memberOfHost(voters.GetVoters(), in.Host) != nil || memberOfHost(voters.GetLearners(), in.Host) != nil:
		answer.Err = &MembershipError{in.Host, "it is a member already"}
	default:
		learner := &fleetpb.Voter{Host: in.Host, Peer: in.Peer, Zone: in.Zone, Region: in.Region}
		answer.Index = n.setMembers(Admitted, learner, voters.GetVoters(), append(slices.Clone(voters.GetLearners()), learner))
	}
	n.out = append(n.out, answer)
}

// remove removes a host from the members. A host whose disk was replaced need not be removed: when it starts, join adds its
// new member as a learner, and promoteLearner removes the old one.
func (n *Node) remove(in Remove) {
	answer := Proposed{ID: in.ID, Term: n.term}
	voters := n.log.voters
	voter, learner := memberOfHost(voters.GetVoters(), in.Host), memberOfHost(voters.GetLearners(), in.Host)
	switch err := n.checkLeader(); {
	case err != nil:
		answer.Err = err
	case !n.mayChangeMembers():
		answer.Err = &BusyError{}
	case learner != nil:
		answer.Index = n.setMembers(Removed, learner, voters.GetVoters(), withoutHost(voters.GetLearners(), in.Host))
	case voter == nil:
		answer.Err = &MembershipError{in.Host, "it is not a member"}
	case !n.majorityActive(withoutHost(voters.GetVoters(), in.Host)):
		answer.Err = &MembershipError{in.Host, "without it, too few of the remaining voters answer"}
	default:
		answer.Index = n.setMembers(Removed, voter, withoutHost(voters.GetVoters(), in.Host), voters.GetLearners())
	}
	n.out = append(n.out, answer)
}

// join adds a member that started with an empty data folder as a learner, if its host is part of the membership.
func (n *Node) join(hello *fleetpb.Hello) {
	joining := hello.GetMember()
	voters := n.log.voters
	if n.member(joining.GetMember()) != nil || n.leaderState.transferring || !n.mayChangeMembers() {
		return
	}
	if n.now.Sub(n.leaderState.since) <= n.bounds.ElectionMax {
		// A new leader does not know yet which members are running.
		return
	}
	voter, learner := memberOfHost(voters.GetVoters(), joining.GetHost()), memberOfHost(voters.GetLearners(), joining.GetHost())
	if voter == nil && learner == nil {
		n.sendHelloAnswer(joining, "the host is not a member of the control log; admit it first")
		return
	}
	for _, old := range []*fleetpb.Voter{voter, learner} {
		if old.GetMember() != "" && (n.isSelf(old) || n.active(n.progress(old.GetMember()))) {
			n.sendHelloAnswer(joining, "the host has another running member")
			return
		}
	}
	n.setMembers(Joined, joining, voters.GetVoters(), append(withoutHost(voters.GetLearners(), joining.GetHost()), joining))
}

// updateMembers promotes learners that have caught up and makes the changes that the voter policy asks for. Each membership
// differs from the one before by one voter.
func (n *Node) updateMembers() {
	if n.leaderState.transferring || !n.mayChangeMembers() || n.promoteLearner() || n.bounds.Voters.MaxVoters == 0 {
		return
	}
	n.chooseVoters()
}

// promoteLearner promotes a learner that has caught up and reports whether there was one. The voter that it replaces on the same
// host is removed first, in a separate entry. Under a voter policy, only learners that replace such a voter are promoted here.
func (n *Node) promoteLearner() bool {
	voters := n.log.voters
	for _, learner := range voters.GetLearners() {
		if learner.GetMember() == "" || !n.caughtUp(learner) {
			continue
		}
		if n.bounds.Voters.MaxVoters > 0 && memberOfHost(voters.GetVoters(), learner.GetHost()) == nil {
			continue
		}
		remaining := withoutHost(voters.GetVoters(), learner.GetHost())
		if !n.majorityActive(remaining) {
			continue
		}
		if len(remaining) < len(voters.GetVoters()) {
			n.setMembers(Removed, memberOfHost(voters.GetVoters(), learner.GetHost()), remaining, voters.GetLearners())
			return true
		}
		n.setMembers(Promoted, learner, append(remaining, learner), withoutHost(voters.GetLearners(), learner.GetHost()))
		return true
	}
	return false
}

func (n *Node) caughtUp(learner *fleetpb.Voter) bool {
	p := n.progress(learner.GetMember())
	return n.active(p) && p.match > 0 && p.match+maxPromotionLag >= n.commit && p.match >= n.log.snapshot.GetIndex()
}

// majorityActive reports whether a majority of the given voters is active, so that entries can be committed with them.
func (n *Node) majorityActive(voters []*fleetpb.Voter) bool {
	return n.activeVoters(voters) > len(voters)/2
}

// activeVoters returns how many of the given voters are active.
func (n *Node) activeVoters(voters []*fleetpb.Voter) int {
	count := 0
	for _, voter := range voters {
		if n.isSelf(voter) || n.active(n.progress(voter.GetMember())) {
			count++
		}
	}
	return count
}

// silence returns the time since this leader heard from a member or, if it never has, since it knows the member. It is 0 for a
// member that is being added.
func (n *Node) silence(member *fleetpb.Voter) time.Duration {
	p := n.leaderState.peerProgress[member.GetMember()]
	if n.isSelf(member) || p == nil {
		return 0
	}
	return n.now.Sub(max(p.createdAt, p.lastContact))
}

func memberOfHost(members []*fleetpb.Voter, host string) *fleetpb.Voter {
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
