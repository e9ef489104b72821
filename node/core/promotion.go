package core

import (
	"context"
	"errors"
	"slices"
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
	// orderTimeout bounds one order to the platform, and maxOrders is the number of orders that one promotion may send.
	orderTimeout = time.Second
	maxOrders    = 5
	// proposeTimeout bounds the reservation of a token.
	proposeTimeout = time.Second
)

var (
	promotions        = metrics.NewCounter("tamarack_core_promotions_total")
	promotionFailures = metrics.NewCounter("tamarack_core_promotion_failures_total")
	primariesKept     = metrics.NewCounter("tamarack_core_primaries_kept_total")
)

// promotion is one attempt to replace the primary of a service.
type promotion struct {
	groups   *groups
	group    *group
	decision *takeover.Decision
	// syncReplicas is the number of replicas that must hold a write before it is acknowledged.
	syncReplicas int
	targets      map[ident.Upstream]upstream.Target
	// relay is the peer address of the entry host that got the primary's last answer, or empty.
	relay string
}

// hasAnswered reports whether an upstream answered a request, successfully or with a failure.
func hasAnswered(err error) bool {
	var failure *statement.Failure
	return err == nil || errors.As(err, &failure)
}

// run replaces the primary. Where acknowledged writes are on replicas, no write may be acknowledged between the reading of the
// replicas' positions and the promotion: either the primary has stepped down and a candidate has its whole log, or the replicas are
// paused.
func (p *promotion) run(ctx context.Context) {
	start := steady.Now()
	var before handover
	if p.decision.Planned {
		before = p.stepDownPrimary(ctx)
	}
	if p.decision.Serving && !before.steppedDown {
		primariesKept.Inc()
		klog.InfoS("Primary kept, since it serves hosts and has not stepped down", "service", p.group.service, "primary", p.decision.Primary)
		p.notPromoted()
		return
	}
	statuses := p.statuses(ctx, p.reporting(), statement.AskStatus{})
	if before.caughtUp {
		// A candidate has the whole log, so nothing has to be concluded from the number of positions.
		p.decision.Floor, p.decision.Replicas = before.position, p.syncReplicas
	}
	if before.steppedDown && !before.caughtUp {
		p.keepLog(before.position, statuses)
	}
	successor, ok := p.choose(statuses)
	paused := false
	if ok && p.syncReplicas > 0 && !before.caughtUp {
		statuses, paused = p.pauseReplicas(ctx, newestTerm(statuses)), true
		successor, ok = p.choose(statuses)
	}
	if !ok {
		promotionFailures.Inc()
		klog.InfoS("Promotion not possible", "service", p.group.service, "positions", len(statuses), "candidates", len(p.decision.Candidates),
			"evacuated", len(p.decision.Evacuated), "ending", len(p.decision.Ending),
			"replicas", p.decision.Replicas, "departed", p.decision.Departed, "floor", p.decision.Floor)
		p.notPromoted()
		return
	}
	position := statuses[successor].Received
	err := p.orderPromotion(ctx, successor, position)
	klog.InfoS("Promotion ended", "service", p.group.service, "upstream", successor, "position", position,
		"took", steady.Now().Sub(start), "problem", problem(err))
	if err == nil {
		promotions.Inc()
		p.promoted(successor, position)
		return
	}
	promotionFailures.Inc()
	var open *openOrderError
	if paused && errors.As(err, &open) {
		p.unfinished()
		return
	}
	p.notPromoted()
}

// keepLog excludes the candidates that have no write of the term of a primary that has stepped down at a position, and makes that primary
// a candidate if none remains. The excluded ones are far behind, or are deposed primaries, whose logs the group has dropped; the one that
// follows may not answer, for example since it has no connection left. Where writes wait for replicas, Choose decides how many must answer.
func (p *promotion) keepLog(position ident.Position, statuses map[ident.Upstream]statement.Status) {
	follows := func(id ident.Upstream) bool {
		status, reported := statuses[id]
		// Replicas report the term of their last write, the primary its own: nothing may have been written in that.
		return reported && (status.Received.Term >= position.Term || status.Received.LSN == position.LSN)
	}
	if p.syncReplicas == 0 {
		p.decision.Candidates = slices.DeleteFunc(slices.Clone(p.decision.Candidates), func(id ident.Upstream) bool { return !follows(id) })
	}
	if slices.ContainsFunc(p.decision.Candidates, follows) {
		return
	}
	klog.InfoS("Former primary may lead again, since no other upstream follows it", "service", p.group.service,
		"primary", p.decision.Primary, "position", position)
	p.decision.Candidates = append(p.decision.Candidates, p.decision.Primary)
	p.decision.Complete = p.decision.Primary
	statuses[p.decision.Primary] = statement.Status{Received: position}
}

// choose returns the upstream to promote, or false if there is none.
func (p *promotion) choose(statuses map[ident.Upstream]statement.Status) (ident.Upstream, bool) {
	positions := make(map[ident.Upstream]ident.Position, len(statuses))
	for id, status := range statuses {
		positions[id] = status.Received
	}
	return takeover.Choose(p.decision, positions, p.syncReplicas)
}

// promoted tells the decider that the successor is the primary.
func (p *promotion) promoted(successor ident.Upstream, position ident.Position) {
	p.groups.mu.Lock()
	defer p.groups.mu.Unlock()
	delete(p.group.pauses.upstreams, successor)
	p.group.decider.Promoted(steady.Now(), successor, position)
}

// notPromoted tells the decider that no upstream was promoted.
func (p *promotion) notPromoted() {
	p.groups.mu.Lock()
	defer p.groups.mu.Unlock()
	p.group.decider.NotPromoted(steady.Now())
}

// unfinished tells the decider that the replacement must be completed, since an order may still be executed.
func (p *promotion) unfinished() {
	p.groups.mu.Lock()
	defer p.groups.mu.Unlock()
	p.group.decider.Unfinished(steady.Now())
}

// openOrderError reports a promotion that failed while at least one of its orders may still be executed.
type openOrderError struct{ Cause error }

// Error implements error.
func (e *openOrderError) Error() string { return "an order may still be executed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *openOrderError) Unwrap() error { return e.Cause }

// orderPromotion orders the platform to promote the successor. Each order has its own fencing token, so that an earlier order
// whose answer was lost is not executed after a later one. It returns an openOrderError if an order without an answer was followed by
// none that was executed.
func (p *promotion) orderPromotion(ctx context.Context, successor ident.Upstream, position ident.Position) error {
	var unanswered error
	for range maxOrders {
		token, err := p.reserveToken(ctx, successor, position)
		if err != nil {
			return openOrder(unanswered, err)
		}
		err = p.sendOrder(ctx, successor, token)
		klog.InfoS("Promotion ordered", "service", p.group.service, "upstream", successor, "token", token, "problem", problem(err))
		var refused *takeover.RefusedError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &refused), errors.Is(err, errNotLeader):
			return openOrder(unanswered, err)
		}
		unanswered = err
	}
	return openOrder(unanswered, unanswered)
}

// sendOrder sends one order. It sends none if this host does not lead any more: its process may have been suspended since the token
// was reserved, and a later leader may have sent a higher one.
func (p *promotion) sendOrder(ctx context.Context, successor ident.Upstream, token uint64) error {
	if !p.groups.core.leads() {
		return errNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return p.groups.core.options.Promoter.Promote(ctx, p.group.service, successor, token)
}

// openOrder returns an error as an openOrderError if an earlier order was not answered.
func openOrder(unanswered, err error) error {
	if unanswered == nil {
		return err
	}
	return &openOrderError{err}
}

// reserveToken returns a token that is higher than all earlier ones. The reservation is a proposal to the log, which only a
// leader can make.
func (p *promotion) reserveToken(ctx context.Context, successor ident.Upstream, position ident.Position) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome, err := p.groups.core.propose(ctx, &fleetpb.Change{Kind: &fleetpb.Change_Succession{Succession: &fleetpb.Succession{
		Service: string(p.group.service), Upstream: string(successor), Cause: p.decision.Cause,
		Position: &fleetpb.Position{Term: uint64(position.Term), Lsn: uint64(position.LSN)},
	}}})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return outcome.GetVersion(), nil
}
