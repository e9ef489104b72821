package failover

import (
	"fmt"
	"slices"
	"strings"

	"tamarackshunt.dev/fleet/ident"
)

// observe stores an observer's report.
func (g *Group) observe(e Observed) {
	hosts := g.views[e.Upstream]
	if hosts == nil {
		hosts = map[ident.Host]view{}
		g.views[e.Upstream] = hosts
	}
	v := view{
		zone: e.Zone, received: g.now, silent: e.Silent, refused: e.Refused, state: e.State, replicaSince: g.now,
	}
	if before, known := hosts[e.Host]; known && !before.state.Primary {
		v.replicaSince = before.replicaSince
	}
	hosts[e.Host] = v
}

// fresh returns the observers with a report on the upstream that still counts, in order of their names.
func (g *Group) fresh(u ident.Upstream) []ident.Host {
	var hosts []ident.Host
	for h, v := range g.views[u] {
		if g.now.Sub(v.received) <= viewAge {
			hosts = append(hosts, h)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// latest returns the most recent state of an upstream that an observer reached.
func (g *Group) latest(u ident.Upstream) (State, bool) {
	var best view
	found := false
	for _, h := range g.fresh(u) {
		v := g.views[u][h]
		if v.refused || v.silent >= silence {
			continue
		}
		if !found || v.received.Add(-v.silent) > best.received.Add(-best.silent) {
			best, found = v, true
		}
	}
	return best.state, found
}

// fault returns what is wrong with the primary by one report, or an empty text.
func (g *Group) fault(v view) string {
	switch {
	case v.refused:
		return "refuses connections"
	case v.silent >= silence:
		return fmt.Sprintf("silent for %s", v.silent)
	case !v.state.Primary && g.now.Sub(v.replicaSince) >= silence:
		return "is not primary"
	}
	return ""
}

// failing returns why the primary counts as failed, or an empty text. Each availability zone has one vote, that of its
// latest report, and a majority of the group's observers must agree.
func (g *Group) failing() string {
	latest := map[ident.Zone]ident.Host{}
	for _, h := range g.fresh(g.control.Primary) {
		v := g.views[g.control.Primary][h]
		if other, known := latest[v.zone]; !known || v.received > g.views[g.control.Primary][other].received {
			latest[v.zone] = h
		}
	}
	var faults []string
	for zone, h := range latest {
		if f := g.fault(g.views[g.control.Primary][h]); f != "" {
			faults = append(faults, fmt.Sprintf("%s as seen by %s in zone %s", f, h, zone))
		}
	}
	observers := g.control.Observers
	if observers <= 0 {
		observers = defaultObservers
	}
	observers = max(observers, len(latest))
	if len(faults) <= observers/2 {
		return ""
	}
	slices.Sort(faults)
	return fmt.Sprintf("primary %s failed: %s", g.control.Primary, strings.Join(faults, ", "))
}

// consider starts an attempt when there is a reason for one.
func (g *Group) consider() {
	if g.now < g.retry {
		return
	}
	c := g.control
	switch {
	case c.Attempt > c.Term:
		cause := fmt.Sprintf("term %d ended without a promotion", c.Attempt)
		if g.cause != "" {
			cause += "; first cause: " + g.cause
		}
		g.start(&attempt{cause: cause})
	case c.Term == 0:
		g.bootstrap()
	default:
		if cause := g.failing(); cause != "" {
			g.cause = cause
			g.start(&attempt{cause: cause})
			return
		}
		g.planned()
	}
}

// bootstrap starts the first attempt once enough members have announced themselves.
func (g *Group) bootstrap() {
	n := 0
	for _, m := range g.control.Members {
		if g.isAlive(m.Upstream) {
			n++
		}
	}
	if n < g.majority() {
		g.gathered = 0
		return
	}
	if g.gathered == 0 {
		g.gathered = g.now
	}
	if n >= g.count() || g.now.Sub(g.gathered) >= bootstrapGrace {
		g.cause = fmt.Sprintf("first primary: %d of %d upstreams are announced", n, g.count())
		g.start(&attempt{cause: g.cause})
	}
}

// planned starts a switchover when the primary leaves or its zone is out and another member can take over.
func (g *Group) planned() {
	primary, known := g.member(g.control.Primary)
	if !known || g.serving(primary) {
		return
	}
	reason := "it is leaving"
	if !g.leaving(primary) {
		reason = fmt.Sprintf("availability zone %s is out of service", primary.Zone)
	}
	var target Member
	var best ident.Position
	for _, m := range g.control.Members {
		state, seen := g.latest(m.Upstream)
		follows := seen && state.Following && state.Term == g.control.Term
		if m.Upstream == primary.Upstream || !follows || !g.serving(m) || !g.isAlive(m.Upstream) {
			continue
		}
		if target.Upstream == "" || best.Less(state.Last) {
			target, best = m, state.Last
		}
	}
	if target.Upstream == "" {
		return
	}
	g.cause = fmt.Sprintf("planned switchover from %s to %s: %s", primary.Upstream, target.Upstream, reason)
	g.start(&attempt{cause: g.cause, planned: true, from: primary.Upstream, wanted: target.Upstream})
}
