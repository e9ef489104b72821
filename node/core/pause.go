package core

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

const (
	// resumeInterval is the interval at which paused replicas are told to continue until they have answered.
	resumeInterval = 400 * time.Millisecond
	// pauseCheckInterval is the interval at which the leader looks for replicas that an earlier leader paused, until each replica has
	// answered once. pauseRecheckInterval is the interval after that, for the pause of an earlier leader that was frozen meanwhile.
	pauseCheckInterval   = 3 * time.Second
	pauseRecheckInterval = 30 * time.Second
)

// pauses are the paused replicas of one service, and when the leader cares for them.
type pauses struct {
	// upstreams must be told to continue once no replacement runs; resuming is set while they are, and resumeAt is when they are told
	// again.
	upstreams map[ident.Upstream]bool
	resuming  bool
	resumeAt  ident.Time
	// checking is set while checkPaused runs, and checkAt is the earliest time of its next run. Until recheckAt it runs only if more
	// than checked replicas are listed, the number that answered last time.
	checking  bool
	checkAt   ident.Time
	checked   int
	recheckAt ident.Time
}

// errLeadershipEnded reports a request that only a leader may send.
var errLeadershipEnded = errors.New("this host is no longer the leader")

// requestStatus sends a request that an upstream answers with its status. Only a leader sends one that changes the upstream: upstreams
// don't know who leads, and the request of an earlier leader would undo what the next one has ordered.
func (g *groups) requestStatus(ctx context.Context, target upstream.Target, request statement.Request) (statement.Status, error) {
	check := func() error {
		if _, asks := request.(statement.AskStatus); !asks && !g.core.leads() {
			return errLeadershipEnded
		}
		return nil
	}
	if err := check(); err != nil {
		return statement.Status{}, err
	}
	pool := upstream.NewPool(target, g.core.options.Protocol, 1)
	defer pool.Close()
	return pool.Status(ctx, request, check)
}

// reporting returns the upstreams whose positions count: the candidates and, where writes wait for replicas, the other ones.
func (p *promotion) reporting() []ident.Upstream {
	if p.syncReplicas == 0 {
		return p.decision.Candidates
	}
	return slices.Concat(p.decision.Candidates, p.decision.Evacuated, p.decision.Ending)
}

// statuses sends a status request to upstreams and returns the answers.
func (p *promotion) statuses(
	ctx context.Context, upstreams []ident.Upstream, request statement.Request,
) map[ident.Upstream]statement.Status {
	targets := map[ident.Upstream]upstream.Target{}
	for _, id := range upstreams {
		if target, known := p.targets[id]; known {
			targets[id] = target
		}
	}
	return p.groups.requestStatuses(ctx, targets, request)
}

// requestStatuses sends a status request to upstreams at the same time and returns the answers.
func (g *groups) requestStatuses(
	ctx context.Context, targets map[ident.Upstream]upstream.Target, request statement.Request,
) map[ident.Upstream]statement.Status {
	var mu sync.Mutex
	var wait sync.WaitGroup
	statuses := map[ident.Upstream]statement.Status{}
	for id, target := range targets {
		wait.Go(func() {
			status, err := g.requestStatus(ctx, target, request)
			if err != nil {
				klog.InfoS("Upstream did not report its position", "service", target.Service, "upstream", id, "reason", problem(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = status
		})
	}
	wait.Wait()
	return statuses
}

// newestTerm returns the highest term that upstreams reported.
func newestTerm(statuses map[ident.Upstream]statement.Status) ident.Term {
	var newest ident.Term
	for _, status := range statuses {
		newest = max(newest, status.Term, status.Received.Term)
	}
	return newest
}

// pauseReplicas stops the reporting upstreams from receiving the primary's log and returns the statuses of those that have stopped. A write that
// waits for a replica can't be acknowledged any more once so many are paused that takeover.Choose accepts their positions.
func (p *promotion) pauseReplicas(ctx context.Context, newest ident.Term) map[ident.Upstream]statement.Status {
	term := newest + 1
	p.groups.mu.Lock()
	for _, id := range p.reporting() {
		// Recorded first, since a replica whose answer is lost may be paused too.
		p.group.pauses.upstreams[id] = true
	}
	p.groups.mu.Unlock()
	statuses := p.statuses(ctx, p.reporting(), statement.Pause{Term: term})
	maps.DeleteFunc(statuses, func(_ ident.Upstream, status statement.Status) bool { return status.PausedTerm < term })
	klog.InfoS("Replicas paused for a promotion", "service", p.group.service, "term", term, "paused", len(statuses),
		"asked", len(p.reporting()))
	return statuses
}

// resumeReplicas starts to let paused replicas continue when no replacement runs. The caller holds the lock.
func (g *groups) resumeReplicas(ctx context.Context, now ident.Time, grp *group, targets map[ident.Upstream]upstream.Target) {
	if len(grp.pauses.upstreams) == 0 || grp.pauses.resuming || now < grp.pauses.resumeAt {
		return
	}
	asked := map[ident.Upstream]upstream.Target{}
	for id := range grp.pauses.upstreams {
		target, known := targets[id]
		if !known {
			// A replica that left the directory has ended or must be listed again, which checkPaused notices.
			delete(grp.pauses.upstreams, id)
			continue
		}
		asked[id] = target
	}
	grp.pauses.resuming, grp.pauses.resumeAt = true, now.Add(resumeInterval)
	go func() {
		statuses := g.requestStatuses(ctx, asked, statement.Continue{})
		klog.InfoS("Replicas continue", "service", grp.service, "answered", len(statuses), "asked", len(asked))
		g.mu.Lock()
		defer g.mu.Unlock()
		grp.pauses.resuming = false
		for id := range statuses {
			delete(grp.pauses.upstreams, id)
		}
	}()
}

// checkPaused starts a search for replicas that a leader paused which could not complete its replacement. The replacement is then
// completed, since an order of that leader may still be executed. The caller holds the lock.
func (g *groups) checkPaused(ctx context.Context, now ident.Time, grp *group, targets map[ident.Upstream]upstream.Target) {
	if grp.pauses.checking || now < grp.pauses.checkAt || len(grp.pauses.upstreams) > 0 {
		return
	}
	asked := maps.Clone(targets)
	maps.DeleteFunc(asked, func(id ident.Upstream, target upstream.Target) bool {
		return target.Service != grp.service || id == grp.decider.Primary()
	})
	if len(asked) <= grp.pauses.checked && now < grp.pauses.recheckAt {
		return
	}
	grp.pauses.checking, grp.pauses.checkAt = true, now.Add(pauseCheckInterval)
	go func() {
		statuses := g.requestStatuses(ctx, asked, statement.AskStatus{})
		g.mu.Lock()
		defer g.mu.Unlock()
		grp.pauses.checking = false
		if len(statuses) == len(asked) {
			grp.pauses.checked, grp.pauses.recheckAt = len(asked), now.Add(pauseRecheckInterval)
		}
		if grp.promoting || len(grp.pauses.upstreams) > 0 {
			return
		}
		newest := newestTerm(statuses)
		for id, status := range statuses {
			if status.PausedTerm > newest {
				klog.InfoS("Replica paused by an unfinished replacement", "service", grp.service, "upstream", id, "term", status.PausedTerm)
				grp.pauses.upstreams[id] = true
				grp.decider.Unfinished(steady.Now())
			}
		}
	}()
}
