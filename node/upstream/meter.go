package upstream

import (
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
)

// Meter counts the operations of teams that begin to run at upstreams: single statements, and the first ones of transactions.
type Meter interface {
	// Begin records that an operation of a team is sent. The returned function records the end of its statement, and whether that may
	// have run.
	Begin(team ident.Team) (end func(ran bool))
}

// SetMeter sets the meter of the operations that executors send from now on.
func (p *Pool) SetMeter(meter Meter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meter = meter
}

// began meters a statement that is sent for a team, unless it continues a transaction. The returned function takes its result.
// Statements without a team are not metered.
func (p *Pool) began(team ident.Team, inside bool) (ended func(statement.Result, error)) {
	p.mu.Lock()
	meter := p.meter
	p.mu.Unlock()
	if meter == nil || team == "" || inside {
		return func(statement.Result, error) {}
	}
	end := meter.Begin(team)
	return func(result statement.Result, err error) { end(err != nil || !refused(result.Failure)) }
}

// refused reports whether a failure means that the upstream did not begin to run the statement.
func refused(failure *statement.Failure) bool {
	return failure != nil && failure.Code != statement.CodeFailed && failure.Code != statement.CodeTimeout && failure.Code != statement.CodeInDoubt
}
