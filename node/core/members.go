package core

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
)

const (
	// memberTimeout bounds a change of the members, or a call about one.
	memberTimeout = time.Second
	// foundingSize is the number of voters that the platform's seeds name; more are kept only while one is being replaced.
	foundingSize = 3
	// removeAfter is the silence after which a voter beyond the founding size is removed. A voter that only restarts is back
	// sooner.
	removeAfter = 2500 * time.Millisecond
)

// enroll asks the leader to admit this host while it is not a member of the core.
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

// tidyMembers removes a voter that has been silent for long once another host has taken its place: more voters than the
// core was founded with are of no use, and a silent one weakens the majority.
func (c *Core) tidyMembers(ctx context.Context) {
	voters := c.replica.Members().GetVoters()
	stalest, since := c.replica.StalestVoter()
	if len(voters) <= foundingSize || stalest == "" || c.replica.Now().Sub(since) < removeAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	err := c.replica.RemoveVoter(ctx, stalest)
	klog.InfoS("Silent core host removed", "host", stalest, "voters", len(voters), "problem", problem(err))
}
