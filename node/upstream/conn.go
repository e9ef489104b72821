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

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
)

const (
	// dialTimeout bounds the opening of a connection and its first answer. Between regions both take some 50 ms; an
	// upstream whose machine is dark never answers.
	dialTimeout = 700 * time.Millisecond
	// tcpUserTimeout is the time without acknowledgement after which the system gives a connection up.
	tcpUserTimeout = 2 * time.Second
	// keepAliveIdle and keepAliveEvery find connections that went silent while they were not used.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 1 * time.Second
	// internalTimeout bounds statements that the host issues itself; they need no room on the upstream.
	internalTimeout = 700 * time.Millisecond
	// maxPrepared bounds the prepared statements of a connection; beyond it they are discarded together.
	maxPrepared = 64
)

// Target is an upstream as announced.
type Target struct {
	Service  ident.Service
	Upstream ident.Upstream
	Address  string
	Zone     ident.Zone
	Region   ident.Region
	// Born tells starts of one upstream apart.
	Born int64
}

// BrokenError reports a connection that failed while a statement ran, so that its outcome is not known.
type BrokenError struct{ Cause error }

// Error implements error.
func (e *BrokenError) Error() string { return fmt.Sprintf("the connection broke: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// UnreachableError reports an upstream to which no connection could be opened; nothing ran.
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

// Session is the host's side of an upstream's protocol over one connection. It is for one goroutine.
type Session interface {
	// Connect opens the session under the name of a team, or of none; a statement.Failure says that the upstream refuses.
	Connect(service ident.Service, team ident.Team, expected ident.Upstream) (ident.Position, error)
	// Run sends a request, to run only on a log that holds a position where one is given, and returns the complete answer. The id
	// is empty for requests of the host's own. After an error the connection can't be used and the outcome is not known.
	Run(id string, since ident.Position, request statement.Request) (statement.Result, error)
	// Status reads the answer to AskStatus and StepDown.
	Status(result statement.Result) (statement.Status, error)
}

// Protocol opens the host's side of an upstream's protocol over a connection.
type Protocol func(connection io.ReadWriter) Session

// Conn is a connection to an upstream under the name of a team. It belongs to one goroutine at a time.
type Conn struct {
	Target  Target
	Team    ident.Team
	pool    *Pool
	net     net.Conn
	session Session
	// values and prepared are the session state on the upstream; prepared maps definitions to names there.
	values   map[string]string
	prepared map[statement.Prepared]string
	state    statement.State
	broken   bool
}

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

// Run sends a request and returns the upstream's answer; a BrokenError says that the outcome is not known.
func (c *Conn) Run(id string, since ident.Position, request statement.Request, timeout time.Duration) (statement.Result, error) {
	_ = c.net.SetDeadline(time.Now().Add(timeout))
	result, err := c.session.Run(id, since, request)
	if err != nil {
		c.broken = true
		return result, &BrokenError{err}
	}
	c.state = result.State
	return result, nil
}

// Status runs a request that is answered with the upstream's status. A statement.Failure says that the upstream refused it.
func (c *Conn) Status(request statement.Request, timeout time.Duration) (statement.Status, error) {
	result, err := c.Run("", ident.Position{}, request, timeout)
	switch {
	case err != nil:
		return statement.Status{}, err
	case result.Failure != nil:
		return statement.Status{}, result.Failure
	}
	return c.session.Status(result)
}

// runInternal runs a request of the host's own that must succeed.
func (c *Conn) runInternal(since ident.Position, request statement.Request) (statement.Result, error) {
	result, err := c.Run("", since, request, internalTimeout)
	if err == nil && result.Failure != nil {
		return result, result.Failure
	}
	return result, err
}

// Begin opens a transaction. A statement.Failure says that the upstream refused it.
func (c *Conn) Begin() (statement.Result, error) {
	return c.runInternal(ident.Position{}, statement.Begin{})
}

// BeginRead opens a transaction without writes on a log that holds a position.
func (c *Conn) BeginRead(since ident.Position) (statement.Result, error) {
	return c.runInternal(since, statement.Begin{ReadOnly: true})
}

// Prepare leaves exactly a session's values in force; definition, when it is not nil, is the prepared statement that will
// be executed, whose name on this connection is returned. After an error nothing of the caller's may run on the connection.
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
	name := preparedName(*definition)
	if _, err := c.runInternal(ident.Position{}, statement.Prepare{Name: name, Prepared: *definition}); err != nil {
		c.broken = true
		return "", err
	}
	c.prepared[*definition] = name
	return name, nil
}

// applyValues leaves exactly the session's values in force.
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

func (c *Conn) discard() error {
	if _, err := c.runInternal(ident.Position{}, statement.Discard{}); err != nil {
		c.broken = true
		return err
	}
	clear(c.values)
	clear(c.prepared)
	return nil
}

// preparedName returns the name of a definition on every connection.
func preparedName(p statement.Prepared) string {
	kind := "r"
	if p.Writes {
		kind = "w"
	}
	return kind + strconv.FormatUint(xxhash.Sum64String(p.Shape), 36)
}

// Release ends a transaction that is still open and gives the connection back, or closes it when it cannot be used any more.
func (c *Conn) Release() {
	if !c.broken && c.state != statement.StateIdle {
		if result, err := c.Run("", ident.Position{}, statement.Rollback{}, internalTimeout); err != nil || result.State != statement.StateIdle {
			c.broken = true
		}
	}
	c.pool.put(c)
}

// alive reports whether the upstream has left the idle connection open.
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
		// Bytes on an idle connection answer nothing.
		open = errors.Is(received, unix.EAGAIN)
	})
	return err == nil && open
}

func (c *Conn) close() {
	_ = c.net.Close()
}
