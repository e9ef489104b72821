package core

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
)

const (
	// memberTimeout bounds a membership change, and the calls that request one.
	memberTimeout = time.Second
	// bootstrapSize is the number of voters that the platform's seeds name. There are more only while one is being replaced.
	bootstrapSize = 3
	// removeAfter is how long the stalest voter must be unresponsive before it is removed, when there are more than
	// bootstrapSize voters. A voter that only restarts is back sooner.
	removeAfter = 2500 * time.Millisecond
)

// enroll asks the leader to add this host while it is not a member of the core.
func (c *Core) enroll(ctx context.Context) {
	if c.options.Bootstrap || c.replica.Members() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	request := &fleetpb.JoinRequest{Host: string(c.options.Host), Peer: c.options.Peer}
	for _, address := range c.options.Seeds() {
		if address == c.options.Peer {
			continue
		}
		response, err := c.peer(address).Enroll(ctx, request)
		if err == nil && !response.GetDone() && response.GetLeader() != "" {
			response, err = c.peer(response.GetLeader()).Enroll(ctx, request)
		}
		if err == nil && response.GetDone() {
			return
		}
		klog.V(1).InfoS("Not enrolled", "through", address, "problem", problem(err))
	}
}

// removeStaleVoter removes a voter that has been unresponsive for removeAfter once another host has taken its place. More
// voters than the core was bootstrapped with are of no use, and an unresponsive one weakens the majority.
func (c *Core) removeStaleVoter(ctx context.Context) {
	voters := c.replica.Members().GetVoters()
	stalest, since := c.replica.StalestVoter()
	if len(voters) <= bootstrapSize || stalest == "" || c.replica.Now().Sub(since) < removeAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	err := c.replica.RemoveVoter(ctx, stalest)
	klog.InfoS("Silent core host removed", "host", stalest, "voters", len(voters), "problem", problem(err))
}
