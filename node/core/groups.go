package core

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/fleet/takeover"
	"tamarackshunt.dev/node/upstream"
)

// groups tracks the primary of each service on the leader.
type groups struct {
	core *Core

	mu   sync.Mutex
	list map[ident.Service]*group
	// leadership ends with the leadership, and with it what this host does for the groups. It is nil while this host is not the leader.
	leadership    context.Context
	endLeadership context.CancelFunc
}

// group is the leader's record of one service.
type group struct {
	service ident.Service
	decider *takeover.Decider
	// promoting and probing are set while a promotion or a probe of the primary is running.
	promoting, probing bool
	// pool holds the connection for probes of the primary; it is nil before the first probe.
	pool *upstream.Pool
	// relay is the entry host that reported an answer of the primary last, by its peer address.
	relay string
	// pauses are the replicas of the service that are paused.
	pauses pauses
}

func newGroup(service ident.Service, decider *takeover.Decider) *group {
	return &group{service: service, decider: decider, pauses: pauses{upstreams: map[ident.Upstream]bool{}}}
}

func newGroups(core *Core) *groups {
	return &groups{core: core, list: map[ident.Service]*group{}}
}

// primaries returns the primary of each service.
func (g *groups) primaries() []*fleetpb.PrimaryView {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*fleetpb.PrimaryView, 0, len(g.list))
	for service, group := range g.list {
		if primary := group.decider.Primary(); primary != "" {
			list = append(list, &fleetpb.PrimaryView{Service: string(service), Upstream: string(primary)})
		}
	}
	slices.SortFunc(list, func(x, y *fleetpb.PrimaryView) int { return cmp.Compare(x.GetService(), y.GetService()) })
	return list
}

// report records the reports about primaries of the entry host with a peer address.
func (g *groups) report(now ident.Time, peer string, reports []*fleetpb.PrimaryReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range reports {
		group := g.list[ident.Service(r.GetService())]
		if group == nil || r.AnsweredMs == nil {
			continue
		}
		if group.decider.Answered(ident.Upstream(r.GetUpstream()), now.Add(-time.Duration(r.GetAnsweredMs())*time.Millisecond)) {
			group.relay = peer
		}
	}
}

// tick updates the groups and starts the probes and promotions that are due. A host that is not the leader has no groups.
func (g *groups) tick(ctx context.Context, leads bool) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !leads {
		g.list = map[ident.Service]*group{}
		if g.leadership != nil {
			g.endLeadership()
			g.leadership = nil
		}
		return
	}
	if g.leadership == nil {
		g.leadership, g.endLeadership = context.WithCancel(ctx)
	}
	parsed := g.core.state.parsed()
	if parsed == nil {
		return
	}
	evacuated := g.core.state.evacuated()
	members := map[ident.Service][]takeover.Member{}
	targets := map[ident.Upstream]upstream.Target{}
	unconfirmed, successors := g.core.directory.Unconfirmed(), g.core.directory.Successors()
	for _, a := range g.core.directory.List(now) {
		service := ident.Service(a.GetService())
		members[service] = append(members[service], takeover.Member{
			Upstream:      ident.Upstream(a.GetUpstream()),
			Primary:       a.GetPrimary(),
			Leaving:       a.GetLeaving() || slices.Contains(evacuated, a.GetZone()),
			Ending:        a.GetLeaving(),
			Restored:      unconfirmed[ident.Upstream(a.GetUpstream())],
			LastAnnounced: now.Add(-time.Duration(a.GetAgeMs()) * time.Millisecond),
			Born:          a.GetBorn(),
			Succeeds:      successors[ident.Upstream(a.GetUpstream())],
		})
		targets[ident.Upstream(a.GetUpstream())] = upstream.Target{
			Service: service, Upstream: ident.Upstream(a.GetUpstream()), Address: a.GetAddress(), Zone: ident.Zone(a.GetZone()), Born: a.GetBorn(),
		}
	}
	departures := map[ident.Service][]takeover.Departure{}
	for _, left := range g.core.directory.Departures(now) {
		departures[left.Service] = append(departures[left.Service],
			takeover.Departure{Upstream: left.Upstream, Primary: left.Primary, At: left.At})
	}
	for i := range parsed.Services {
		service := parsed.Services[i].Name
		grp := g.list[service]
		if grp == nil {
			latest := g.core.state.succession(service)
			grp = newGroup(service, takeover.New(now, ident.Upstream(latest.GetUpstream()), positionFromProto(latest.GetPosition())))
			g.list[service] = grp
		}
		grp.decider.SetMembers(now, members[service])
		grp.decider.SetDepartures(departures[service])
		g.probeOrPromote(g.leadership, now, grp, targets, parsed.Services[i].SyncReplicas)
	}
}

// probeOrPromote starts a probe of the primary or a promotion when one is due. The caller holds the lock.
func (g *groups) probeOrPromote(ctx context.Context, now ident.Time, grp *group, targets map[ident.Upstream]upstream.Target, syncReplicas int) {
	if target, found := targets[grp.decider.Primary()]; found && !grp.probing && !grp.promoting && grp.decider.ProbeDue(now) {
		if grp.pool == nil || grp.pool.Target() != target {
			if grp.pool != nil {
				grp.pool.Close()
			}
			grp.pool = upstream.NewPool(target, g.core.options.Protocol, 1)
		}
		grp.probing = true
		go g.probe(ctx, grp, grp.pool)
	}
	if grp.promoting || grp.pauses.resuming {
		// A replica that is told to continue must not be paused meanwhile: the two requests could arrive in either order.
		return
	}
	decision := grp.decider.Decide(now)
	if decision == nil {
		if !grp.decider.IsUnfinished() {
			g.resumeReplicas(ctx, now, grp, targets)
		}
		if syncReplicas > 0 {
			g.checkPaused(ctx, now, grp, targets)
			if grp.decider.FloorDue(now) {
				go g.readFloor(ctx, &promotion{
					groups: g, group: grp, decision: &takeover.Decision{Primary: grp.decider.Primary()}, targets: targets, relay: grp.relay,
				})
			}
		}
		return
	}
	grp.promoting = true
	klog.InfoS("Promotion due", "service", grp.service, "primary", grp.decider.Primary(), "cause", decision.Cause, "planned", decision.Planned)
	p := &promotion{groups: g, group: grp, decision: decision, syncReplicas: syncReplicas, targets: targets, relay: grp.relay}
	go func() {
		p.run(ctx)
		g.mu.Lock()
		grp.promoting = false
		g.mu.Unlock()
	}()
}

// probe checks whether the primary answers a request to open a transaction. Opening one takes none of the slots in which an
// upstream runs statements.
func (g *groups) probe(ctx context.Context, grp *group, pool *upstream.Pool) {
	ctx, cancel := context.WithTimeout(ctx, takeover.ProbeTimeout)
	defer cancel()
	sentAt := steady.Now()
	_, err := pool.Executor("", 0).Execute(ctx, upstream.Use{Opening: upstream.OpenPrimary})
	g.mu.Lock()
	defer g.mu.Unlock()
	grp.probing = false
	if hasAnswered(err) {
		grp.decider.Answered(pool.Target().Upstream, sentAt)
		return
	}
	grp.decider.Failed(pool.Target().Upstream, sentAt)
}
