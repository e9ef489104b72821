package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
)

const (
	// dialTimeout bounds the opening of a connection and its first answer. Between regions both take some 50 ms; an upstream
	// whose machine is down never answers.
	dialTimeout = 700 * time.Millisecond
	// tcpUserTimeout is the time without an acknowledgement after which the kernel closes a connection.
	tcpUserTimeout = 2 * time.Second
	// keepAliveIdle and keepAliveInterval configure TCP keep-alive, which detects connections that died while idle.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 1 * time.Second
	// internalTimeout bounds statements that the host issues itself; they bypass the limiter.
	internalTimeout = 700 * time.Millisecond
	// maxPrepared bounds the prepared statements of a connection; all of them are discarded when it is reached.
	maxPrepared = 64
)

// Target identifies an upstream and its address, as announced.
type Target struct {
	Service  ident.Service
	Upstream ident.Upstream
	Address  string
	Zone     ident.Zone
	Region   ident.Region
	// Born is the start time of the upstream in Unix milliseconds; it distinguishes restarts under the same id.
	Born int64
}

// BrokenError reports a connection that failed while a statement ran; the outcome of the statement is unknown.
type BrokenError struct{ Cause error }

// Error implements error.
func (e *BrokenError) Error() string { return fmt.Sprintf("the connection broke: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// UnreachableError reports an upstream to which no connection could be opened; no statement ran.
type UnreachableError struct {
	Upstream ident.Upstream
	Cause    error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no connection to %s: %v", e.Upstream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Session is the host's side of an upstream's protocol over one connection. It is not safe for concurrent use.
type Session interface {
	// Connect opens the session under the name of a team, which may be empty. It returns a statement.Failure if the upstream
	// refuses.
	Connect(service ident.Service, team ident.Team, expected ident.Upstream) (ident.Position, error)
	// Run sends a request and returns the complete answer. If a position is given, the request runs only if the upstream's log
	// has reached it. The id is empty for requests that the host issues itself. After an error the outcome is unknown and the
	// connection must not be used again.
	Run(id string, since ident.Position, request statement.Request) (statement.Result, error)
	// Status parses the answer to a statement.AskStatus, StepDown, Pause or Continue.
	Status(result statement.Result) (statement.Status, error)
}

// Protocol opens the host's side of an upstream's protocol over a connection.
type Protocol func(connection io.ReadWriter) Session

// Conn is a connection to an upstream under the name of a team. It must be used by one goroutine at a time.
type Conn struct {
	Target  Target
	Team    ident.Team
	pool    *Pool
	id      connections.ConnID
	net     net.Conn
	session Session
	// values and prepared mirror the session state on the upstream; prepared maps definitions to the names of the statements.
	values   map[string]string
	prepared map[statement.Prepared]string
	// namesUsed counts the names of prepared statements; none is used twice on the connection.
	namesUsed uint64
	state     statement.State
	broken    bool
	// ordered is set while a request that changes the upstream has no complete answer.
	ordered bool
}

// open dials an upstream and opens a session under the name of a team.
func open(ctx context.Context, protocol Protocol, target Target, team ident.Team) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
			})
			return errors.Join(err, failed)
		},
	}
	raw, err := dialer.DialContext(ctx, "tcp4", target.Address)
	if err != nil {
		return nil, &UnreachableError{target.Upstream, err}
	}
	c := &Conn{
		Target:   target,
		Team:     team,
		net:      raw,
		session:  protocol(raw),
		values:   map[string]string{},
		prepared: map[statement.Prepared]string{},
	}
	if end, found := ctx.Deadline(); found {
		_ = raw.SetDeadline(end)
	}
	if _, err := c.session.Connect(target.Service, team, target.Upstream); err != nil {
		_ = raw.Close()
		var refused *statement.Failure
		if errors.As(err, &refused) {
			return nil, refused
		}
		return nil, &UnreachableError{target.Upstream, err}
	}
	return c, nil
}

// Run sends a request and returns the upstream's answer, or a BrokenError if the outcome is unknown.
func (c *Conn) Run(id string, since ident.Position, request statement.Request, timeout time.Duration) (statement.Result, error) {
	_ = c.net.SetDeadline(time.Now().Add(timeout))
	// The connection is not used again unless the whole answer has been read, also after a panic: the rest may still arrive.
	c.broken = true
	if c.state != statement.StateIdle {
		c.pool.setIdleInTransaction(c, false)
	}
	result, err := c.session.Run(id, since, request)
	if err != nil {
		return result, &BrokenError{err}
	}
	c.broken, c.state = false, result.State
	if c.state != statement.StateIdle {
		c.pool.setIdleInTransaction(c, true)
	}
	return result, nil
}

// Status runs a request that is answered with the upstream's status. It returns a statement.Failure if the upstream refuses.
func (c *Conn) Status(request statement.Request, timeout time.Duration) (statement.Status, error) {
	_, asks := request.(statement.AskStatus)
	c.ordered = !asks
	result, err := c.Run("", ident.Position{}, request, timeout)
	if err != nil {
		return statement.Status{}, err
	}
	c.ordered = false
	if result.Failure != nil {
		return statement.Status{}, result.Failure
	}
	return c.session.Status(result)
}

// runInternal runs a request that the host issues itself, and returns a failure of the request as an error.
func (c *Conn) runInternal(since ident.Position, request statement.Request) (statement.Result, error) {
	result, err := c.Run("", since, request, internalTimeout)
	if err == nil && result.Failure != nil {
		return result, result.Failure
	}
	return result, err
}

// Begin opens a transaction. It returns a statement.Failure if the upstream refuses.
func (c *Conn) Begin() (statement.Result, error) {
	return c.runInternal(ident.Position{}, statement.Begin{})
}

// BeginRead opens a read-only transaction if the upstream's log has reached a position.
func (c *Conn) BeginRead(since ident.Position) (statement.Result, error) {
	return c.runInternal(since, statement.Begin{ReadOnly: true})
}

// Prepare sets exactly a session's values on the connection. If definition is not nil, Prepare also prepares that statement and
// returns its name on this connection. After an error no statement of the caller may run on the connection.
func (c *Conn) Prepare(values map[string]string, definition *statement.Prepared) (string, error) {
	if err := c.applyValues(values); err != nil {
		c.broken = true
		return "", err
	}
	if definition == nil {
		return "", nil
	}
	if name, found := c.prepared[*definition]; found {
		return name, nil
	}
	if len(c.prepared) >= maxPrepared && c.state == statement.StateIdle {
		if err := c.discard(); err != nil {
			return "", err
		}
		return c.Prepare(values, definition)
	}
	name := c.newName(definition)
	if _, err := c.runInternal(ident.Position{}, statement.Prepare{Name: name, Prepared: *definition}); err != nil {
		c.broken = true
		return "", err
	}
	c.prepared[*definition] = name
	return name, nil
}

// applyValues sets the session's values and discards all others.
func (c *Conn) applyValues(values map[string]string) error {
	for name := range c.values {
		if _, found := values[name]; !found {
			if err := c.discard(); err != nil {
				return err
			}
			break
		}
	}
	for name, value := range values {
		if current, found := c.values[name]; found && current == value {
			continue
		}
		if _, err := c.runInternal(ident.Position{}, statement.Set{Name: name, Value: value}); err != nil {
			return err
		}
		c.values[name] = value
	}
	return nil
}

// discard resets the values and prepared statements of the connection.
func (c *Conn) discard() error {
	if _, err := c.runInternal(ident.Position{}, statement.Discard{}); err != nil {
		c.broken = true
		return err
	}
	clear(c.values)
	clear(c.prepared)
	return nil
}

// newName returns the name for a prepared statement, whose first letter tells reads from writes in an upstream's log.
func (c *Conn) newName(definition *statement.Prepared) string {
	kind := "r"
	if definition.Writes {
		kind = "w"
	}
	c.namesUsed++
	return kind + strconv.FormatUint(c.namesUsed, 10)
}

// Release rolls back a transaction that is still open and returns the connection to its pool, which closes it if it is broken. Nothing is
// sent to an evacuated upstream; closing the connection rolls the transaction back there.
func (c *Conn) Release() {
	c.broken = c.broken || c.pool.isEvacuated()
	if c.mustRollBack() {
		if result, err := c.Run("", ident.Position{}, statement.Rollback{}, internalTimeout); err != nil || result.State != statement.StateIdle {
			c.broken = true
		}
	}
	c.broken = c.broken || c.hasLargeState()
	c.pool.put(c)
}

// mustRollBack reports whether Release has to end an open transaction. A connection that is closed instead ends its transaction itself.
func (c *Conn) mustRollBack() bool {
	return !c.broken && !c.pool.isEvacuated() && c.state != statement.StateIdle
}

// alive reports whether an idle connection is still open and has no unread data.
func (c *Conn) alive() bool {
	raw, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var buffer [1]byte
	err = control.Control(func(fd uintptr) {
		_, _, received := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		// Data on an idle connection belongs to no request, so only an empty buffer counts as alive.
		open = errors.Is(received, unix.EAGAIN)
	})
	return err == nil && open
}

// close closes the connection. An order to step down, pause or continue that has no answer is not delivered any more if the network holds it up:
// it would be carried out long after it was given up. Statements end in the orderly way, since a reset is not repeated: an upstream that is
// cut off would miss it and keep the connection, which counts against its limit.
func (c *Conn) close() {
	if c.ordered {
		expiry.ResetOnClose(c.net)
	}
	_ = c.net.Close()
}
