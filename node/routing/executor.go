package routing

import (
	"context"
	"errors"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

// maxAsked is the number of hosts that a statement is sent to while they answer that they hold no connections: as many as may hold some.
const maxAsked = 3

// scope is what restricts the hosts through which operations may go.
type scope struct {
	route *catalog.Route
	// team may be nil.
	team *catalog.Team
}

// allows reports whether a host of a region may get the statements of the route for the team. The zero scope has no statements of callers
// and allows every region.
func (s scope) allows(region ident.Region) bool {
	return s.route == nil || catalog.Allows(s.route, s.team, region)
}

// Executor returns an executor for the operations of a route and a team, which may be nil, on an upstream. It uses this host's own
// connections if the host is to hold them, and otherwise goes through the host that does. Statements go to no host outside of the regions
// that may run them.
func (t *Table) Executor(pool *upstream.Pool, route *catalog.Route, team *catalog.Team) upstream.Executor {
	return t.newExecutor(pool, scope{route, team}, team.ID(), route.Priority)
}

func (t *Table) newExecutor(pool *upstream.Pool, s scope, team ident.Team, priority int) upstream.Executor {
	executor := &trackedExecutor{table: t, pool: pool, scope: s, team: team, priority: priority}
	executor.choose()
	return executor
}

// isRestricted reports whether there are regions that may not get the statements.
func (s scope) isRestricted() bool {
	return s.route != nil && (len(s.route.Regions) > 0 || (s.team != nil && len(s.team.Regions) > 0))
}

// unavailableExecutor refuses all statements, while no host that holds connections to the upstream may be asked.
type unavailableExecutor struct {
	target upstream.Target
	scope  scope
}

// Execute implements upstream.Executor.
func (u unavailableExecutor) Execute(context.Context, upstream.Use) (upstream.Outcome, error) {
	failure := &statement.Failure{Code: statement.CodeConnections, Text: "no host that holds connections to the upstream answers"}
	if u.scope.isRestricted() {
		failure.Text = "no host that holds connections to the upstream answers in the regions of the route and team"
	}
	return upstream.Outcome{}, failure
}

// Close implements upstream.Executor.
func (u unavailableExecutor) Close() {}

// Target implements upstream.Executor.
func (u unavailableExecutor) Target() upstream.Target { return u.target }

// trackedExecutor runs statements at the host that holds the upstream's connections. It records their outcome in the upstream's pool:
// those in flight, answers, failures and positions.
type trackedExecutor struct {
	upstream.Executor
	table    *Table
	pool     *upstream.Pool
	scope    scope
	team     ident.Team
	priority int
	// holder is the other host that the executor asks, or nil.
	holder        *fleetpb.EntryHost
	gatewayFailed bool
	// kept is set while a connection is kept for a transaction.
	kept bool
}

// choose selects the host that the executor asks.
func (c *trackedExecutor) choose() {
	t := c.table
	c.holder = nil
	m := t.memberOf(c.pool)
	if m == nil {
		// The upstream has just left the directory, and its pool is closed.
		c.Executor = c.pool.Executor(c.team, c.priority)
		return
	}
	holder, direct := t.chooseHolder(steady.Now(), m, c.scope)
	switch {
	case direct:
		t.recordAsked(m)
		c.Executor = c.pool.Executor(c.team, c.priority)
	case holder == nil:
		c.Executor = unavailableExecutor{c.pool.Target(), c.scope}
	default:
		c.holder = holder
		c.Executor = t.options.Gateways.Executor(holder.GetPeer(), c.pool.Target(), c.team, c.priority, func(closed bool) {
			c.gatewayFailed = true
			t.recordFailure(holder, closed)
		})
	}
}

// Execute implements upstream.Executor.
func (c *trackedExecutor) Execute(ctx context.Context, use upstream.Use) (outcome upstream.Outcome, err error) {
	// A gateway on another host may not know yet of what forbids the statement.
	if use.Version, err = c.pool.Check(c.team, &use, c.kept); err != nil {
		// The caller's answer does not wait for the end of its transaction at the upstream.
		go c.Close()
		return upstream.Outcome{}, err
	}
	defer func() { c.kept = err == nil && use.Keep }()
	c.pool.BeginStatement()
	c.pool.RecordSent(steady.Now())
	defer c.pool.EndStatement()
	outcome, err = c.ask(ctx, use)
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

// ask executes a use at the chosen host. If that host holds no connections, as while its directory differs from this host's, the next
// one in the order is asked.
func (c *trackedExecutor) ask(ctx context.Context, use upstream.Use) (outcome upstream.Outcome, err error) {
	for range maxAsked {
		c.gatewayFailed = false
		outcome, err = c.Executor.Execute(ctx, use)
		var notHolder *upstream.NotHolderError
		if c.holder == nil || ctx.Err() != nil || !errors.As(err, &notHolder) {
			break
		}
		c.table.recordNotHolder(c.pool, c.holder)
		c.choose()
	}
	return outcome, err
}
