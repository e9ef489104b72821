package routing

import (
	"cmp"
	"slices"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

// Costs by which the upstreams for a read are ordered, as equivalent waiting time in milliseconds.
const (
	costOtherZone    = 3
	costOtherRegion  = 24
	costPerStatement = 10
	costAvoided      = 1000
)

// Candidate is an upstream that may run a statement.
type Candidate struct {
	Pool *upstream.Pool
	cost int
}

// Candidates returns the upstreams that may run reads of a route for a team, the cheapest first. Upstreams that were just
// observed to lack the position since are left out.
func (t *Table) Candidates(route *catalog.Route, team *catalog.Team, since ident.Position) []Candidate {
	now := steady.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	g := t.groups[route.Service]
	if g == nil {
		return nil
	}
	list := make([]Candidate, 0, len(g.members))
	for _, m := range g.members {
		if !t.serves(m, route, team) || m.pool.Lacks(now, since) {
			continue
		}
		list = append(list, Candidate{Pool: m.pool, cost: t.cost(m.pool, now)})
	}
	slices.SortStableFunc(list, func(x, y Candidate) int { return cmp.Compare(x.cost, y.cost) })
	return list
}

// serves reports whether an upstream may run requests of a route for a team.
func (t *Table) serves(m *member, route *catalog.Route, team *catalog.Team) bool {
	return !m.leaving && !m.evacuated && t.Catalog().Allows(route, team, m.pool.Target().Region)
}

// cost returns the cost of sending a read to an upstream, from its zone and region, statements in flight and recent failures.
func (t *Table) cost(pool *upstream.Pool, now ident.Time) int {
	target, load := pool.Target(), pool.Load(now)
	cost := load.InFlight * costPerStatement
	switch {
	case target.Zone == t.options.Zone:
	case target.Region == t.options.Region:
		cost += costOtherZone
	default:
		cost += costOtherRegion
	}
	if load.Avoid {
		cost += costAvoided
	}
	return cost
}
