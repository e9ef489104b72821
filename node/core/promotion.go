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
	// statusTimeout bounds a status request to an upstream, including the retries while the upstream is busy.
	statusTimeout = 900 * time.Millisecond
	// statusRetryDelay is the delay between these retries.
	statusRetryDelay = 40 * time.Millisecond
	// catchUpTimeout is how long a planned promotion waits for a replica to receive the whole log of the old primary.
	catchUpTimeout = 1500 * time.Millisecond
	// orderTimeout bounds one order to the platform, and maxOrders is the number of orders that one promotion may send.
	orderTimeout = time.Second
	maxOrders    = 5
	// proposeTimeout bounds the reservation of a token.
	proposeTimeout = time.Second
)

var (
	promotions        = metrics.NewCounter("tamarack_core_promotions_total")
	promotionFailures = metrics.NewCounter("tamarack_core_promotion_failures_total")
)

// promotion is one attempt to replace the primary of a service.
type promotion struct {
	groups   *groups
	group    *group
	decision *takeover.Decision
	// syncReplicas is the number of replicas that must hold a write before it is acknowledged.
	syncReplicas int
	targets      map[ident.Upstream]upstream.Target
}

// hasAnswered reports whether an upstream answered a request, successfully or with a failure.
func hasAnswered(err error) bool {
	var failure *statement.Failure
	return err == nil || errors.As(err, &failure)
}

func (p *promotion) run(ctx context.Context) {
	start := steady.Now()
	if p.decision.Planned {
		p.stepDownPrimary(ctx)
	}
	positions := p.positions(ctx)
	successor, ok := takeover.Choose(p.decision, positions, p.syncReplicas)
	if !ok {
		promotionFailures.Inc()
		klog.InfoS("Promotion not possible", "service", p.group.service, "positions", len(positions), "candidates", len(p.decision.Candidates))
		p.finish("")
		return
	}
	err := p.orderPromotion(ctx, successor)
	klog.InfoS("Promotion ended", "service", p.group.service, "upstream", successor, "position", positions[successor],
		"took", steady.Now().Sub(start), "problem", problem(err))
	if err != nil {
		promotionFailures.Inc()
		p.finish("")
		return
	}
	promotions.Inc()
	p.finish(successor)
}

// finish reports to the decider which upstream was promoted, or that none was.
func (p *promotion) finish(successor ident.Upstream) {
	p.groups.mu.Lock()
	defer p.groups.mu.Unlock()
	if successor == "" {
		p.group.decider.NotPromoted(steady.Now())
		return
	}
	p.group.decider.Promoted(steady.Now(), successor)
}

// orderPromotion orders the platform to promote the successor. Each order has its own fencing token, so that an earlier order
// whose answer was lost is not executed after a later one.
func (p *promotion) orderPromotion(ctx context.Context, successor ident.Upstream) error {
	core := p.groups.core
	var lastErr error
	for range maxOrders {
		token, err := p.reserveToken(ctx, successor)
		if err != nil {
			return err
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		lastErr = core.options.Promoter.Promote(callCtx, p.group.service, successor, token)
		cancel()
		klog.InfoS("Promotion ordered", "service", p.group.service, "upstream", successor, "token", token, "problem", problem(lastErr))
		var refused *takeover.RefusedError
		if lastErr == nil || errors.As(lastErr, &refused) {
			return lastErr
		}
	}
	return lastErr
}

// reserveToken returns a token that is higher than all earlier ones. The reservation is a proposal to the log, which only a
// leader can make.
func (p *promotion) reserveToken(ctx context.Context, successor ident.Upstream) (uint64, error) {
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

// stepDownPrimary turns a primary that is to be replaced into a replica and waits until a candidate has received its whole log,
// so that the promotion loses nothing.
func (p *promotion) stepDownPrimary(ctx context.Context) {
	target, found := p.targets[p.decision.Primary]
	if !found {
		return
	}
	before, err := p.requestStatus(ctx, target, statement.AskStatus{})
	if err != nil {
		klog.InfoS("Primary status unknown before its replacement", "service", p.group.service, "reason", problem(err))
		return
	}
	after, err := p.requestStatus(ctx, target, statement.StepDown{Term: before.Term + 1})
	if err != nil {
		klog.InfoS("Primary did not step down", "service", p.group.service, "reason", problem(err))
		return
	}
	end := steady.Now().Add(catchUpTimeout)
	for steady.Now() < end && ctx.Err() == nil {
		for _, position := range p.positions(ctx) {
			if !position.Less(after.Received) {
				return
			}
		}
	}
	klog.InfoS("No replica caught up with the old primary", "service", p.group.service, "position", after.Received)
}

// positions asks the candidates for the last positions of their logs.
func (p *promotion) positions(ctx context.Context) map[ident.Upstream]ident.Position {
	var mu sync.Mutex
	var wait sync.WaitGroup
	received := map[ident.Upstream]ident.Position{}
	for _, candidate := range p.decision.Candidates {
		target, known := p.targets[candidate]
		if !known {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			status, err := p.requestStatus(ctx, target, statement.AskStatus{})
			if err != nil {
				klog.InfoS("Candidate did not report its position", "service", p.group.service, "upstream", candidate, "reason", problem(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			received[candidate] = status.Received
		}()
	}
	wait.Wait()
	return received
}

// requestStatus sends a request that an upstream answers with its status, and repeats it while the upstream is busy.
func (p *promotion) requestStatus(ctx context.Context, target upstream.Target, request statement.Request) (statement.Status, error) {
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
		if !errors.As(err, &refused) || refused.Code != statement.CodeBusy || steady.Wait(ctx, statusRetryDelay) != nil {
			return status, err
		}
	}
}
