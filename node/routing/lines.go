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

// avoidGateway is how long a gateway that did not answer is passed over.
const avoidGateway = 1500 * time.Millisecond

// self returns this host's entry in the directory, or nil.
func (t *Table) self() *fleetpb.EntryHost {
	for _, host := range t.hosts {
		if host.GetHost() == string(t.options.Host) {
			return host
		}
	}
	return nil
}

// gatewayOf selects the host that keeps the connections to an upstream, by rendezvous hashing over the hosts of its
// availability zone; nil when there is none.
func gatewayOf(hosts []*fleetpb.EntryHost, target upstream.Target) *fleetpb.EntryHost {
	var best *fleetpb.EntryHost
	var most uint64
	for _, host := range hosts {
		if ident.Zone(host.GetZone()) != target.Zone {
			continue
		}
		if weight := xxhash.Sum64String(host.GetHost() + "/" + string(target.Upstream)); best == nil || weight > most {
			best, most = host, weight
		}
	}
	return best
}

// Line returns a way to an upstream: over this host's own connections where it is the gateway or reaches none, otherwise
// through the gateway.
func (t *Table) Line(pool *upstream.Pool, team ident.Team, priority int) upstream.Line {
	now := steady.Now()
	t.mu.RLock()
	chosen := gatewayOf(t.hosts, pool.Target())
	if chosen != nil && now < t.avoided[chosen.GetHost()] {
		chosen = nil
	}
	t.mu.RUnlock()
	line := &counted{pool: pool}
	if chosen == nil || chosen.GetHost() == string(t.options.Host) {
		line.Line = pool.Line(team, priority)
		return line
	}
	line.Line = t.options.Gateways.Line(chosen.GetPeer(), pool.Target(), team, priority, func() {
		line.gatewayLost = true
		t.mu.Lock()
		defer t.mu.Unlock()
		t.avoided[chosen.GetHost()] = steady.Now().Add(avoidGateway)
	})
	return line
}

// counted notes in the pool of the upstream how its lines fare.
type counted struct {
	upstream.Line
	pool        *upstream.Pool
	gatewayLost bool
}

// Do implements upstream.Line.
func (c *counted) Do(ctx context.Context, use upstream.Use) (upstream.Outcome, error) {
	c.pool.Enter()
	defer c.pool.Leave()
	c.gatewayLost = false
	outcome, err := c.Line.Do(ctx, use)
	if seen := outcome.Result.Position; seen != (ident.Position{}) {
		c.pool.Saw(steady.Now(), seen)
	}
	var broken *upstream.BrokenError
	var unreachable *upstream.UnreachableError
	switch {
	case err == nil:
		c.pool.Answered(steady.Now())
	case !c.gatewayLost && (errors.As(err, &broken) || errors.As(err, &unreachable)):
		c.pool.Failed(steady.Now())
	}
	return outcome, err
}
