package core

import (
	"context"
	"math"
	"time"

	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/replica"
)

const (
	// followInterval is the interval at which core hosts request the changes of the leader's directory.
	followInterval = 400 * time.Millisecond
	// followTimeout bounds one such request.
	followTimeout = time.Second
	// gatherTime is the time for which a new leader that has followed no directory only collects the hosts that search for it. It
	// is longer than the interval of their searches, so the first directory is nearly complete.
	gatherTime = 250 * time.Millisecond
)

// followDirectory keeps a copy of the leader's directory until ctx ends, so that this host can continue it as the next leader.
// Without the copy, a new leader would list only the hosts that have already asked it, send each of them the whole directory, and
// move the gateways of most upstreams.
func (c *Core) followDirectory(ctx context.Context) {
	for steady.Wait(ctx, followInterval) == nil {
		leadership := c.replica.Leadership()
		if leadership.Leads || leadership.Leader == "" || leadership.Leader == c.options.Peer {
			continue
		}
		if err := c.followOnce(ctx, leadership.Leader); err != nil {
			klog.V(1).InfoS("Directory not followed", "leader", leadership.Leader, "problem", problem(err))
		}
	}
}

func (c *Core) followOnce(ctx context.Context, leader string) error {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	c.historyMu.Lock()
	digest := c.inheritable.Digest()
	c.historyMu.Unlock()
	// The highest version is requested, since the log brings the configuration.
	response, err := c.peer(leader).Watch(ctx, &fleetpb.WatchRequest{Version: math.MaxUint64, Digest: digest})
	if err != nil {
		return err
	}
	c.historyMu.Lock()
	defer c.historyMu.Unlock()
	if next := c.inheritable.Next(digest, response.GetDigest(), response.GetDirectory(), response.GetChange()); next != nil {
		c.inheritable.Set(next, response.GetDigest())
	}
	return nil
}

// inheritDirectory makes the latest directory of the core's leaders that this host knows the first one of its own leadership. Its hosts
// count as running until they had time to find the new leader.
func (c *Core) inheritDirectory(now ident.Time) {
	c.historyMu.Lock()
	inherited := c.inheritable.Directory()
	c.directoryAt = 0
	if inherited != nil {
		if _, err := c.history.Add(inherited); err != nil {
			klog.ErrorS(err, "Directory not inherited")
		}
	}
	c.historyMu.Unlock()
	saved := c.restoreDirectory(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts.inherit(now, inherited.GetHosts(), entryHostTimeout)
	if inherited == nil {
		c.hosts.inherit(now, saved.GetHosts(), restoredHostTimeout)
	}
	klog.InfoS("Directory inherited", "hosts", len(inherited.GetHosts()), "upstreams", len(inherited.GetUpstreams()))
}

// takeOver marks the directory as taken over for a leadership once its list of hosts is complete.
func (c *Core) takeOver(leadership replica.Leadership) {
	if c.takenOver.Load() == int64(leadership.Since) {
		return
	}
	c.historyMu.Lock()
	inherited := c.inheritable.Directory() != nil
	c.historyMu.Unlock()
	if inherited || c.restoredHosts || steady.Now().Sub(leadership.Since) >= gatherTime {
		c.takenOver.Store(int64(leadership.Since))
		c.takenOverSignal.broadcast()
	}
}
