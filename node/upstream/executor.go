package upstream

import (
	"context"
	"time"

	"tamarackshunt.dev/fleet/balance"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

// Opening is the kind of transaction that is opened before a statement.
type Opening int

// Openings.
const (
	OpenNone Opening = iota
	// OpenPrimary opens a transaction, which only a primary does.
	OpenPrimary
	// OpenRead opens a read-only transaction on an upstream whose log has reached a position.
	OpenRead
)

// Use is one statement and what has to be set up on a connection before it.
type Use struct {
	// Values are the settings of the caller's session.
	Values map[string]string
	// Prepared is the definition of the prepared statement to execute, or nil if the statement is not a prepared one.
	Prepared *statement.Prepared
	Opening  Opening
	// Since, if it is given, is the position that the upstream's log must have reached.
	Since ident.Position
	// ID and Text belong to the caller's statement; for a prepared one, Text holds its arguments. If ID is empty, no statement
	// runs after the opening.
	ID      string
	Text    string
	Timeout time.Duration
	// Keep reserves the connection for later statements of the same executor.
	Keep bool
}

// Outcome is the outcome of a Use.
type Outcome struct {
	Result statement.Result
	// Opened is the upstream's position when it opened the transaction.
	Opened ident.Position
	// Ran is set if the upstream may have run the caller's statement.
	Ran bool
	// Gateway is the peer address of the gateway that the statement was sent to, and Lease names the connection that it kept for the
	// statement's transaction. Both are empty for this host's own connections.
	Gateway, Lease string
	// Load is the load of the upstream as the host that ran the statement measures it, or zero if it is not known.
	Load balance.Load
}

// Executor runs statements on an upstream for one session at a time. Execute returns an UnreachableError or a
// statement.Failure if the caller's statement did not run, and a BrokenError if the connection broke so that the outcome is
// unknown; Outcome.Ran is set if the caller's statement may have run. After an Execute without Keep, or an error, the executor
// holds no connection.
type Executor interface {
	Execute(ctx context.Context, use Use) (Outcome, error)
	// Close returns a kept connection to its pool and rolls back an open transaction.
	Close()
	// Target returns the upstream.
	Target() Target
}

// directExecutor runs statements on one of this host's own connections.
type directExecutor struct {
	pool     *Pool
	team     ident.Team
	priority int
	conn     *Conn
}

// Executor returns an executor that uses the pool's own connections.
func (p *Pool) Executor(team ident.Team, priority int) Executor {
	return &directExecutor{pool: p, team: team, priority: priority}
}

// Target implements Executor.
func (d *directExecutor) Target() Target { return d.pool.target }

// Execute implements Executor.
func (d *directExecutor) Execute(ctx context.Context, use Use) (outcome Outcome, err error) {
	defer func() { outcome.Load = d.pool.MeasuredLoad(steady.Now()) }()
	if d.conn == nil {
		conn, err := d.pool.Get(ctx, d.team, d.priority)
		if err != nil {
			return Outcome{}, err
		}
		d.conn = conn
	}
	outcome, err = d.use(ctx, &use)
	if err != nil {
		if d.conn.broken {
			d.pool.RecordFailure(steady.Now())
		}
		d.Close()
		return outcome, err
	}
	d.pool.RecordAnswer(steady.Now())
	if !use.Keep {
		conn := d.conn
		d.conn = nil
		if conn.state == statement.StateIdle {
			conn.Release()
		} else {
			// Release rolls the open transaction back; the answer does not wait for that.
			go conn.Release()
		}
	}
	return outcome, nil
}

// Close implements Executor.
func (d *directExecutor) Close() {
	if d.conn != nil {
		conn := d.conn
		d.conn = nil
		conn.Release()
	}
}

// use puts the connection into the session's state, opens the transaction and runs the statement once the limiter admits it.
func (d *directExecutor) use(ctx context.Context, use *Use) (Outcome, error) {
	var outcome Outcome
	c := d.conn
	inside := c.state == statement.StateTransaction
	name, err := c.Prepare(use.Values, use.Prepared)
	if err != nil {
		return outcome, err
	}
	since := use.Since
	switch use.Opening {
	case OpenPrimary:
		outcome.Result, err = c.Begin()
	case OpenRead:
		outcome.Result, err = c.BeginRead(since)
	}
	if err != nil {
		return outcome, err
	}
	if use.Opening != OpenNone {
		outcome.Opened, since = outcome.Result.Position, ident.Position{}
	}
	if use.ID == "" {
		return outcome, nil
	}
	var request statement.Request = statement.Passthrough{Text: use.Text}
	if use.Prepared != nil {
		request = statement.Execute{Name: name, Arguments: use.Text}
	}
	if err := d.pool.limiter.acquire(ctx, d.team, d.priority, inside); err != nil {
		return outcome, err
	}
	began := steady.Now()
	defer func() { d.pool.limiter.release(d.priority, steady.Now().Sub(began)) }()
	defer func() { d.pool.recordService(began, &outcome.Result, err) }()
	outcome.Ran = true
	outcome.Result, err = c.Run(use.ID, since, request, use.Timeout)
	return outcome, err
}
