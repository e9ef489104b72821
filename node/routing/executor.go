package routing

import (
	"context"
	"errors"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

// self returns this host's entry in the directory, or nil.
func (t *Table) self() *fleetpb.EntryHost {
	for _, host := range t.hosts {
		if host.GetHost() == string(t.options.Host) {
			return host
		}
	}
	return nil
}

// Executor returns an executor for an upstream. It uses this host's own connections if the host is to hold them, and otherwise goes
// through the host that does.
func (t *Table) Executor(pool *upstream.Pool, team ident.Team, priority int) upstream.Executor {
	executor := &trackedExecutor{pool: pool}
	m := t.memberOf(pool)
	if m == nil {
		// The upstream has just left the directory, and its pool is closed.
		executor.Executor = pool.Executor(team, priority)
		return executor
	}
	holder, direct := t.chooseHolder(steady.Now(), m)
	switch {
	case direct:
		t.recordAsked(m)
		executor.Executor = pool.Executor(team, priority)
	case holder == nil:
		executor.Executor = unavailableExecutor{pool.Target()}
	default:
		executor.Executor = t.options.Gateways.Executor(holder.GetPeer(), pool.Target(), team, priority, func(closed bool) {
			executor.gatewayFailed = true
			t.recordFailure(holder, closed)
		})
	}
	return executor
}

// unavailableExecutor refuses all statements, while no host that may hold connections to the upstream answers.
type unavailableExecutor struct{ target upstream.Target }

// Execute implements upstream.Executor.
func (u unavailableExecutor) Execute(context.Context, upstream.Use) (upstream.Outcome, error) {
	return upstream.Outcome{}, &statement.Failure{
		Code: statement.CodeConnections, Text: "no host that holds connections to the upstream answers",
	}
}

// Close implements upstream.Executor.
func (u unavailableExecutor) Close() {}

// Target implements upstream.Executor.
func (u unavailableExecutor) Target() upstream.Target { return u.target }

// trackedExecutor records the outcome of statements in the upstream's pool: those in flight, answers, failures and positions.
type trackedExecutor struct {
	upstream.Executor
	pool          *upstream.Pool
	gatewayFailed bool
}

// Execute implements upstream.Executor.
func (c *trackedExecutor) Execute(ctx context.Context, use upstream.Use) (upstream.Outcome, error) {
	c.pool.BeginStatement()
	c.pool.RecordSent(steady.Now())
	defer c.pool.EndStatement()
	c.gatewayFailed = false
	outcome, err := c.Executor.Execute(ctx, use)
	if outcome.Gateway != "" {
		c.pool.RecordLoad(steady.Now(), outcome.Load)
	}
	if position := outcome.Result.Position; position != (ident.Position{}) {
		c.pool.RecordPosition(steady.Now(), position)
	}
	var broken *upstream.BrokenError
	var unreachable *upstream.UnreachableError
	switch {
	case err == nil:
		c.pool.RecordReachable()
		c.pool.RecordReply(steady.Now())
	case !c.gatewayFailed && (errors.As(err, &broken) || errors.As(err, &unreachable)):
		c.pool.RecordFailure(steady.Now())
	}
	return outcome, err
}
