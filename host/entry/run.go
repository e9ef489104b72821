package entry

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/route"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/upstream"
)

const (
	// maxReadAttempts bounds the upstreams that one read is sent to.
	maxReadAttempts = 3
	// drainedPause is the wait before a write that a draining primary rejected is tried again.
	drainedPause = 20 * time.Millisecond
	// readOnlyCode is the SQLSTATE with which a replica or a draining primary rejects a write before running it.
	readOnlyCode = "25006"
)

// run answers one batch; an error closes the caller's connection.
func (c *caller) run(ctx context.Context, b *batch) error {
	if c.failed {
		// The batch is the Sync that ends the skipping after an error; a held transaction has to see it too.
		c.failed = false
		if c.held == nil {
			return c.send(c.ready())
		}
	}
	if c.held != nil {
		return c.runHeld(b)
	}
	if done, err := c.answerLocally(b); done || err != nil {
		return err
	}
	return c.runNew(ctx, b)
}

// answerLocally answers what needs no upstream.
func (c *caller) answerLocally(b *batch) (bool, error) {
	if len(b.messages) == 1 {
		if _, isSync := b.messages[0].(*pgproto3.Sync); isSync {
			return true, c.send(c.ready())
		}
	}
	if b.query == "" || len(b.messages) != 1 {
		return false, nil
	}
	switch b.kind {
	case route.Begin, route.BeginReadOnly:
		if c.lazy != nil {
			return false, nil
		}
		c.lazy = &lazyBegin{sql: b.query, readOnly: b.kind == route.BeginReadOnly}
		return true, c.complete("BEGIN")
	case route.Commit:
		if c.lazy != nil {
			c.lazy = nil
			return true, c.complete("COMMIT")
		}
	case route.Rollback:
		c.lazy = nil
		return true, c.complete("ROLLBACK")
	case route.SessionState:
		if c.lazy != nil {
			return false, nil
		}
		if !c.settings.add(b.query) {
			return true, c.complete("", &Rejection{Code: "54000", Message: "too many session settings"})
		}
		return true, c.complete("SET")
	}
	return false, nil
}

// complete answers a simple query with a command tag or an error.
func (c *caller) complete(tag string, failed ...*Rejection) error {
	if len(failed) > 0 {
		return c.send(failed[0].response(), c.ready())
	}
	return c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)}, c.ready())
}

// request is one transaction or single batch on its way through limits, queue and upstream.
type request struct {
	batch    *batch
	read     bool
	counted  bool
	started  time.Time
	deadline time.Time
}

// runNew starts a transaction with a batch.
func (c *caller) runNew(ctx context.Context, b *batch) error {
	r := &request{batch: b, counted: b.runs, started: time.Now(), read: c.isRead(b)}
	out := &outbox{socket: c.socket, write: !r.read}
	err := c.admitRequest(ctx, r)
	if err == nil {
		limited, stop := context.WithDeadline(ctx, r.deadline)
		defer stop()
		if r.read {
			err = c.runRead(limited, r, out)
		} else {
			err = c.runWrite(limited, r, out)
		}
	}
	return c.finish(r, out, err)
}

func (c *caller) isRead(b *batch) bool {
	if c.lazy != nil {
		return c.lazy.readOnly
	}
	return !b.runs || b.kind == route.Read || b.kind == route.BeginReadOnly
}

// admitRequest checks everything that needs no upstream: lease, key, dependencies and limits.
func (c *caller) admitRequest(ctx context.Context, r *request) error {
	view := c.server.opts.View()
	if !view.Valid(c.server.opts.Clock.Now()) {
		return notRun("57P03", "the host has no valid copy of the control state")
	}
	if err := c.checkKey(view); err != nil {
		return err
	}
	service := view.Services[c.session.Service]
	if service == nil {
		return &Rejection{Code: "3D000", Message: "the service has been removed", Fatal: true}
	}
	r.deadline = r.started.Add(service.GetDeadline().AsDuration())
	if err := checkNeeds(view, service); err != nil {
		return err
	}
	if c.route.ReadOnly && !r.read {
		return notRun(readOnlyCode, "the route is read-only")
	}
	if !r.counted {
		return nil
	}
	c.tally(func(t *fleetpb.Tally) { t.Asked++ })
	return c.server.opts.Quota.Take(ctx, c.session.Team)
}

func (c *caller) checkKey(view *member.View) error {
	if c.route.Open {
		return nil
	}
	team, err := c.key.check(view)
	if err != nil || team != c.session.Team {
		return &Rejection{Code: "28000", Message: "the key has been withdrawn; the statement was not run", Fatal: true}
	}
	return nil
}

// checkNeeds rejects early when a dependency has no primary, so that no connection waits for it.
func checkNeeds(view *member.View, service *fleetpb.Service) error {
	for _, need := range service.GetNeeds() {
		name := ident.Service(need)
		group := view.Groups[name]
		target := member.Target{Service: name, Upstream: ident.Upstream(group.GetPrimary())}
		if group.GetPrimary() == "" || !view.Announced[target] {
			return notRun("57P03", "service %q needs %q, which has no primary", service.GetName(), need)
		}
	}
	return nil
}

// runRead runs a batch on a replica, or the primary when no replica will do; failures move it to another upstream.
func (c *caller) runRead(ctx context.Context, r *request, out *outbox) error {
	var last error
	toPrimary := false
	for range maxReadAttempts {
		choice, err := c.chooseRead(ctx, toPrimary)
		if err != nil {
			return firstOf(last, err)
		}
		err = c.attempt(ctx, r, choice, out)
		if err == nil && !refusedAsWrite(out) {
			c.countRead(r, choice)
			return nil
		}
		if err == nil {
			toPrimary = true
			out.reset()
			continue
		}
		if out.sent || isCallerError(err) {
			return err
		}
		out.reset()
		c.server.opts.Chooser.Avoid(choice.Target)
		last = err
	}
	if toPrimary && last == nil {
		return notRun("57P03", "no primary accepts the statement")
	}
	return last
}

func (c *caller) chooseRead(ctx context.Context, toPrimary bool) (Choice, error) {
	if toPrimary {
		return c.server.opts.Chooser.Primary(ctx, c.session.Service)
	}
	return c.server.opts.Chooser.Read(ctx, c.session)
}

func (c *caller) countRead(r *request, choice Choice) {
	if !r.counted {
		return
	}
	c.tally(func(t *fleetpb.Tally) {
		if choice.Replica {
			t.ReadsReplica++
		} else {
			t.ReadsPrimary++
		}
	})
}

// refusedAsWrite reports whether a read-only upstream rejected the batch before any of it ran.
func refusedAsWrite(out *outbox) bool {
	return out.failure != nil && out.failure.Code == readOnlyCode && out.completed == 0 && !out.sent
}

// runWrite runs a batch on the primary; it is sent at most once, except when the upstream says that it was not run.
func (c *caller) runWrite(ctx context.Context, r *request, out *outbox) error {
	for {
		choice, err := c.server.opts.Chooser.Primary(ctx, c.session.Service)
		if err != nil {
			return err
		}
		err = c.attempt(ctx, r, choice, out)
		switch {
		case err == nil && refusedAsWrite(out):
			out.reset()
			c.dropHeld()
		case err == nil:
			return nil
		case isUnsent(err):
			c.server.opts.Chooser.Avoid(choice.Target)
		default:
			return err
		}
		select {
		case <-time.After(drainedPause):
		case <-ctx.Done():
			return notRun("57P03", "service %q has no primary that takes writes", c.session.Service)
		}
	}
}

// unsentError wraps a failure before any byte was sent.
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

// attempt runs a batch on one upstream and acknowledges what it wrote.
func (c *caller) attempt(ctx context.Context, r *request, choice Choice, out *outbox) error {
	conn, err := c.server.opts.Pool.Acquire(ctx, choice.Target, c.session.Team)
	if err != nil {
		return &unsentError{err}
	}
	c.hold(choice.Target, conn)
	if err := c.prepareConn(ctx, conn); err != nil {
		c.dropHeld()
		return &unsentError{err}
	}
	c.unsynced = r.batch.flush
	err = c.exchange(ctx, conn, r.batch, out)
	if err != nil {
		c.dropHeld()
		return err
	}
	return c.settle(ctx, conn, r, out)
}

// prepareConn brings the caller's session settings and its delayed BEGIN to the connection.
func (c *caller) prepareConn(ctx context.Context, conn *upstream.Conn) error {
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	if err := conn.Configure(c.settings.statements, c.settings.joined); err != nil {
		return err
	}
	if c.lazy == nil {
		return nil
	}
	return conn.Exec(c.lazy.sql)
}

func (c *caller) exchange(ctx context.Context, conn *upstream.Conn, b *batch, out *outbox) error {
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	defer conn.SetDeadline(time.Time{})
	conn.Begin()
	c.active.Store(conn)
	err := exchange(conn, b, out)
	c.active.Store(nil)
	conn.End()
	return err
}

// settle acknowledges a write whose transaction has ended, and keeps the connection of one that goes on.
func (c *caller) settle(ctx context.Context, conn *upstream.Conn, r *request, out *outbox) error {
	if refusedAsWrite(out) {
		return nil
	}
	position, wrote := conn.TakePosition()
	if r.batch.flush || !conn.Idle() {
		c.lazy = nil
		return nil
	}
	c.lazy = nil
	// The connection goes back before the wait for replication, which may take as long as the replicas lag.
	c.dropHeld()
	if !wrote || r.read {
		return nil
	}
	if err := c.server.opts.Ack.Acknowledge(ctx, c.session, position); err != nil {
		return trace.Wrap(err)
	}
	return nil
}

func (c *caller) hold(target member.Target, conn *upstream.Conn) {
	c.held = conn
	c.target = target
	c.release = func() { c.server.opts.Pool.Release(target, conn) }
}

func (c *caller) dropHeld() {
	if c.held == nil {
		return
	}
	c.endTransaction()
}

// runHeld runs a batch within the open transaction.
func (c *caller) runHeld(b *batch) error {
	view := c.server.opts.View()
	r := &request{batch: b, started: time.Now(), read: false}
	out := &outbox{socket: c.socket, write: true}
	service := view.Services[c.session.Service]
	r.deadline = r.started.Add(service.GetDeadline().AsDuration())
	ctx, stop := context.WithDeadline(context.Background(), r.deadline)
	defer stop()
	err := c.checkHeld(view)
	if err == nil {
		c.unsynced = b.flush
		if err = c.exchange(ctx, c.held, b, out); err == nil {
			err = c.settleHeld(ctx, r)
		} else {
			c.dropHeld()
		}
	}
	return c.finish(r, out, err)
}

// checkHeld ends a transaction whose key was withdrawn or whose host lost its lease, before more of it runs.
func (c *caller) checkHeld(view *member.View) error {
	if !view.Valid(c.server.opts.Clock.Now()) {
		return &Rejection{Code: "57P03", Message: "the host has no valid copy of the control state; the transaction is rolled back", Fatal: true}
	}
	return c.checkKey(view)
}

func (c *caller) settleHeld(ctx context.Context, r *request) error {
	conn := c.held
	if r.batch.flush || !conn.Idle() {
		return nil
	}
	position, wrote := conn.TakePosition()
	c.dropHeld()
	if !wrote {
		return nil
	}
	if err := c.server.opts.Ack.Acknowledge(ctx, c.session, position); err != nil {
		return trace.Wrap(err)
	}
	return nil
}

// finish sends the answer, or the rejection that takes its place.
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
		c.failed = out.failure != nil && r.batch.flush
		return trace.Wrap(out.flush())
	}
	if isCallerError(err) {
		return err
	}
	rejection := c.explain(r, err)
	c.countRejected(r, rejection)
	if rejection.Fatal {
		return rejection
	}
	if out.sent {
		// Part of an answer has gone out, so an error in its place would be read as part of it.
		return trace.Wrap(err)
	}
	c.lazy = nil
	if r.batch.flush {
		c.failed = true
		return c.send(rejection.response())
	}
	return c.send(rejection.response(), c.ready())
}

// explain turns a failure into the answer for the caller: not run, or unknown outcome.
func (c *caller) explain(r *request, err error) *Rejection {
	var rejection *Rejection
	if errors.As(err, &rejection) {
		return rejection
	}
	if isUnsent(err) {
		if errors.Is(err, context.DeadlineExceeded) {
			return notRun("57014", "the deadline passed before the statement could be sent")
		}
		return notRun("57P03", "%v", err)
	}
	if r.read {
		return &Rejection{Code: "57P03", Message: "no upstream answered the read"}
	}
	return unknownOutcome(err)
}

func (c *caller) tally(change func(*fleetpb.Tally)) {
	c.server.tallies.count(c.session.Team, change)
}

func (c *caller) countServed(r *request) {
	if !r.counted {
		return
	}
	c.tally(func(t *fleetpb.Tally) {
		t.Served++
		if !r.read {
			t.Writes++
		}
	})
}

func (c *caller) countRejected(r *request, rejection *Rejection) {
	if !r.counted && rejection.Code != "08007" {
		return
	}
	c.tally(func(t *fleetpb.Tally) {
		switch rejection.Code {
		case "53400":
			t.RefusedRate++
		case "08007":
			t.Unknown++
		default:
			t.RefusedOther++
		}
	})
	if c.server.opts.Events != nil {
		c.server.opts.Events("rejected", string(c.session.Team), rejection.Error())
	}
}
