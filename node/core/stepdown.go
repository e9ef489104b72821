package core

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

const (
	// catchUpTimeout is how long a planned promotion waits for a replica to receive the whole log of the old primary.
	catchUpTimeout = 1500 * time.Millisecond
	// relayTimeout bounds a request to an upstream through an entry host. It exceeds the time that the host gives the upstream.
	relayTimeout = 1200 * time.Millisecond
)

// handover is how far a primary that is to be replaced has handed over its role.
type handover struct {
	// steppedDown is set when the primary acknowledges no further writes.
	steppedDown bool
	// caughtUp is set when a candidate also has its whole log.
	caughtUp bool
	// position is the position of the primary after it has stepped down.
	position ident.Position
}

// stepDownPrimary turns a primary that is to be replaced into a replica and waits until a candidate has received its whole log,
// so that the promotion loses nothing.
func (p *promotion) stepDownPrimary(ctx context.Context) handover {
	target, found := p.targets[p.decision.Primary]
	if !found {
		return handover{}
	}
	status, err := p.requestPrimary(ctx, target, 0)
	if err != nil {
		klog.InfoS("Primary status unknown before its replacement", "service", p.group.service, "reason", problem(err))
		return handover{}
	}
	if status.Primary {
		if status, err = p.requestPrimary(ctx, target, status.Term+1); err != nil {
			klog.InfoS("Primary did not step down", "service", p.group.service, "reason", problem(err))
			return handover{}
		}
	}
	klog.InfoS("Primary stepped down", "service", p.group.service, "primary", p.decision.Primary, "position", status.Received)
	end := steady.Now().Add(catchUpTimeout)
	for steady.Now() < end && ctx.Err() == nil {
		for _, candidate := range p.statuses(ctx, p.decision.Candidates, statement.AskStatus{}) {
			if !candidate.Received.Less(status.Received) {
				return handover{steppedDown: true, caughtUp: true, position: status.Received}
			}
		}
	}
	klog.InfoS("No replica caught up with the old primary", "service", p.group.service, "position", status.Received)
	return handover{steppedDown: true, position: status.Received}
}

// requestPrimary returns the status of the primary, after it has stepped down if a term is given. If the core does not reach the
// primary, the entry host that got its last answer sends the request. A serving primary is asked through that host first, since the
// core is unlikely to reach it.
func (p *promotion) requestPrimary(ctx context.Context, target upstream.Target, stepDown ident.Term) (statement.Status, error) {
	direct := func() (statement.Status, error) {
		var request statement.Request = statement.AskStatus{}
		if stepDown != 0 {
			request = statement.StepDown{Term: stepDown}
		}
		return p.groups.requestStatus(ctx, target, request)
	}
	relayed := func() (statement.Status, error) { return p.requestThroughRelay(ctx, target, stepDown) }
	first, second := direct, relayed
	if p.decision.Serving {
		first, second = relayed, direct
	}
	status, err := first()
	if err == nil {
		return status, nil
	}
	klog.InfoS("Primary not reached, trying another way", "service", target.Service, "primary", target.Upstream, "reason", problem(err))
	return second()
}

// errNoRelay is the cause when no entry host has reported an answer of the primary.
var errNoRelay = errors.New("no entry host has reported an answer of the primary")

func (p *promotion) requestThroughRelay(ctx context.Context, target upstream.Target, stepDown ident.Term) (statement.Status, error) {
	if p.relay == "" {
		return statement.Status{}, errNoRelay
	}
	// Read before the leadership is checked: this process may be suspended after either.
	until := steady.Now().Add(relayTimeout)
	if stepDown != 0 && !p.groups.core.leads() {
		return statement.Status{}, errLeadershipEnded
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	core := p.groups.core
	host := fleetpb.NewGatewayProtobufClient(core.options.Peers.URL(p.relay), core.client)
	response, err := expiry.Call(ctx, core.readings, p.relay, until, func(deadline *fleetpb.Deadline) (*fleetpb.StatusOfResponse, error) {
		return host.StatusOf(ctx, &fleetpb.StatusOfRequest{
			Service: string(target.Service), Upstream: string(target.Upstream), StepDownTerm: uint64(stepDown), Deadline: deadline,
		})
	})
	if err != nil {
		return statement.Status{}, err
	}
	return statement.Status{
		Primary: response.GetPrimary(), Term: ident.Term(response.GetTerm()),
		Received: positionFromProto(response.GetReceived()),
	}, nil
}

// readFloor reads the position of the primary, of which a later promotion may not lose anything.
func (g *groups) readFloor(ctx context.Context, p *promotion) {
	target, found := p.targets[p.decision.Primary]
	if !found {
		return
	}
	asOf := steady.Now()
	status, err := p.requestPrimary(ctx, target, 0)
	klog.InfoS("Position of the primary read", "service", p.group.service, "upstream", p.decision.Primary, "primary", status.Primary,
		"position", status.Received, "problem", problem(err))
	if err != nil || !status.Primary {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p.group.decider.SetFloor(asOf, p.decision.Primary, status.Received)
}

func positionFromProto(p *fleetpb.Position) ident.Position {
	return ident.Position{Term: ident.Term(p.GetTerm()), LSN: ident.LSN(p.GetLsn())}
}
