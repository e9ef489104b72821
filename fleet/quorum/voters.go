package quorum

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
)

// VoterPolicy says which members vote. With the zero policy, each learner that has caught up becomes a voter, and members are
// removed only on request.
//
// The number of voters is kept odd: one more than an odd number bears no further loss, and a split into two halves then leaves
// neither side a majority. A voter that no longer answers keeps its vote until a learner can take its place. The learner is
// promoted first and the silent voter demoted after it, so that the members in between bear as many losses as before.
type VoterPolicy struct {
	// MaxVoters is the greatest number of voters, an odd number; 0 is the zero policy. Every change waits for a majority of the
	// voters, so members beyond the losses that have to be borne are learners.
	MaxVoters int
	// AwayLimit is how long a voter may be silent before a learner takes its place. With the time of an election it must be shorter
	// than the time after which the next losses are permitted: a host that is gone must not have a vote then.
	AwayLimit time.Duration
	// SettleTime is the time without a change, and with all voters active, before a change that only improves the choice of voters.
	SettleTime time.Duration
	// LearnerLimit is how long a learner may be silent before it is removed.
	LearnerLimit time.Duration
}

// candidate is a member as the choice of voters sees it.
type candidate struct {
	*fleetpb.Voter
	self bool
	// active reports whether the member has answered recently, and silence is the time since its last answer.
	active  bool
	silence time.Duration
	// ready reports whether a learner has caught up.
	ready bool
}

// voterChange is a change of the membership by one member.
type voterChange interface{ voterChange() }

// promotion makes a learner a voter, demotion makes a voter a learner, and removal ends the membership of a learner.
type (
	promotion struct{ member *fleetpb.Voter }
	demotion  struct{ member *fleetpb.Voter }
	removal   struct{ member *fleetpb.Voter }
)

func (promotion) voterChange() {}
func (demotion) voterChange()  {}
func (removal) voterChange()   {}

// next returns the next change of the membership, or nil if none is due. settled is the time since the last change.
func (p VoterPolicy) next(voters, learners []candidate, settled time.Duration) voterChange {
	ready := slices.DeleteFunc(slices.Clone(learners), func(c candidate) bool { return !c.ready })
	away := p.awayVoter(voters)
	even := len(voters)%2 == 0
	switch {
	case away != nil && (even || len(voters) > p.MaxVoters):
		return demotion{away.Voter}
	case away != nil && len(ready) > 0:
		return promotion{successor(without(voters, away), ready).Voter}
	case len(ready) > 0 && len(voters) < p.MaxVoters && (even || len(ready) > 1):
		return promotion{successor(voters, ready).Voter}
	case settled < p.SettleTime || !allActive(voters):
		// Changes that only improve the choice of voters wait, so that a member whose link loses packets does not cause one
		// after the other.
	case even || len(voters) > p.MaxVoters:
		return demotion{mostCrowded(voters).Voter}
	case len(ready) > 0:
		best := successor(voters, ready)
		grown := append(slices.Clone(voters), *best)
		if spread(without(grown, mostCrowded(grown))) < spread(voters) {
			return promotion{best.Voter}
		}
	}
	for _, c := range learners {
		if c.silence >= p.LearnerLimit {
			return removal{c.Voter}
		}
	}
	return nil
}

// awayVoter returns the voter that has been silent for the longest time, if that is longer than AwayLimit.
func (p VoterPolicy) awayVoter(voters []candidate) *candidate {
	var away *candidate
	for i := range voters {
		c := &voters[i]
		if c.self || c.silence < p.AwayLimit {
			continue
		}
		if away == nil || c.silence > away.silence {
			away = c
		}
	}
	return away
}

// successor returns the learner that becomes a voter: the one that spreads the voters best.
func successor(voters, ready []candidate) *candidate {
	var best *candidate
	bestSpread := 0
	for i := range ready {
		c := &ready[i]
		if s := spread(append(slices.Clone(voters), *c)); best == nil || s < bestSpread {
			best, bestSpread = c, s
		}
	}
	return best
}

// mostCrowded returns the voter other than the leader without which the others are spread best.
func mostCrowded(voters []candidate) *candidate {
	var worst *candidate
	bestSpread := 0
	for i := range voters {
		c := &voters[i]
		if c.self {
			continue
		}
		if s := spread(without(voters, c)); worst == nil || s < bestSpread {
			worst, bestSpread = c, s
		}
	}
	return worst
}

// regionWeight makes the spread over regions count before that over availability zones. It is greater than the sum of squares
// of any number of voters that is chosen from.
const regionWeight = 1 << 10

// spread is lower the more evenly voters are spread over regions and, within them, over availability zones: it sums the squares
// of their numbers.
func spread(voters []candidate) int {
	regions, zones := map[string]int{}, map[string]int{}
	for _, c := range voters {
		regions[c.GetRegion()]++
		zones[c.GetZone()]++
	}
	sum := 0
	for _, count := range regions {
		sum += regionWeight * count * count
	}
	for _, count := range zones {
		sum += count * count
	}
	return sum
}

func without(voters []candidate, c *candidate) []candidate {
	return slices.DeleteFunc(slices.Clone(voters), func(other candidate) bool { return other.GetMember() == c.GetMember() })
}

func allActive(voters []candidate) bool {
	return !slices.ContainsFunc(voters, func(c candidate) bool { return !c.active })
}

// candidates returns members as the choice of voters sees them.
func (n *Node) candidates(members []*fleetpb.Voter) []candidate {
	list := make([]candidate, 0, len(members))
	for _, member := range members {
		c := candidate{Voter: member, self: n.isSelf(member)}
		p := n.progress(member.GetMember())
		c.active, c.silence = c.self || n.active(p), n.silence(member)
		c.ready = member.GetMember() != "" && n.caughtUp(member)
		list = append(list, c)
	}
	return list
}

// chooseVoters makes the next change of the membership that the policy asks for, if a majority of the resulting voters is active.
func (n *Node) chooseVoters() {
	voters, learners := n.log.voters.GetVoters(), n.log.voters.GetLearners()
	settled := n.now.Sub(max(n.leaderState.since, n.leaderState.membersChangedAt))
	var kind MemberChange
	var changed *fleetpb.Voter
	switch change := n.bounds.Voters.next(n.candidates(voters), n.candidates(learners), settled).(type) {
	case promotion:
		kind, changed = Promoted, change.member
		voters, learners = append(slices.Clone(voters), change.member), withoutHost(learners, change.member.GetHost())
	case demotion:
		kind, changed = Demoted, change.member
		voters = withoutHost(voters, change.member.GetHost())
		if memberOfHost(learners, change.member.GetHost()) == nil {
			learners = append(slices.Clone(learners), change.member)
		}
	case removal:
		kind, changed = Removed, change.member
		learners = withoutHost(learners, change.member.GetHost())
	default:
		return
	}
	if n.majorityActive(voters) {
		n.setMembers(kind, changed, voters, learners)
	}
}
