package core

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/quorum"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/replica"
)

const (
	// enrollTimeout bounds the calls that ask for membership.
	enrollTimeout = time.Second
	// leaderContactTimeout is how long a host that has a log waits for the leader before it asks whether it is still a member.
	// The leader contacts each member several times in this time, also after an election.
	leaderContactTimeout = time.Second
)

const (
	// minVoters and maxVoters limit the number of voters. Three bear one loss. Seven bear three; with more voters, a change
	// would wait for the disks of too many hosts.
	minVoters = 3
	maxVoters = 7
	// awayFraction of the time after which the next losses are permitted is how long a voter may be silent. The rest is for an
	// election in between and for the changes of the membership.
	awayFraction = 0.5
	// minAwayLimit is longer than an election, in which no leader hears from a voter.
	minAwayLimit = 3 * electionMax
	// defaultCatchUp is that time if the settings name none.
	defaultCatchUp = 6 * time.Second
	// settleTime is far longer than a restart, so that a rolling restart moves no votes only for a better choice.
	settleTime = 12 * time.Second
	// learnerLimit is far longer than the repair of a host, so that a host that returns need not copy the log again.
	learnerLimit = 5 * time.Minute
)

// voterPolicy returns the policy under which the loss of any given number of voters leaves a majority. The next losses are permitted
// catchUp after the return of a lost host.
func voterPolicy(losses int, catchUp time.Duration) quorum.VoterPolicy {
	if catchUp <= 0 {
		catchUp = defaultCatchUp
	}
	return quorum.VoterPolicy{
		MaxVoters:    min(max(2*losses+1, minVoters), maxVoters),
		AwayLimit:    max(time.Duration(awayFraction*float64(catchUp)), minAwayLimit),
		SettleTime:   settleTime,
		LearnerLimit: learnerLimit,
	}
}

// keepMembership enrolls this host whenever no leader counts it as a member, until ctx ends. It sends a RemovedError and returns
// once the leader answers that this host's log is not a member's. It has its own goroutine, since a call may wait for hosts that are
// down while this host becomes the leader.
func (c *Core) keepMembership(ctx context.Context, removed chan<- error) {
	// Only a new reason is logged.
	lastRefusal := ""
	for steady.Wait(ctx, tickInterval) == nil {
		leadership := c.replica.Leadership()
		if leadership.Leads || !c.enrollDue(leadership) {
			continue
		}
		if c.replica.Members() == nil {
			c.replica.SetContacts(c.options.Seeds())
		}
		refusal, err := c.enroll(ctx)
		if err != nil {
			removed <- err
			return
		}
		if refusal != "" && refusal != lastRefusal {
			klog.InfoS("Not enrolled", "host", c.options.Host, "asked", c.coreHosts(), "problem", refusal)
		}
		lastRefusal = refusal
	}
}

// enrollDue reports whether this host should ask the leader for membership: it has no log, or it has one but no leader contacts
// it, which is the case once it was removed.
func (c *Core) enrollDue(leadership replica.Leadership) bool {
	return c.replica.Members() == nil || steady.Now().Sub(leadership.LastContact) > leaderContactTimeout
}

// enroll asks the leader to add this host as a learner or, if it has a log, whether it is still a member. It returns a
// RemovedError if it is not, and otherwise why the leader was not found or did not add this host.
func (c *Core) enroll(ctx context.Context) (refusal string, err error) {
	ctx, cancel := context.WithTimeout(ctx, enrollTimeout)
	defer cancel()
	request := &fleetpb.JoinRequest{
		Host: string(c.options.Host), Peer: c.options.Peer, Zone: string(c.options.Zone), Region: string(c.options.Region),
	}
	if c.replica.Members() != nil {
		request.Member = c.replica.Member()
	}
	response, err := callLeader(ctx, c, func(ctx context.Context, host string) (*fleetpb.JoinResponse, error) {
		return c.peer(host).Enroll(ctx, request)
	})
	if err != nil {
		return problem(err), nil
	}
	if response.GetRemoved() {
		return "", &RemovedError{"the leader's membership does not contain this host's log"}
	}
	return "", nil
}

// isMember reports whether the membership contains a member id.
func isMember(members *fleetpb.Voters, id string) bool {
	for _, member := range append(members.GetVoters(), members.GetLearners()...) {
		if member.GetMember() == id {
			return true
		}
	}
	return false
}
