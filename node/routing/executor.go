package routing

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

// gatewayAvoidTime is how long a gateway is not used after it did not answer.
const gatewayAvoidTime = 1500 * time.Millisecond

// self returns this host's entry in the directory, or nil.
func (t *Table) self() *fleetpb.EntryHost {
	for _, host := range t.hosts {
		if host.GetHost() == string(t.options.Host) {
			return host
		}
	}
	return nil
}

// gatewayOf selects the host that holds the connections to an upstream, by rendezvous hashing over the hosts in the upstream's
// availability zone. It returns nil if there are none.
func gatewayOf(hosts []*fleetpb.EntryHost, target upstream.Target) *fleetpb.EntryHost {
	var best *fleetpb.EntryHost
	var bestWeight uint64
	for _, host := range hosts {
		if ident.Zone(host.GetZone()) != target.Zone {
			continue
		}
		if weight := xxhash.Sum64String(host.GetHost() + "/" + string(target.Upstream)); best == nil || weight > bestWeight {
			best, bestWeight = host, weight
		}
	}
	return best
}

// Executor returns an executor for an upstream. It uses this host's own connections if the host is the gateway, if there is no
// gateway or if the gateway did not answer lately; otherwise it goes through the gateway.
func (t *Table) Executor(pool *upstream.Pool, team ident.Team, priority int) upstream.Executor {
	now := steady.Now()
	t.mu.RLock()
	chosen := gatewayOf(t.hosts, pool.Target())
	if chosen != nil && now < t.avoided[chosen.GetHost()] {
		chosen = nil
	}
	t.mu.RUnlock()
	executor := &trackedExecutor{pool: pool}
	if chosen == nil || chosen.GetHost() == string(t.options.Host) {
		executor.Executor = pool.Executor(team, priority)
		return executor
	}
	executor.Executor = t.options.Gateways.Executor(chosen.GetPeer(), pool.Target(), team, priority, func() {
		executor.gatewayFailed = true
		t.mu.Lock()
		defer t.mu.Unlock()
		t.avoided[chosen.GetHost()] = steady.Now().Add(gatewayAvoidTime)
	})
	return executor
}

// trackedExecutor records the outcome of statements in the upstream's pool: those in flight, answers, failures and positions.
type trackedExecutor struct {
	upstream.Executor
	pool          *upstream.Pool
	gatewayFailed bool
}

// Execute implements upstream.Executor.
func (c *trackedExecutor) Execute(ctx context.Context, use upstream.Use) (upstream.Outcome, error) {
	c.pool.BeginStatement()
	c.pool.RecordSent(steady.Now())
	defer c.pool.EndStatement()
	c.gatewayFailed = false
	outcome, err := c.Executor.Execute(ctx, use)
	if outcome.Gateway != "" {
		c.pool.RecordLoad(steady.Now(), outcome.Load)
	}
	if position := outcome.Result.Position; position != (ident.Position{}) {
		c.pool.RecordPosition(steady.Now(), position)
	}
	var broken *upstream.BrokenError
	var unreachable *upstream.UnreachableError
	switch {
	case err == nil:
		c.pool.RecordReachable()
		c.pool.RecordReply(steady.Now())
	case !c.gatewayFailed && (errors.As(err, &broken) || errors.As(err, &unreachable)):
		c.pool.RecordFailure(steady.Now())
	}
	return outcome, err
}
