package entry

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/fleet/route"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/upstream"
)

// answerLocally answers what needs no upstream, and reports whether it did.
func (c *caller) answerLocally(b *batch) (bool, error) {
	if len(b.messages) == 1 {
		if _, isSync := b.messages[0].(*pgproto3.Sync); isSync {
			return true, c.send(c.ready())
		}
	}
	if c.aborted {
		return true, c.answerAborted(b)
	}
	switch {
	case c.lazy == nil && (b.single(route.KindBegin) || b.single(route.KindBeginReadOnly)):
		c.lazy = &lazyBegin{sql: b.query, readOnly: b.class.Kind == route.KindBeginReadOnly}
		return true, c.complete("BEGIN")
	case c.lazy != nil && b.single(route.KindCommit):
		c.lazy = nil
		return true, c.complete("COMMIT")
	case b.single(route.KindRollback):
		c.lazy = nil
		return true, c.complete("ROLLBACK")
	case c.lazy == nil && b.class.Effect != route.EffectNone:
		return true, c.answerSession(b)
	}
	return false, nil
}

// answerAborted answers within a rejected transaction: as PostgreSQL does, it ignores statements until the transaction ends,
// and tells a commit that the transaction was rolled back.
func (c *caller) answerAborted(b *batch) error {
	if b.single(route.KindCommit) || b.single(route.KindRollback) {
		c.aborted = false
		return c.complete("ROLLBACK")
	}
	if b.class.Kind == route.KindCommit || b.class.Kind == route.KindRollback {
		c.aborted = false
	}
	return c.refuse(sqlstate.TransactionAborted)
}

// answerSession answers a statement on session state; state that cannot follow the caller is not supported.
func (c *caller) answerSession(b *batch) error {
	if !b.single(route.KindSessionState) {
		return c.refuse(sqlstate.Unsupported)
	}
	tag, room := c.sessionStatement(b.query)
	switch {
	case !room:
		return c.refuse(sqlstate.LimitExceeded)
	case tag == "":
		return c.refuse(sqlstate.Unsupported)
	}
	return c.complete(tag)
}

// complete answers a simple query with a command tag.
func (c *caller) complete(tag string) error {
	return c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)}, c.ready())
}

func (c *caller) refuse(reason sqlstate.Reason) error {
	rejection := sqlstate.New(reason, nil)
	if fatal(rejection) {
		return trace.Wrap(rejection)
	}
	return c.send(response(rejection), c.ready())
}

func (c *caller) hold(choice Choice, conn *upstream.Conn) {
	c.held = conn
	c.onReplica = choice.Replica
	c.release = func() { c.server.opts.Pool.Release(choice.Target, conn) }
}

// endTransaction gives the held connection back; a transaction that is still open on it is rolled back.
func (c *caller) endTransaction() {
	conn := c.held
	if conn == nil {
		return
	}
	c.held = nil
	if c.unsynced {
		conn.MarkStale()
		c.unsynced = false
	}
	if !conn.Stale() && !conn.Idle() {
		rollback(conn)
	}
	c.release()
}

func rollback(conn *upstream.Conn) {
	conn.SetDeadline(time.Now().Add(rollbackTimeout))
	defer conn.SetDeadline(time.Time{})
	if conn.Rollback() != nil {
		conn.MarkStale()
	}
}

// runHeld runs a batch within the open transaction.
func (c *caller) runHeld(ctx context.Context, b *batch) error {
	r := &request{batch: b, started: time.Now(), held: true, replica: c.onReplica}
	out := &outbox{socket: c.socket, write: true}
	view := c.server.opts.View()
	r.deadline = r.started.Add(view.Services[c.session.Service].GetDeadline().AsDuration())
	ctx, stop := context.WithDeadline(ctx, r.deadline)
	defer stop()
	err := c.checkHeld(view)
	if err == nil {
		err = c.exchange(ctx, c.held, b, out)
	}
	if err == nil {
		err = c.settle(ctx, r, out)
	} else {
		c.endTransaction()
	}
	return c.finish(r, out, err)
}

// checkHeld ends a transaction whose key was withdrawn or whose host lost its lease, before more of it runs.
func (c *caller) checkHeld(view *member.View) error {
	if !view.Valid(c.server.opts.Clock.Now()) {
		return reject(sqlstate.TransactionLost, "the lease of the host ended during the transaction")
	}
	return c.checkKey(view)
}

// settle ends a transaction whose batch was answered: its connection goes back and its writes are acknowledged.
func (c *caller) settle(ctx context.Context, r *request, out *outbox) error {
	conn := c.held
	if movable(r, out) {
		return nil
	}
	if !c.preparesOnly(r.batch) {
		c.lazy = nil
	}
	if r.batch.class.Effect != route.EffectNone {
		conn.MarkDirty()
	}
	if r.batch.flush || !conn.Idle() {
		return nil
	}
	position, reported := conn.TakePosition()
	// The connection goes back before the wait for replication, which may take as long as the replicas lag.
	c.endTransaction()
	// A replica reports the position that a read saw, which needs no acknowledgement.
	if !reported || r.replica {
		return nil
	}
	return trace.Wrap(c.server.opts.Ack.Acknowledge(ctx, c.session, position))
}
