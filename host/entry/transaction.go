package entry

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/fleet/route"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/upstream"
)

// answerLocally answers a batch that needs no upstream, and reports whether it did.
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
	case c.deferredBegin == nil && (b.single(route.KindBegin) || b.single(route.KindBeginReadOnly)):
		c.deferredBegin = &beginStatement{sql: b.query, readOnly: b.class.Kind == route.KindBeginReadOnly}
		return true, c.complete("BEGIN")
	case c.deferredBegin != nil && b.single(route.KindCommit):
		c.deferredBegin = nil
		return true, c.complete("COMMIT")
	case b.single(route.KindRollback):
		c.deferredBegin = nil
		return true, c.complete("ROLLBACK")
	case c.deferredBegin == nil && b.class.Effect != route.EffectNone:
		return true, c.answerSession(b)
	}
	return false, nil
}

// answerAborted answers a batch within a rejected transaction. Like PostgreSQL it ignores statements until the transaction
// ends, and answers a commit with ROLLBACK.
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

// answerSession answers a statement on session state. State that the host cannot apply to another connection is not
// supported.
func (c *caller) answerSession(b *batch) error {
	if !b.single(route.KindSessionState) {
		return c.refuse(sqlstate.Unsupported)
	}
	tag, ok := c.sessionStatement(b.query)
	switch {
	case !ok:
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

func (c *caller) setTxConn(choice Choice, conn *upstream.Conn) {
	c.txConn, c.txTarget = conn, choice.Target
	c.onReplica = choice.Replica
	c.releaseConn = func() { c.server.opts.Pool.Release(choice.Target, conn) }
}

// endTransaction returns the connection of the transaction to the pool. A transaction that is still open is rolled back.
func (c *caller) endTransaction() {
	conn := c.txConn
	if conn == nil {
		return
	}
	c.txConn = nil
	if c.unsynced {
		conn.MarkStale()
		c.unsynced = false
	}
	if !conn.Stale() && !conn.Idle() {
		rollback(conn)
	}
	c.releaseConn()
}

func rollback(conn *upstream.Conn) {
	conn.SetDeadline(time.Now().Add(rollbackTimeout))
	defer conn.SetDeadline(time.Time{})
	if conn.Rollback() != nil {
		conn.MarkStale()
	}
}

// runInTransaction runs a batch within the open transaction.
func (c *caller) runInTransaction(ctx context.Context, b *batch) error {
	r := &request{batch: b, started: time.Now(), inTransaction: true, replica: c.onReplica}
	out := &outbox{socket: c.socket, write: true}
	view := c.server.opts.View()
	r.deadline = r.started.Add(view.Services[c.session.Service].GetDeadline().AsDuration())
	var stop context.CancelFunc
	r.whole, stop = context.WithDeadline(ctx, r.deadline)
	defer stop()
	err := c.check(view)
	if err == nil {
		err = c.exchange(r.whole, c.txConn, b, out)
	}
	if err == nil {
		err = c.completeBatch(r, out)
	} else {
		c.endTransaction()
	}
	return c.finish(r, out, err)
}

// completeBatch is called after the upstream has answered a batch. If the batch ended the transaction, completeBatch returns the
// connection to the pool and waits until the writes are acknowledged.
func (c *caller) completeBatch(r *request, out *outbox) error {
	conn := c.txConn
	if canRetryOnPrimary(r, out) {
		return nil
	}
	if !c.preparesOnly(r.batch) {
		c.deferredBegin = nil
	}
	if r.batch.class.Effect != route.EffectNone {
		conn.MarkDirty()
	}
	if r.batch.flush || !conn.Idle() {
		return nil
	}
	position, reported := conn.TakePosition()
	// The connection is returned before the wait for replication, which may take as long as the replicas lag.
	c.endTransaction()
	// A replica reports the position that a read observed, which needs no acknowledgement.
	if !reported || r.replica {
		return nil
	}
	return trace.Wrap(c.server.opts.Ack.Acknowledge(r.whole, c.session, position))
}
