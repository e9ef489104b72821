package core

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/fleet/takeover"
	"tamarackshunt.dev/node/upstream"
)

const (
	// statusTimeout bounds the question for an upstream's position, tries of a busy upstream included.
	statusTimeout = 900 * time.Millisecond
	// statusPause is the time between tries.
	statusPause = 40 * time.Millisecond
	// catchUpTime is how long a planned promotion waits for a replica to hold all that the old primary held.
	catchUpTime = 1500 * time.Millisecond
	// orderTimeout bounds an order to the platform, orderTries the orders of one promotion.
	orderTimeout = time.Second
	orderTries   = 5
	// proposeTimeout bounds the reservation of a token.
	proposeTimeout = time.Second
)

var (
	promotions     = metrics.NewCounter("tamarack_core_promotions_total")
	promotionFails = metrics.NewCounter("tamarack_core_promotion_failures_total")
)

// promotion is one attempt to give a service another primary.
type promotion struct {
	groups   *groups
	group    *group
	decision *takeover.Decision
	synced   int
	targets  map[ident.Upstream]upstream.Target
}

// answered reports whether an upstream has given an answer of any kind.
func answered(err error) bool {
	var failure *statement.Failure
	return err == nil || errors.As(err, &failure)
}

func (p *promotion) run(ctx context.Context) {
	start := steady.Now()
	if p.decision.Planned {
		p.stepDown(ctx)
	}
	positions := p.positions(ctx)
	successor, ok := takeover.Choose(p.decision, positions, p.synced)
	if !ok {
		promotionFails.Inc()
		klog.InfoS("Promotion not possible", "service", p.group.service, "positions", len(positions), "candidates", len(p.decision.Candidates))
		p.finish("")
		return
	}
	err := p.order(ctx, successor)
	klog.InfoS("Promotion ended", "service", p.group.service, "upstream", successor, "position", positions[successor],
		"took", steady.Now().Sub(start), "problem", problem(err))
	if err != nil {
		promotionFails.Inc()
		p.finish("")
		return
	}
	promotions.Inc()
	p.finish(successor)
}

// finish tells the decider which upstream was promoted, or that none was.
func (p *promotion) finish(successor ident.Upstream) {
	p.groups.mu.Lock()
	defer p.groups.mu.Unlock()
	if successor == "" {
		p.group.decider.NotPromoted(steady.Now())
		return
	}
	p.group.decider.Promoted(steady.Now(), successor)
}

// order has the platform promote the successor. Each order has a token of its own, so that an earlier one whose answer was
// lost is not carried out after it.
func (p *promotion) order(ctx context.Context, successor ident.Upstream) error {
	core := p.groups.core
	var last error
	for range orderTries {
		token, err := p.reserve(ctx, successor)
		if err != nil {
			return err
		}
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		last = core.options.Promoter.Promote(call, p.group.service, successor, token)
		cancel()
		klog.InfoS("Promotion ordered", "service", p.group.service, "upstream", successor, "token", token, "problem", problem(last))
		var refused *takeover.RefusedError
		if last == nil || errors.As(last, &refused) {
			return last
		}
	}
	return last
}

// reserve returns a token that is higher than all before, which only a leader gets.
func (p *promotion) reserve(ctx context.Context, successor ident.Upstream) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome, err := p.groups.core.propose(ctx, &fleetpb.Change{Kind: &fleetpb.Change_Succession{Succession: &fleetpb.Succession{
		Service: string(p.group.service), Upstream: string(successor), Cause: p.decision.Cause,
	}}})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return outcome.GetVersion(), nil
}

// stepDown makes a primary that is to be replaced a replica and waits until a candidate holds all of its log, so that nothing
// is lost by the promotion.
func (p *promotion) stepDown(ctx context.Context) {
	target, found := p.targets[p.decision.Primary]
	if !found {
		return
	}
	before, err := p.status(ctx, target, statement.AskStatus{})
	if err != nil {
		klog.InfoS("Primary not asked before its replacement", "service", p.group.service, "reason", problem(err))
		return
	}
	after, err := p.status(ctx, target, statement.StepDown{Term: before.Term + 1})
	if err != nil {
		klog.InfoS("Primary did not step down", "service", p.group.service, "reason", problem(err))
		return
	}
	end := steady.Now().Add(catchUpTime)
	for steady.Now() < end && ctx.Err() == nil {
		for _, position := range p.positions(ctx) {
			if !position.Less(after.Received) {
				return
			}
		}
	}
	klog.InfoS("No replica caught up with the old primary", "service", p.group.service, "position", after.Received)
}

// positions asks the candidates for the ends of their logs.
func (p *promotion) positions(ctx context.Context) map[ident.Upstream]ident.Position {
	var mu sync.Mutex
	var wait sync.WaitGroup
	found := map[ident.Upstream]ident.Position{}
	for _, candidate := range p.decision.Candidates {
		target, known := p.targets[candidate]
		if !known {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			status, err := p.status(ctx, target, statement.AskStatus{})
			if err != nil {
				klog.InfoS("Candidate did not tell its position", "service", p.group.service, "upstream", candidate, "reason", problem(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found[candidate] = status.Received
		}()
	}
	wait.Wait()
	return found
}

// status runs a request that is answered with an upstream's status, again while the upstream has no room.
func (p *promotion) status(ctx context.Context, target upstream.Target, request statement.Request) (statement.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	pool := upstream.NewPool(target, p.groups.core.options.Protocol, 1)
	defer pool.Close()
	conn, err := pool.Get(ctx, "", 0)
	if err != nil {
		return statement.Status{}, err
	}
	defer conn.Release()
	for {
		status, err := conn.Status(request, statusTimeout)
		var refused *statement.Failure
		if !errors.As(err, &refused) || refused.Code != statement.CodeBusy || steady.Wait(ctx, statusPause) != nil {
			return status, err
		}
	}
}
