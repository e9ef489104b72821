package upstream

import (
	"context"
	"errors"
	"time"

	"tamarackshunt.dev/fleet/admission"
	"tamarackshunt.dev/fleet/balance"
	"tamarackshunt.dev/fleet/catalog"
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
	// Key identifies the key of the caller, and Version is the configuration under which it was found to belong to the executor's team.
	Key     catalog.KeyID
	Version ident.Version
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
	// Within is the time in which the statement should end if it is the first one on its connection; 0 means the end of the context
	// of Execute. Late is set if the objective of the statement's route has passed.
	Within time.Duration
	Late   bool
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

// Executor runs statements on an upstream for one session at a time. Execute returns an UnreachableError, a NotHolderError or a
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

// Execute implements Executor. A statement waits for its turn before it takes a connection. It gives its slot back after the
// connection, so that the next statement finds it.
func (d *directExecutor) Execute(ctx context.Context, use Use) (outcome Outcome, err error) {
	defer func() { outcome.Load = d.pool.MeasuredLoad(steady.Now()) }()
	id, err := d.admitAllowed(ctx, &use)
	if err != nil {
		d.releaseLater()
		return Outcome{}, err
	}
	if use.ID != "" {
		defer func() { d.leave(id, outcome, err) }()
	}
	outcome, err = d.use(&use)
	if err != nil {
		if d.conn.broken {
			d.pool.RecordFailure(steady.Now())
		}
		d.Close()
		return outcome, err
	}
	d.pool.RecordAnswer(steady.Now())
	if !use.Keep {
		d.releaseLater()
	}
	return outcome, nil
}

// releaseLater gives a kept connection back. Release rolls an open transaction back, for which the answer does not wait.
func (d *directExecutor) releaseLater() {
	conn := d.conn
	d.conn = nil
	switch {
	case conn == nil:
	case conn.mustRollBack():
		go conn.Release()
	default:
		conn.Release()
	}
}

// leave gives the statement's slot back. Only an answer of the upstream that isn't a refusal says how long a statement takes.
func (d *directExecutor) leave(id admission.ID, outcome Outcome, err error) {
	failure := outcome.Result.Failure
	if err != nil || !outcome.Ran || (failure != nil && failure.Code.NoEffect()) {
		d.pool.limiter.cancel(id)
		return
	}
	d.pool.limiter.finish(id)
}

// admitAllowed waits like admit, for a statement that is allowed before and after the wait. What ends the permission ends the wait.
func (d *directExecutor) admitAllowed(ctx context.Context, use *Use) (admission.ID, error) {
	inTransaction := d.conn != nil
	if !inTransaction && d.pool.Limit() == 0 {
		// Another host is asked without a wait in the queue.
		return 0, &NotHolderError{d.pool.target.Upstream}
	}
	if _, err := d.pool.Check(d.team, use, inTransaction); err != nil {
		return 0, err
	}
	ctx, stop := d.pool.watch(ctx, d.team, use)
	defer stop()
	id, err := d.admit(ctx, use)
	if _, refused := d.pool.Check(d.team, use, inTransaction); refused != nil {
		d.releaseLater()
		if err == nil && use.ID != "" {
			d.pool.limiter.cancel(id)
		}
		return 0, refused
	}
	return id, err
}

// admit waits until the statement has a slot and a connection. A use without a statement needs no slot.
func (d *directExecutor) admit(ctx context.Context, use *Use) (admission.ID, error) {
	l := d.pool.limiter
	request := d.request(ctx, use)
	if use.ID == "" {
		return 0, d.connect(ctx, request.Deadline)
	}
	id, err := l.arrive(ctx, request)
	if err != nil || request.Holding {
		return id, err
	}
	if err := d.connect(ctx, request.Deadline); err != nil {
		if errors.Is(err, context.DeadlineExceeded) && !isUnreachable(err) {
			return 0, l.abandon(id)
		}
		l.cancel(id)
		return 0, err
	}
	return id, l.start(ctx, id, request)
}

// request returns the limiter's request for a use. A statement in a transaction may wait as long as its context.
func (d *directExecutor) request(ctx context.Context, use *Use) admission.Request {
	now := steady.Now()
	wait := defaultStatementWait
	if end, found := ctx.Deadline(); found {
		wait = time.Until(end)
	}
	request := admission.Request{Team: d.team, Priority: d.priority, Late: use.Late, Holding: d.conn != nil}
	if !request.Holding && use.Within > 0 {
		wait = min(wait, use.Within)
	}
	request.Deadline = now.Add(wait)
	return request
}

// connect takes a connection unless the executor has kept one.
func (d *directExecutor) connect(ctx context.Context, deadline ident.Time) error {
	if d.conn != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(steady.Now()))
	defer cancel()
	conn, err := d.pool.Get(ctx, d.team, d.priority)
	d.conn = conn
	return err
}

func isUnreachable(err error) bool {
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

// Close implements Executor.
func (d *directExecutor) Close() {
	if d.conn != nil {
		conn := d.conn
		d.conn = nil
		conn.Release()
	}
}

// use puts the connection into the session's state, opens the transaction and runs the statement.
func (d *directExecutor) use(use *Use) (Outcome, error) {
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
	outcome.Ran = true
	began := steady.Now()
	defer func() { d.pool.recordService(began, &outcome.Result, err) }()
	ended := d.pool.began(d.team, inside)
	outcome.Result, err = c.Run(use.ID, since, request, use.Timeout)
	ended(outcome.Result, err)
	return outcome, err
}
