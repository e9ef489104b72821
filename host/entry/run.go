package entry

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/upstream"
)

const (
	// maxReadAttempts bounds the number of upstreams that one read is tried on.
	maxReadAttempts = 3
	// writeRetryDelay is the delay before a write is retried, such as one that a draining primary rejected.
	writeRetryDelay = 20 * time.Millisecond
	// readOnlyCode is the SQLSTATE with which a replica or a draining primary rejects a write before running it.
	readOnlyCode = "25006"
)

// run answers one batch; an error closes the caller's connection.
func (c *caller) run(ctx context.Context, b *batch) error {
	if c.skipToSync {
		// The batch is the Sync that ends the skipping after an error. The upstream of an open transaction needs it too.
		c.skipToSync = false
		if c.txConn == nil {
			return c.send(c.ready())
		}
	}
	if c.txConn != nil {
		return c.runInTransaction(ctx, b)
	}
	if done, err := c.answerLocally(b); done || err != nil {
		return err
	}
	return c.runNew(ctx, b)
}

// request is a batch with the state of its processing: limits, choice of the upstream, deadline.
type request struct {
	batch *batch
	read  bool
	// counted is set when the request counts against the team's rate and in its tallies.
	counted bool
	// readOnly is set for the first batch of a transaction that the caller began as read-only.
	readOnly bool
	// replica is set while the batch runs on a replica.
	replica bool
	// inTransaction is set for a batch within an open transaction.
	inTransaction bool
	started       time.Time
	deadline      time.Time
	// whole ends at the deadline. The context of the waits before the batch is sent ends with the caller's key too, but the outcome of a
	// batch that was sent is awaited.
	whole context.Context
}

// runNew starts a transaction with a batch.
func (c *caller) runNew(ctx context.Context, b *batch) error {
	r := &request{batch: b, counted: b.executes, started: time.Now(), read: c.isRead(b)}
	r.readOnly = c.deferredBegin != nil && c.deferredBegin.readOnly
	out := &outbox{socket: c.socket, write: !r.read}
	if c.preparesOnly(b) {
		out.status = 'T'
	}
	err := c.admitRequest(ctx, r)
	if err == nil {
		var stop context.CancelFunc
		r.whole, stop = context.WithDeadline(ctx, r.deadline)
		defer stop()
		waits, end := c.whileAllowed(r.whole)
		defer end()
		if r.read {
			err = c.runRead(waits, r, out)
		} else {
			err = c.runWrite(waits, r, out)
		}
	}
	return c.finish(r, out, err)
}

// preparesOnly reports whether a batch before the first statement of a transaction executes nothing. The BEGIN is then
// deferred further, to that statement, so that a draining primary can still reject the whole transaction.
func (c *caller) preparesOnly(b *batch) bool {
	return c.deferredBegin != nil && !b.executes && !b.flush
}

func (c *caller) isRead(b *batch) bool {
	if c.preparesOnly(b) {
		return true
	}
	if c.deferredBegin != nil {
		return c.deferredBegin.readOnly
	}
	return !b.executes || b.class.OnReplica()
}

// admitRequest makes the checks that need no upstream: lease, key, dependencies and limits. It also sets the deadline.
func (c *caller) admitRequest(ctx context.Context, r *request) error {
	view := c.server.opts.View()
	if err := c.check(view); err != nil {
		return err
	}
	service := view.Services[c.session.Service]
	if service == nil {
		return reject(sqlstate.UnknownService, "%q was removed", c.session.Service)
	}
	r.deadline = r.started.Add(service.GetDeadline().AsDuration())
	if err := checkNeeds(view, service); err != nil {
		return err
	}
	if c.route.ReadOnly && !r.read {
		return reject(sqlstate.ReadOnlyRoute, "a write on a read-only route")
	}
	if !r.counted {
		return nil
	}
	c.updateTally(func(t *fleetpb.Tally) { t.Asked++ })
	waits, end := c.whileAllowed(ctx)
	defer end()
	if err := c.server.opts.Quota.Take(waits, c.session.Team); err != nil {
		return &unsentError{err}
	}
	return nil
}

// checkNeeds rejects a request early when a dependency, a service that the requested one needs, has no announced primary, so
// that no connection waits for the dependency.
func checkNeeds(view *member.View, service *fleetpb.Service) error {
	for _, need := range service.GetNeeds() {
		name := ident.Service(need)
		group := view.Groups[name]
		target := member.Target{Service: name, Upstream: ident.Upstream(group.GetPrimary())}
		if group.GetPrimary() == "" || !view.Announced[target] {
			return reject(sqlstate.DependencyDown, "service %q needs %q, which has no primary", service.GetName(), need)
		}
	}
	return nil
}

// runRead runs a batch on a replica, or on the primary when no replica is suitable. After a failure on a replica it tries
// another upstream. A batch that a primary may have run is not sent again, since a function in the read may have written.
func (c *caller) runRead(ctx context.Context, r *request, out *outbox) error {
	var last error
	for range maxReadAttempts {
		choice, err := c.server.opts.Chooser.Read(ctx, c.session)
		if err != nil {
			return firstOf(last, &unsentError{err})
		}
		err = c.attempt(ctx, r, choice, out)
		if err == nil && !canRetryOnPrimary(r, out) {
			c.countRead(r, choice)
			return nil
		}
		if err == nil {
			c.endTransaction()
			out.reset()
			return c.runReadAsWrite(ctx, r, out)
		}
		sent := !choice.Replica && !isUnsent(err)
		if sent || out.sent || isCallerError(err) || sqlstate.From(err) != nil {
			return err
		}
		out.reset()
		c.server.opts.Chooser.Avoid(choice.Target)
		last = err
	}
	return last
}

// runReadAsWrite runs a batch as a write after it was classified as a read and rejected by a read-only upstream.
func (c *caller) runReadAsWrite(ctx context.Context, r *request, out *outbox) error {
	if c.route.ReadOnly {
		return reject(sqlstate.ReadOnlyRoute, "a statement that writes on a read-only route")
	}
	r.read = false
	out.write = true
	return c.runWrite(ctx, r, out)
}

func (c *caller) countRead(r *request, choice Choice) {
	if !r.counted {
		return
	}
	c.updateTally(func(t *fleetpb.Tally) {
		if choice.Replica {
			t.ReadsReplica++
		} else {
			t.ReadsPrimary++
		}
	})
}

// canRetryOnPrimary reports whether a read-only upstream rejected the batch before any of it ran, so that a primary may run
// it. In a transaction that the caller began as read-only, the rejection is the right answer to the caller.
func canRetryOnPrimary(r *request, out *outbox) bool {
	rejectedUnrun := out.failure != nil && out.failure.Code == readOnlyCode && out.completed == 0 && !out.sent
	return rejectedUnrun && !r.inTransaction && !r.readOnly
}

// runWrite runs a batch on the primary. It is sent at most once, except when the upstream answers that it was not run.
func (c *caller) runWrite(ctx context.Context, r *request, out *outbox) error {
	for {
		choice, err := c.server.opts.Chooser.Primary(ctx, c.session.Service)
		if err != nil {
			return &unsentError{err}
		}
		err = c.attempt(ctx, r, choice, out)
		switch {
		case err == nil && canRetryOnPrimary(r, out):
			out.reset()
			c.endTransaction()
		case err == nil:
			return nil
		case isUnsent(err) && sqlstate.From(err) == nil && ctx.Err() == nil:
			c.server.opts.Chooser.Avoid(choice.Target)
		default:
			return err
		}
		select {
		case <-time.After(writeRetryDelay):
		case <-ctx.Done():
			return reject(sqlstate.NoPrimary, "no primary of service %q takes writes", c.session.Service)
		}
	}
}

// unsentError wraps a failure that occurred before any byte of the batch was sent.
type unsentError struct {
	cause error
}

func (e *unsentError) Error() string { return e.cause.Error() }

func (e *unsentError) Unwrap() error { return e.cause }

func isUnsent(err error) bool {
	var unsent *unsentError
	return errors.As(err, &unsent)
}

func isCallerError(err error) bool {
	var failed *CallerError
	return errors.As(err, &failed)
}

func firstOf(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// attempt runs a batch on one upstream and acknowledges its writes.
func (c *caller) attempt(ctx context.Context, r *request, choice Choice, out *outbox) error {
	conn, err := c.server.opts.Pool.Acquire(ctx, choice.Target, c.session.Team)
	if err != nil {
		return &unsentError{err}
	}
	if err := c.check(c.server.opts.View()); err != nil {
		c.server.opts.Pool.Release(choice.Target, conn)
		return err
	}
	c.setTxConn(choice, conn)
	r.replica = choice.Replica
	if err := c.prepareConn(ctx, conn, !c.preparesOnly(r.batch)); err != nil {
		c.endTransaction()
		return &unsentError{err}
	}
	c.unsynced = r.batch.flush
	err = c.exchange(ctx, conn, r.batch, out)
	if err != nil {
		c.endTransaction()
		return err
	}
	return c.completeBatch(r, out)
}

// prepareConn applies the caller's session settings to the connection, and sends its deferred BEGIN when begin is set.
func (c *caller) prepareConn(ctx context.Context, conn *upstream.Conn, begin bool) error {
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	if err := conn.Configure(c.settings.statements, c.settings.joined); err != nil {
		return err
	}
	if c.deferredBegin == nil || !begin {
		return nil
	}
	return conn.Exec(c.deferredBegin.sql)
}

func (c *caller) exchange(ctx context.Context, conn *upstream.Conn, b *batch, out *outbox) error {
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	defer conn.SetDeadline(time.Time{})
	running := conn.StartStatement()
	c.active.Store(running)
	err := exchange(conn, b, out)
	c.active.Store(nil)
	running.End()
	return err
}

// finish sends the answer, or a rejection instead of it. An error closes the caller's connection.
func (c *caller) finish(r *request, out *outbox, err error) error {
	registered := c.registered
	c.registered = nil
	if err != nil || out.failure != nil {
		for _, name := range registered {
			delete(c.statements, name)
		}
	}
	if err == nil {
		c.countServed(r)
		c.skipToSync = out.failure != nil && r.batch.flush
		return trace.Wrap(out.flush())
	}
	if isCallerError(err) {
		return err
	}
	rejection := toRejection(r, c.explain(err))
	c.countRejected(r, rejection)
	if fatal(rejection) {
		return trace.Wrap(rejection)
	}
	if out.sent {
		// Part of the answer has been sent, so the caller would read the rejection as part of that answer.
		return trace.Wrap(err)
	}
	c.aborted = c.deferredBegin != nil
	c.deferredBegin = nil
	if r.batch.flush {
		c.skipToSync = true
		return c.send(response(rejection))
	}
	return c.send(response(rejection), c.ready())
}

// toRejection maps a failure to the rejection for the caller: not run, failed, or unknown outcome.
func toRejection(r *request, err error) *sqlstate.Rejection {
	if rejection := sqlstate.From(err); rejection != nil {
		return rejection
	}
	switch {
	case isUnsent(err) && errors.Is(err, context.DeadlineExceeded):
		return sqlstate.New(sqlstate.DeadlinePassed, err)
	case isUnsent(err):
		return sqlstate.New(sqlstate.NoConnection, err)
	case r.read && r.replica:
		return sqlstate.New(sqlstate.UpstreamLost, err)
	case r.inTransaction && !r.batch.mayCommit():
		return sqlstate.New(sqlstate.TransactionLost, err)
	}
	return sqlstate.New(sqlstate.OutcomeUnknown, err)
}

func (c *caller) updateTally(change func(*fleetpb.Tally)) {
	c.server.tallies.update(c.session.Team, change)
}

func (c *caller) countServed(r *request) {
	if !r.counted {
		return
	}
	c.updateTally(func(t *fleetpb.Tally) {
		t.Served++
		if !r.read {
			t.Writes++
		}
	})
}

func (c *caller) countRejected(r *request, rejection *sqlstate.Rejection) {
	if !fatal(rejection) {
		c.server.reportRejection(c.session, rejection)
	}
	row := rejection.Row()
	if !r.counted && row.Ran != sqlstate.Unknown {
		return
	}
	c.updateTally(func(t *fleetpb.Tally) {
		switch {
		case rejection.Reason == sqlstate.RateExceeded:
			t.RefusedRate++
		case row.Ran == sqlstate.Unknown:
			t.Unknown++
		default:
			t.RefusedOther++
		}
	})
}
