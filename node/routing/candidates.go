package routing

import (
	"fmt"
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"

	"tamarackshunt.dev/fleet/balance"
	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

var (
	choices   = newChoices()
	reportAge = metrics.NewHistogram("tamarack_routing_report_age_seconds")
)

// newChoices returns the counters of reads with more than one candidate, by the reason for the first one.
func newChoices() (counters [balance.ReasonMoved + 1]*metrics.Counter) {
	for _, reason := range balance.ReasonValues() {
		counters[reason] = metrics.NewCounter(fmt.Sprintf("tamarack_routing_choices_total{reason=%q}", reason))
	}
	return counters
}

// Candidate is an upstream that may run a statement.
type Candidate struct {
	Pool *upstream.Pool
}

// Candidates returns the upstreams that may run reads of a route for a team, in the order in which to try them. Upstreams that
// were just observed to lack the position since are left out.
func (t *Table) Candidates(route *catalog.Route, team *catalog.Team, since ident.Position) []Candidate {
	now := steady.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	g := t.groups[route.Service]
	if g == nil {
		return nil
	}
	pools := make([]*upstream.Pool, 0, len(g.members))
	options := make([]balance.Option, 0, len(g.members))
	for _, m := range g.members {
		if !t.serves(m, route, team) || m.pool.Lacks(now, since) {
			continue
		}
		pools = append(pools, m.pool)
		options = append(options, t.option(m, g, now))
	}
	order := balance.Choose(options, len(t.hosts), rand.Float64)
	recordChoice(options, order)
	list := make([]Candidate, 0, len(pools))
	for _, i := range order.Indexes {
		list = append(list, Candidate{Pool: pools[i]})
	}
	return list
}

// recordChoice counts a choice between several options.
func recordChoice(options []balance.Option, order balance.Order) {
	if len(options) < 2 {
		return
	}
	choices[order.Reason].Inc()
	if first := options[order.Indexes[0]].Report; first.Known && order.Reason != balance.ReasonOwnLoad {
		reportAge.Update(first.Age.Seconds())
	}
}

// serves reports whether an upstream may run requests of a route for a team.
func (t *Table) serves(m *member, route *catalog.Route, team *catalog.Team) bool {
	return !m.leaving && !m.evacuated && catalog.Allows(route, team, m.pool.Target().Region)
}

// option describes an upstream of a group for the choice between them.
func (t *Table) option(m *member, g *group, now ident.Time) balance.Option {
	pool := m.pool
	target, load := pool.Target(), pool.Load(now)
	option := balance.Option{
		Distance: balance.DistanceFar,
		Primary:  target.Upstream == g.primary,
		InFlight: load.InFlight,
		Avoid:    load.Avoid,
		Report:   pool.Report(now),
	}
	switch {
	case target.Zone == t.options.Zone:
		option.Distance = balance.DistanceZone
	case target.Region == t.options.Region:
		option.Distance = balance.DistanceRegion
	}
	if m.account.role == connections.RoleGateway && t.position(m.account.order) >= 0 {
		// This host holds the upstream's connections and measures its load itself.
		option.Report = balance.Report{Load: pool.MeasuredLoad(now), Known: true, Silence: option.Report.Silence}
	}
	return option
}
