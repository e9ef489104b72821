package failover

import (
	"fmt"
	"slices"
	"strings"

	"tamarackshunt.dev/fleet/ident"
)

// handleObserved stores an observer's report.
func (g *Group) handleObserved(e Observed) {
	hosts := g.reports[e.Upstream]
	if hosts == nil {
		hosts = map[ident.Host]observerReport{}
		g.reports[e.Upstream] = hosts
	}
	v := observerReport{
		zone: e.Zone, received: g.now, silent: e.Silent, refused: e.Refused, state: e.State, replicaSince: g.now,
	}
	if before, known := hosts[e.Host]; known && !before.state.Primary {
		v.replicaSince = before.replicaSince
	}
	hosts[e.Host] = v
}

// recentObservers returns the names of the observers whose report on the upstream is not older than reportMaxAge, sorted.
func (g *Group) recentObservers(u ident.Upstream) []ident.Host {
	var hosts []ident.Host
	for h, v := range g.reports[u] {
		if g.now.Sub(v.received) <= reportMaxAge {
			hosts = append(hosts, h)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// latestState returns the most recent state of an upstream that an observer able to reach it has reported.
func (g *Group) latestState(u ident.Upstream) (State, bool) {
	var best observerReport
	found := false
	for _, h := range g.recentObservers(u) {
		v := g.reports[u][h]
		if v.refused || v.silent >= unreachableAfter {
			continue
		}
		if !found || v.received.Add(-v.silent) > best.received.Add(-best.silent) {
			best, found = v, true
		}
	}
	return best.state, found
}

// fault returns the primary's failure according to one report, or an empty string if it is healthy.
func (g *Group) fault(v observerReport) string {
	switch {
	case v.refused:
		return "refuses connections"
	case v.silent >= unreachableAfter:
		return fmt.Sprintf("silent for %s", v.silent)
	case !v.state.Primary && g.now.Sub(v.replicaSince) >= unreachableAfter:
		return "is not primary"
	}
	return ""
}

// primaryFailure returns why the primary counts as failed, or an empty string. Each availability zone has one vote, cast by
// its latest report, and a majority of the zones that observe the group must report a fault.
func (g *Group) primaryFailure() string {
	latest := map[ident.Zone]ident.Host{}
	for _, h := range g.recentObservers(g.control.Primary) {
		v := g.reports[g.control.Primary][h]
		if other, known := latest[v.zone]; !known || v.received > g.reports[g.control.Primary][other].received {
			latest[v.zone] = h
		}
	}
	var faults []string
	for zone, h := range latest {
		if f := g.fault(g.reports[g.control.Primary][h]); f != "" {
			faults = append(faults, fmt.Sprintf("%s as seen by %s in zone %s", f, h, zone))
		}
	}
	observerZones := g.control.ObserverZones
	if observerZones <= 0 {
		observerZones = defaultObserverZones
	}
	observerZones = max(observerZones, len(latest))
	if len(faults) <= observerZones/2 {
		return ""
	}
	slices.Sort(faults)
	return fmt.Sprintf("primary %s failed: %s", g.control.Primary, strings.Join(faults, ", "))
}

// startAttemptIfNeeded starts an attempt if the last one failed, the group has had no primary yet, the primary has failed, or
// a planned switchover is due.
func (g *Group) startAttemptIfNeeded() {
	if g.now < g.nextAttempt {
		return
	}
	c := g.control
	switch {
	case c.Attempt > c.Term:
		cause := fmt.Sprintf("term %d ended without a promotion", c.Attempt)
		if g.cause != "" {
			cause += "; first cause: " + g.cause
		}
		g.startAttempt(&attempt{cause: cause})
	case c.Term == 0:
		g.bootstrap()
	default:
		if cause := g.primaryFailure(); cause != "" {
			g.cause = cause
			g.startAttempt(&attempt{cause: cause})
			return
		}
		g.startSwitchover()
	}
}

// bootstrap starts the first attempt once all members are announced, or a majority has been for bootstrapGrace.
func (g *Group) bootstrap() {
	n := 0
	for _, m := range g.control.Members {
		if g.isAnnounced(m.Upstream) {
			n++
		}
	}
	if n < g.majority() {
		g.majorityAnnounced = 0
		return
	}
	if g.majorityAnnounced == 0 {
		g.majorityAnnounced = g.now
	}
	if n >= g.memberCount() || g.now.Sub(g.majorityAnnounced) >= bootstrapGrace {
		g.cause = fmt.Sprintf("first primary: %d of %d upstreams are announced", n, g.memberCount())
		g.startAttempt(&attempt{cause: g.cause})
	}
}

// startSwitchover starts a planned switchover if the primary is leaving or its zone is out of service and another member
// can take over.
func (g *Group) startSwitchover() {
	primary, known := g.member(g.control.Primary)
	if !known || g.eligible(primary) {
		return
	}
	reason := "it is leaving"
	if !g.leaving(primary) {
		reason = fmt.Sprintf("availability zone %s is out of service", primary.Zone)
	}
	var target Member
	var best ident.Position
	for _, m := range g.control.Members {
		state, found := g.latestState(m.Upstream)
		follows := found && state.Following && state.Term == g.control.Term
		if m.Upstream == primary.Upstream || !follows || !g.eligible(m) || !g.isAnnounced(m.Upstream) {
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
	g.startAttempt(&attempt{cause: g.cause, planned: true, oldPrimary: primary.Upstream, preferred: target.Upstream})
}
