package upstream

import (
	"context"
	"time"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

// Opening says which transaction is opened before a statement.
type Opening int

// Openings.
const (
	OpenNone Opening = iota
	// OpenPrimary is a transaction that only a primary opens.
	OpenPrimary
	// OpenRead is a transaction without writes, on a log that holds a position.
	OpenRead
)

// Use is one statement with all that has to come before it on a connection.
type Use struct {
	Values map[string]string
	// Prepared is the definition of the prepared statement to execute, nil for others.
	Prepared *statement.Prepared
	Opening  Opening
	Since    ident.Position
	// ID and Text are those of the caller's statement; for a prepared one Text holds its arguments. Without an ID nothing
	// runs after the opening.
	ID      string
	Text    string
	Timeout time.Duration
	// Keep holds the connection for later statements.
	Keep bool
}

// Outcome is what became of a Use.
type Outcome struct {
	Result statement.Result
	// Opened is the upstream's position when it opened the transaction.
	Opened ident.Position
	// Ran says that the upstream may have run the caller's statement.
	Ran bool
}

// Executor runs statements on an upstream for one session at a time. Execute returns an UnreachableError or a
// statement.Failure when nothing of the caller's ran, and a BrokenError when its outcome is not known; Outcome.Ran tells the
// cases apart. After an Execute without Keep, or an error, the executor holds no connection.
type Executor interface {
	Execute(ctx context.Context, use Use) (Outcome, error)
	// Close gives a kept connection back; an open transaction is rolled back.
	Close()
	// Target returns the upstream.
	Target() Target
}

// directExecutor is an executor over one of this host's own connections.
type directExecutor struct {
	pool     *Pool
	team     ident.Team
	priority int
	conn     *Conn
}

// Executor returns one over the pool's own connections.
func (p *Pool) Executor(team ident.Team, priority int) Executor {
	return &directExecutor{pool: p, team: team, priority: priority}
}

// Target implements Executor.
func (d *directExecutor) Target() Target { return d.pool.target }

// Execute implements Executor.
func (d *directExecutor) Execute(ctx context.Context, use Use) (Outcome, error) {
	if d.conn == nil {
		conn, err := d.pool.Get(ctx, d.team, d.priority)
		if err != nil {
			return Outcome{}, err
		}
		d.conn = conn
	}
	outcome, err := d.use(ctx, &use)
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
			// The end of the transaction need not delay the answer.
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

// use brings the connection into the session's state, opens the transaction and runs the statement once there is room.
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
	outcome.Ran = true
	outcome.Result, err = c.Run(use.ID, since, request, use.Timeout)
	return outcome, err
}
