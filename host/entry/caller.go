package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/route"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/gate"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/upstream"
)

const (
	// maxViewWait bounds a new caller's wait for a valid copy of the control state, just after the start of the host.
	maxViewWait = 5 * time.Second
	// maxMessage bounds one message of a caller in bytes, so that a length field cannot exhaust the host's memory.
	maxMessage = 8 << 20
	// maxBatch bounds the number of messages that a caller may send before a Sync.
	maxBatch = 4096
	// lingerTime is how long the host keeps reading after its last answer, so that a TCP reset does not discard that answer.
	lingerTime = 100 * time.Millisecond
)

// caller serves one connection of a caller.
type caller struct {
	server *Server
	// raw is the TCP connection under socket. Without TLS they are the same. Other goroutines use raw only.
	raw     *gate.Session
	socket  net.Conn
	backend *pgproto3.Backend
	meter   *meter
	pid     uint32
	secret  []byte
	session ident.Session
	route   member.Route
	// permit is the key that the caller was admitted with; nil before that and on open routes.
	permit atomic.Pointer[permit]
	// allowed ends when the key of permit no longer belongs to the caller's team; revoke ends it.
	allowed context.Context
	revoke  context.CancelFunc

	statements map[string]*statement
	portals    map[string]*statement
	// registered holds the names of the statements that the current batch prepared. They are removed when the batch fails.
	registered []string
	settings   settings
	// kept is what statements, portals and settings have taken of the budget; it is up to date unless stateChanged is set.
	kept         budget.Bytes
	stateChanged bool

	// deferredBegin is a BEGIN that the host answered itself and sends to an upstream with the next statement.
	deferredBegin *beginStatement
	// aborted is set when a transaction is rejected before it has reached an upstream, until the caller ends it.
	aborted bool
	// txConn is the upstream connection of the open transaction, to txTarget; releaseConn returns it to the pool.
	txConn      *upstream.Conn
	txTarget    member.Target
	releaseConn func()
	// onReplica is set while txConn is a connection to a replica.
	onReplica bool
	// unsynced is set while messages were sent on txConn without their Sync.
	unsynced bool
	// skipToSync is set between an error in a flushed batch and the next Sync.
	skipToSync bool
	// active is the statement that runs at the moment, for cancel requests.
	active atomic.Pointer[upstream.Statement]
	// idle is set while the caller waits outside a transaction, so that a shutdown may close its connection. resting is set while it
	// waits within one on an upstream, which ends with its key.
	idle    atomic.Bool
	resting atomic.Bool
}

// permit is a key and the team that it belonged to when the caller was admitted.
type permit struct {
	key  ident.KeyID
	team ident.Team
}

// beginStatement is a BEGIN that has not been sent to an upstream yet.
type beginStatement struct {
	sql      string
	readOnly bool
}

func (c *caller) serve(ctx context.Context) {
	defer c.close()
	// A caller that is not authenticated yet must not delay a shutdown.
	c.idle.Store(true)
	err := c.start(ctx)
	c.idle.Store(false)
	if err != nil {
		if c.server.refusesCallers() {
			err = errShutdown
		}
		c.reject(err)
		return
	}
	for {
		b, err := c.receive()
		if err != nil {
			c.endReceive(err)
			return
		}
		if b == nil {
			return
		}
		c.raw.Received()
		if err := c.run(ctx, b); err != nil {
			c.reject(err)
			return
		}
		if err := c.keepState(); err != nil {
			c.reject(err)
			return
		}
		c.meter.settle()
	}
}

// keepState takes what the session keeps after a batch from the budget. An error closes the connection.
func (c *caller) keepState() error {
	if !c.stateChanged {
		return nil
	}
	c.stateChanged = false
	if c.status() == 'I' {
		// Portals end with their transaction.
		clear(c.portals)
	}
	cost, entries := c.stateCost()
	if limits := c.server.opts.Limits; cost > limits.State || entries > limits.Entries {
		c.raw.CountClosed(reasonState)
		return reject(sqlstate.LimitExceeded, "the statements and settings of the session are at their limit")
	}
	if err := c.raw.Take(int(max(0, cost-c.kept))); err != nil {
		return reject(sqlstate.LimitExceeded, "%v", err)
	}
	c.raw.Give(int(max(0, c.kept-cost)))
	c.kept = cost
	return nil
}

// reasonState and reasonMessageUnfinished count callers that are disconnected at a limit.
const (
	reasonState             = "values_and_prepared"
	reasonMessageUnfinished = "message_unfinished"
)

// receive collects the next batch. It returns nil after a Terminate message.
func (c *caller) receive() (*batch, error) {
	b := &batch{}
	for {
		message, err := c.next(len(b.messages) == 0)
		if err != nil {
			return nil, err
		}
		if c.skipToSync {
			if _, isSync := message.(*pgproto3.Sync); !isSync {
				continue
			}
		}
		ended, err := c.collect(b, message)
		if err != nil || ended {
			return b, err
		}
		if _, isTerminate := message.(*pgproto3.Terminate); isTerminate {
			return nil, nil
		}
		if len(b.messages) > maxBatch {
			return nil, reject(sqlstate.LimitExceeded, "more than %d messages before a Sync", maxBatch)
		}
	}
}

// next receives one message. first is set for the first message of a batch; outside a transaction, a shutdown may interrupt
// the wait for it.
func (c *caller) next(first bool) (pgproto3.FrontendMessage, error) {
	if first && c.txConn == nil && c.deferredBegin == nil && !c.aborted {
		c.idle.Store(true)
		if c.server.refusesCallers() {
			return nil, errShutdown
		}
		defer c.idle.Store(false)
	}
	if first && c.txConn != nil {
		c.resting.Store(true)
		defer c.resting.Store(false)
		if err := c.checkKey(c.server.opts.View()); err != nil {
			return nil, err
		}
	}
	if first {
		c.raw.Waiting(c.status() != 'I')
	}
	message, err := c.receiveMessage()
	if err != nil {
		return nil, err
	}
	return clone(message)
}

// receiveMessage receives one message, which is valid until the next call.
func (c *caller) receiveMessage() (pgproto3.FrontendMessage, error) {
	message, err := c.backend.Receive()
	if err == nil {
		err = c.meter.received()
	}
	var refused *budget.RefusedError
	if errors.As(err, &refused) {
		return nil, reject(sqlstate.LimitExceeded, "%v", refused)
	}
	return message, trace.Wrap(err)
}

// clone copies a message, since the backend reuses its memory. It clears the original, which would otherwise hold the caller's last text
// for as long as the caller is idle.
func clone(message pgproto3.FrontendMessage) (pgproto3.FrontendMessage, error) {
	var copied pgproto3.FrontendMessage
	switch m := message.(type) {
	case *pgproto3.Query:
		query := *m
		*m = pgproto3.Query{}
		return &query, nil
	case *pgproto3.Parse:
		parse := *m
		*m = pgproto3.Parse{}
		return &parse, nil
	case *pgproto3.Bind:
		copied = &pgproto3.Bind{}
		defer func() { *m = pgproto3.Bind{} }()
	case *pgproto3.Describe:
		copied = &pgproto3.Describe{}
	case *pgproto3.Execute:
		copied = &pgproto3.Execute{}
	case *pgproto3.Close:
		copied = &pgproto3.Close{}
	default:
		return message, nil
	}
	buf, err := message.Encode(nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	const header = 5 // type byte and length
	return copied, trace.Wrap(copied.Decode(buf[header:]))
}

// collect adds a message to a batch and reports whether the batch has ended.
func (c *caller) collect(b *batch, message pgproto3.FrontendMessage) (bool, error) {
	switch m := message.(type) {
	case *pgproto3.Query:
		b.query = m.String
		b.addClass(route.Classify(m.String))
		b.add(m, nil)
		return true, nil
	case *pgproto3.Sync:
		b.add(m, nil)
		return true, nil
	case *pgproto3.Flush:
		b.flush = true
		b.add(m, nil)
		return true, nil
	case *pgproto3.Parse:
		s := newStatement(m.Query, m.ParameterOIDs)
		c.statements[m.Name] = s
		c.stateChanged = true
		c.registered = append(c.registered, m.Name)
		b.add(m, s)
	case *pgproto3.Bind:
		s := c.statements[m.PreparedStatement]
		if s == nil && c.txConn == nil {
			return false, c.unknownStatement(b, m.PreparedStatement)
		}
		c.portals[m.DestinationPortal] = s
		c.stateChanged = true
		b.add(m, s)
	case *pgproto3.Describe:
		return false, c.collectDescribe(b, m)
	case *pgproto3.Execute:
		if s := c.portals[m.Portal]; s != nil {
			b.addClass(s.class)
		} else {
			b.addClass(route.Class{Kind: route.KindWrite, Statements: 1})
		}
		b.add(m, nil)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.statements, m.Name)
		}
		b.add(m, nil)
	case *pgproto3.Terminate:
		return false, nil
	default:
		return false, reject(sqlstate.ProtocolViolation, "message %T", m)
	}
	return false, nil
}

func (c *caller) collectDescribe(b *batch, m *pgproto3.Describe) error {
	if m.ObjectType != 'S' {
		b.add(m, nil)
		return nil
	}
	s := c.statements[m.Name]
	if s == nil && c.txConn == nil {
		return c.unknownStatement(b, m.Name)
	}
	b.add(m, s)
	return nil
}

// unknownStatement answers a reference to a statement that does not exist and skips to the next Sync.
// Within a transaction the upstream answers instead, since its error also fails the transaction.
func (c *caller) unknownStatement(b *batch, name string) error {
	rejection := sqlstate.New(sqlstate.UnknownStatement, &causeError{"statement " + name})
	c.server.reportRejection(c.session, rejection)
	if err := c.send(response(rejection)); err != nil {
		return err
	}
	*b = batch{}
	c.skipToSync = true
	return nil
}

func (c *caller) send(messages ...pgproto3.BackendMessage) error {
	for _, message := range messages {
		c.backend.Send(message)
	}
	return trace.Wrap(c.backend.Flush())
}

func (c *caller) status() byte {
	switch {
	case c.txConn != nil:
		return c.txConn.Status()
	case c.aborted:
		return 'E'
	case c.deferredBegin != nil:
		return 'T'
	}
	return 'I'
}

func (c *caller) ready() *pgproto3.ReadyForQuery {
	return &pgproto3.ReadyForQuery{TxStatus: c.status()}
}

// endReceive answers an error of receive, unless the caller closed the connection.
func (c *caller) endReceive(err error) {
	switch {
	case c.raw.Overdue():
		c.raw.CountClosed(reasonMessageUnfinished)
		c.reject(reject(sqlstate.LimitExceeded, "a message has not arrived in time"))
	case c.server.refusesCallers() && c.txConn == nil:
		c.reject(errShutdown)
	case sqlstate.From(err) != nil:
		c.reject(err)
	case c.allowed.Err() != nil && c.txConn != nil:
		c.reject(errRevoked)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
	default:
		c.reject(reject(sqlstate.ProtocolViolation, "%v", err))
	}
}

// reject sends a final error before the connection closes.
func (c *caller) reject(err error) {
	rejection := sqlstate.From(err)
	if rejection == nil {
		return
	}
	c.server.reportRejection(c.session, rejection)
	c.forget()
	last := response(rejection)
	last.Severity = string(sqlstate.Fatal)
	last.SeverityUnlocalized = last.Severity
	c.socket.SetDeadline(time.Now().Add(lingerTime))
	if c.send(last) != nil {
		return
	}
	if half, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c.socket)
}

// forget drops what the session holds, which must not stay in memory after its account is closed while the last answer is being sent.
func (c *caller) forget() {
	c.statements, c.portals, c.settings = nil, nil, settings{}
	c.backend = newBackend(c.socket, &meter{from: c.socket, session: c.raw})
}

func (c *caller) close() {
	c.revoke()
	c.endTransaction()
	c.server.unregister(c)
	c.socket.Close()
}
