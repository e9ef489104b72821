package entry

import (
	"cmp"
	"context"
	"errors"
	"strings"
	"time"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

// A route's Objective divided by quotaWaitDivisor is the longest wait for a token of a team that is above its rate. While no
// owner of tokens lends, which is temporary, as during an election of the core, an operation may wait for the whole
// Objective.
const quotaWaitDivisor = 4

// operation holds the route and team that apply to a single statement or a whole transaction.
type operation struct {
	id string
	// began is when its first request was read.
	began ident.Time
	route *catalog.Route
	// team may be nil on public routes.
	team *catalog.Team
	// receipt identifies the spent token of the team.
	receipt limit.Receipt
	// permit is the key and team that must still belong together when a statement is sent. ctx ends when they don't; stop must be called at
	// the end of the operation.
	permit catalog.Permit
	ctx    context.Context
	stop   context.CancelFunc
}

// priority orders waiting operations; 0 goes first.
func (o *operation) priority() int {
	return o.route.Priority
}

// lost reports whether the key of the operation no longer belongs to its team.
func (o *operation) lost() bool {
	return o.ctx.Err() != nil
}

// within returns the time in which a first statement of the operation should end to meet the objective of its route. After the
// objective, the operation is late and has the rest of the timeout.
func (o *operation) within() (left time.Duration, late bool) {
	end := o.began.Add(min(o.route.Objective, o.route.Timeout))
	left = end.Sub(steady.Now())
	if left < time.Millisecond {
		return 0, true
	}
	return left, false
}

// requestContext returns a context that ends after the route's timeout, or with the operation's permit.
func (o *operation) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(o.ctx, o.route.Timeout)
}

// authorize returns the route and the team of the session under the current configuration.
func (s *session) authorize() (*operation, *statement.Failure) {
	c := s.server.options.Table.Catalog()
	if c == nil {
		return nil, &statement.Failure{Code: statement.CodeBusy, Text: "this host has no configuration yet"}
	}
	route := c.Route(s.start.Database)
	if route == nil {
		return nil, &statement.Failure{Code: statement.CodeNoDatabase, Text: "no route has this name"}
	}
	team := c.TeamOf(s.start.Key)
	if team == nil && !route.Public {
		return nil, &statement.Failure{Code: statement.CodeDenied, Text: "no team holds this key"}
	}
	o := &operation{route: route, team: team, permit: catalog.Permit{Team: team.ID()}}
	if !route.Public {
		o.permit.Key = s.key
	}
	return o, nil
}

// begin authorizes an operation and spends a token of its team. The operation's stop must be called at its end.
func (s *session) begin(id string) (*operation, *statement.Failure) {
	o, failure := s.authorize()
	if failure != nil {
		return nil, failure
	}
	// An open transaction keeps its id for the log only.
	o.id, o.began, s.sent = strings.Clone(shortened(id)), s.began, false
	o.ctx, o.stop = s.access().Watch(context.Background(), o.permit, 0)
	if failure := s.takeToken(o); failure != nil {
		o.stop()
		return nil, failure
	}
	return o, nil
}

// takeToken spends a token of an operation's team.
func (s *session) takeToken(o *operation) *statement.Failure {
	if o.team == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.route.Objective)
	defer cancel()
	request := limit.Request{
		Team: o.team.Name, Priority: o.priority(), MaxWait: o.route.Objective / quotaWaitDivisor, Receipt: &o.receipt,
	}
	err := s.server.options.Quota.Take(ctx, request)
	if _, refused := s.access().Check(o.permit, 0, false); refused != nil {
		if err == nil {
			s.refundUnsent(o)
		}
		return accessFailure(refused)
	}
	if err != nil {
		return tokenFailure(o, err)
	}
	return nil
}

// tokenFailure returns the failure of an operation that got no token. It says when the team's next token can be expected, if that is
// known.
func tokenFailure(o *operation, err error) *statement.Failure {
	failure := &statement.Failure{Code: statement.CodeBusy, Text: "no token of the team in time", Retry: o.route.Objective / 2}
	var exceeded *limit.Exceeded
	if errors.As(err, &exceeded) {
		failure.Text = exceeded.Error()
		failure.Retry = cmp.Or(exceeded.Retry, failure.Retry)
	}
	return failure
}

// refundUnsent gives back the token of an operation that has ended if none of its statements was sent to an upstream.
func (s *session) refundUnsent(o *operation) {
	if o.team != nil && !s.sent {
		s.server.options.Quota.Refund(o.receipt)
	}
}
