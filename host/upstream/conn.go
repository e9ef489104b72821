package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// protocol is version 3.0 of the PostgreSQL protocol.
	protocol = 196608
	// positionParameter is the ParameterStatus that carries the position of a commit.
	positionParameter = "tamarack.position"
	// dirty stands for session state that no list of settings describes.
	dirty = "\x00dirty"
	// maxPrepared bounds the statements prepared on one connection; beyond it DISCARD ALL drops them.
	maxPrepared = 512
)

// Credential is what the fleet shows to upstreams; it has nothing of any caller.
type Credential struct {
	User     string
	Password string
	// TLS holds the authority of upstreams' certificates; nil means connections without TLS.
	TLS *certificate.Store
}

// ConnectError says that no connection to an upstream could be opened, so that nothing was sent.
type ConnectError struct {
	Address string
	Cause   error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connecting to upstream %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// Conn is one connection to an upstream; one goroutine uses it at a time.
type Conn struct {
	// raw is the TCP connection under socket, which is the same one without TLS.
	raw      net.Conn
	socket   net.Conn
	tls      *certificate.Store
	frontend *pgproto3.Frontend
	address  string
	pid      uint32
	secret   []byte
	prepared map[string]bool
	unnamed  string
	settings string
	status   byte
	position ident.Position
	stale    atomic.Bool
	cancels  sync.Mutex
	running  bool
	opened   time.Time
}

// Dial opens a connection to the database of a service, or returns a ConnectError.
func Dial(ctx context.Context, address string, service ident.Service, credential Credential) (*Conn, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.Wrap(&ConnectError{address, err})
	}
	c := &Conn{
		raw:      socket,
		tls:      credential.TLS,
		address:  address,
		prepared: make(map[string]bool),
		opened:   time.Now(),
	}
	stop := context.AfterFunc(ctx, func() { socket.SetDeadline(time.Now()) })
	if c.socket, err = secure(ctx, socket, address, credential.TLS); err == nil {
		c.frontend = pgproto3.NewFrontend(c.socket, c.socket)
		err = c.start(service, credential)
	}
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		socket.Close()
		return nil, trace.Wrap(&ConnectError{address, err})
	}
	return c, nil
}

func (c *Conn) start(service ident.Service, credential Credential) error {
	c.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: protocol,
		Parameters:      map[string]string{"user": credential.User, "database": string(service)},
	})
	if err := c.frontend.Flush(); err != nil {
		return trace.Wrap(err)
	}
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			return trace.Wrap(err)
		}
		switch m := message.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			c.frontend.Send(&pgproto3.PasswordMessage{Password: credential.Password})
			if err := c.frontend.Flush(); err != nil {
				return trace.Wrap(err)
			}
		case *pgproto3.BackendKeyData:
			c.pid = m.ProcessID
			c.secret = m.SecretKey
		case *pgproto3.ErrorResponse:
			return trace.Wrap(&ServerError{Code: m.Code, Message: m.Message})
		case *pgproto3.ReadyForQuery:
			c.status = m.TxStatus
			return nil
		}
	}
}

// ServerError is an ErrorResponse of an upstream outside a caller's statement.
type ServerError struct {
	Code    string
	Message string
}

func (e *ServerError) Error() string {
	return fmt.Sprintf("upstream answered %s: %s", e.Code, e.Message)
}

// Send queues messages; nothing reaches the upstream before Flush.
func (c *Conn) Send(message pgproto3.FrontendMessage) {
	c.frontend.Send(message)
}

// Flush writes what Send queued; after an error part of it may have reached the upstream.
func (c *Conn) Flush() error {
	return trace.Wrap(c.frontend.Flush())
}

// Receive returns the next message, valid until the next call; it keeps track of status and position.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			c.stale.Store(true)
			return nil, trace.Wrap(err)
		}
		switch m := message.(type) {
		case *pgproto3.ReadyForQuery:
			c.status = m.TxStatus
		case *pgproto3.ParameterStatus:
			if m.Name == positionParameter {
				c.notePosition(m.Value)
			}
			continue
		case *pgproto3.NotificationResponse:
			continue
		}
		return message, nil
	}
}

func (c *Conn) notePosition(value string) {
	position, err := ident.ParsePosition(value)
	if err != nil {
		// A position that cannot be read must not let a write pass as acknowledged.
		c.stale.Store(true)
		return
	}
	c.position = position
}

// TakePosition returns the position that the upstream reported since the last call, and whether there was one.
func (c *Conn) TakePosition() (ident.Position, bool) {
	position := c.position
	c.position = ident.Position{}
	return position, position != ident.Position{}
}

// Idle reports whether the connection is outside a transaction.
func (c *Conn) Idle() bool { return c.status == 'I' }

// Status returns the transaction status of the last ReadyForQuery.
func (c *Conn) Status() byte { return c.status }

// Prepared reports whether a named statement is prepared on the connection.
func (c *Conn) Prepared(name string) bool { return c.prepared[name] }

// NotePrepared records that the upstream prepared a named statement.
func (c *Conn) NotePrepared(name string) { c.prepared[name] = true }

// Unnamed returns the name under which the host knows the unnamed statement of the connection.
func (c *Conn) Unnamed() string { return c.unnamed }

// NoteUnnamed records what the unnamed statement holds.
func (c *Conn) NoteUnnamed(name string) { c.unnamed = name }

// Dirty reports whether the connection has session state, or too many prepared statements, of earlier callers.
func (c *Conn) Dirty() bool { return c.settings != "" || len(c.prepared) > maxPrepared }

// MarkDirty makes the next Configure clean the connection.
func (c *Conn) MarkDirty() { c.settings = dirty }

// SetDeadline bounds all reads and writes until the next call.
func (c *Conn) SetDeadline(t time.Time) { c.socket.SetDeadline(t) }

// MarkStale makes the pool close the connection instead of using it again.
func (c *Conn) MarkStale() { c.stale.Store(true) }

// Stale reports whether the connection must not be used again.
func (c *Conn) Stale() bool { return c.stale.Load() }

// Close closes the connection, without a TLS alert that could block on an upstream that does not read.
func (c *Conn) Close() error { return trace.Wrap(c.raw.Close()) }

// Usable reports whether an idle connection is still open, by looking for an end of file without reading.
func (c *Conn) Usable() bool {
	if c.stale.Load() || !c.Idle() {
		return false
	}
	raw, err := c.raw.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

// Configure cleans the connection and runs the session settings that a caller made.
func (c *Conn) Configure(settings []string, joined string) error {
	if c.settings == joined && len(c.prepared) <= maxPrepared {
		return nil
	}
	c.prepared = make(map[string]bool)
	c.unnamed = ""
	c.settings = ""
	for _, sql := range append([]string{"DISCARD ALL"}, settings...) {
		if err := c.Exec(sql); err != nil {
			c.stale.Store(true)
			return trace.Wrap(err)
		}
	}
	c.settings = joined
	return nil
}

// Rollback ends an open transaction so that the connection can be used again.
func (c *Conn) Rollback() error {
	return c.Exec("ROLLBACK")
}

// Exec runs a statement of the host itself and returns its ServerError, if any.
func (c *Conn) Exec(sql string) error {
	c.Send(&pgproto3.Query{String: sql})
	if err := c.Flush(); err != nil {
		c.stale.Store(true)
		return err
	}
	var failed error
	for {
		message, err := c.Receive()
		if err != nil {
			return err
		}
		switch m := message.(type) {
		case *pgproto3.ErrorResponse:
			failed = trace.Wrap(&ServerError{Code: m.Code, Message: m.Message})
		case *pgproto3.ReadyForQuery:
			return failed
		}
	}
}

// Begin marks the start of a caller's statement, so that Cancel has something to cancel.
func (c *Conn) Begin() {
	c.cancels.Lock()
	c.running = true
	c.cancels.Unlock()
}

// End marks the end of a caller's statement; it waits for a cancel request that is on its way.
func (c *Conn) End() {
	c.cancels.Lock()
	c.running = false
	c.cancels.Unlock()
}

// Cancel asks the upstream to cancel the running statement; without one it does nothing.
func (c *Conn) Cancel(ctx context.Context) error {
	c.cancels.Lock()
	defer c.cancels.Unlock()
	if !c.running {
		return nil
	}
	// The upstream may handle the request late, so the connection must not run another caller's statement.
	c.stale.Store(true)
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return trace.Wrap(&ConnectError{c.address, err})
	}
	defer raw.Close()
	if deadline, ok := ctx.Deadline(); ok {
		raw.SetDeadline(deadline)
	}
	socket, err := secure(ctx, raw, c.address, c.tls)
	if err != nil {
		return trace.Wrap(&ConnectError{c.address, err})
	}
	buf, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = socket.Write(buf)
	return trace.Wrap(err)
}
