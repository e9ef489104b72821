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

// groups follows the services' primaries on the leader.
type groups struct {
	core *Core

	mu   sync.Mutex
	list map[ident.Service]*group
}

// group is one service as the leader sees it.
type group struct {
	service ident.Service
	decider *takeover.Decider
	// promoting and probing are set while a promotion or a question to the primary is under way.
	promoting, probing bool
	pool               *upstream.Pool
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

// report takes what an entry host has seen of primaries.
func (g *groups) report(now ident.Time, reports []*fleetpb.PrimaryReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range reports {
		group := g.list[ident.Service(r.GetService())]
		if group == nil || r.AnsweredMs == nil {
			continue
		}
		group.decider.Answered(ident.Upstream(r.GetUpstream()), now.Add(-time.Duration(r.GetAnsweredMs())*time.Millisecond))
	}
}

// tick brings the groups up to date and starts what is due.
func (g *groups) tick(ctx context.Context, leads bool) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !leads {
		// A promotion that is under way ends at its next step, which asks the log.
		g.list = map[ident.Service]*group{}
		return
	}
	parsed := g.core.state.parsed()
	if parsed == nil {
		return
	}
	evacuated := g.core.state.evacuated()
	members := map[ident.Service][]takeover.Member{}
	targets := map[ident.Upstream]upstream.Target{}
	for _, a := range g.core.directory.List(now) {
		service := ident.Service(a.GetService())
		members[service] = append(members[service], takeover.Member{
			Upstream:      ident.Upstream(a.GetUpstream()),
			Primary:       a.GetPrimary(),
			Leaving:       a.GetLeaving() || slices.Contains(evacuated, a.GetZone()),
			LastAnnounced: now.Add(-time.Duration(a.GetAgeMs()) * time.Millisecond),
		})
		targets[ident.Upstream(a.GetUpstream())] = upstream.Target{
			Service: service, Upstream: ident.Upstream(a.GetUpstream()), Address: a.GetAddress(), Zone: ident.Zone(a.GetZone()), Born: a.GetBorn(),
		}
	}
	for i := range parsed.Services {
		service := parsed.Services[i].Name
		one := g.list[service]
		if one == nil {
			one = &group{service: service, decider: takeover.New(now, g.core.state.successor(service))}
			g.list[service] = one
		}
		one.decider.SetMembers(now, members[service])
		g.act(ctx, now, one, targets, parsed.Services[i].Synced)
	}
}

// act asks the primary for an answer, and starts a promotion when one is due; the caller holds the lock.
func (g *groups) act(ctx context.Context, now ident.Time, one *group, targets map[ident.Upstream]upstream.Target, synced int) {
	if target, found := targets[one.decider.Primary()]; found && !one.probing && !one.promoting && one.decider.ProbeDue(now) {
		if one.pool == nil || one.pool.Target() != target {
			if one.pool != nil {
				one.pool.Close()
			}
			one.pool = upstream.NewPool(target, g.core.options.Protocol, 1)
		}
		one.probing = true
		go g.probe(ctx, one, one.pool)
	}
	if one.promoting {
		return
	}
	decision := one.decider.Decide(now)
	if decision == nil {
		return
	}
	one.promoting = true
	klog.InfoS("Promotion due", "service", one.service, "primary", one.decider.Primary(), "cause", decision.Cause, "planned", decision.Planned)
	p := &promotion{groups: g, group: one, decision: decision, synced: synced, targets: targets}
	go func() {
		p.run(ctx)
		g.mu.Lock()
		one.promoting = false
		g.mu.Unlock()
	}()
}

// probe asks the primary to open a transaction, which needs no room on it.
func (g *groups) probe(ctx context.Context, one *group, pool *upstream.Pool) {
	ctx, cancel := context.WithTimeout(ctx, takeover.ProbeTimeout)
	defer cancel()
	asked := steady.Now()
	_, err := pool.Executor("", 0).Execute(ctx, upstream.Use{Opening: upstream.OpenPrimary})
	g.mu.Lock()
	defer g.mu.Unlock()
	one.probing = false
	if answered(err) {
		one.decider.Answered(pool.Target().Upstream, asked)
		return
	}
	one.decider.Failed(pool.Target().Upstream, asked)
}
