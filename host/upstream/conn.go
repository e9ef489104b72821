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
	// protocolVersion is version 3.0 of the PostgreSQL protocol.
	protocolVersion = 196608
	// positionParameter is the ParameterStatus that contains the position of a commit.
	positionParameter = "tamarack.position"
	// dirtySettings marks a connection with session state that no list of settings describes.
	dirtySettings = "\x00dirty"
	// maxPrepared bounds the statements prepared on one connection. Above it the connection is cleaned with DISCARD ALL.
	maxPrepared = 512
)

// Credential is the fleet's own credential for upstreams. It contains nothing from callers.
type Credential struct {
	User     string
	Password string
	// TLS holds the authority of upstreams' certificates; nil means connections without TLS.
	TLS *certificate.Store
}

// ConnectError reports that no connection to an upstream could be opened, so no statement was sent.
type ConnectError struct {
	Address string
	Cause   error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connecting to upstream %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// Conn is one connection to an upstream. One goroutine uses it at a time, apart from Statement.Cancel.
type Conn struct {
	// raw is the TCP connection under socket. Without TLS they are the same.
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
	// cancelMutex protects running, the caller's statement that runs at the moment.
	cancelMutex sync.Mutex
	running     *Statement
	opened      time.Time
}

// Dial opens a connection to the database of a service. Its errors are ConnectErrors.
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
	if c.socket, err = startTLS(ctx, socket, address, credential.TLS); err == nil {
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
		ProtocolVersion: protocolVersion,
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

// ServerError is an ErrorResponse of an upstream to the startup or to a statement of the host itself.
type ServerError struct {
	Code    string
	Message string
}

func (e *ServerError) Error() string {
	return fmt.Sprintf("upstream answered %s: %s", e.Code, e.Message)
}

// Send queues a message until Flush sends it.
func (c *Conn) Send(message pgproto3.FrontendMessage) {
	c.frontend.Send(message)
}

// Flush sends the queued messages. After an error the upstream may have received a part of them.
func (c *Conn) Flush() error {
	return trace.Wrap(c.frontend.Flush())
}

// Receive returns the next message, which is valid until the next call. It records the transaction status and the position.
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
				if err := c.notePosition(m.Value); err != nil {
					return nil, trace.Wrap(err)
				}
			}
			continue
		case *pgproto3.NotificationResponse:
			continue
		}
		return message, nil
	}
}

// notePosition records the position that the upstream reports after a write. A write whose position cannot be read must not count
// as acknowledged, so the error ends the connection and leaves the outcome of the write unknown.
func (c *Conn) notePosition(value string) error {
	position, err := ident.ParsePosition(value)
	if err != nil {
		c.stale.Store(true)
		return trace.Wrap(err)
	}
	c.position = position
	return nil
}

// TakePosition returns and clears the last position that the upstream reported, and whether there was one.
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

// Unnamed returns the host's name for the statement that is prepared as the unnamed statement of the connection.
func (c *Conn) Unnamed() string { return c.unnamed }

// NoteUnnamed records the host's name for the statement that the upstream prepared as the unnamed one.
func (c *Conn) NoteUnnamed(name string) { c.unnamed = name }

// Dirty reports whether the connection has session state or too many prepared statements of earlier callers.
func (c *Conn) Dirty() bool { return c.settings != "" || len(c.prepared) > maxPrepared }

// MarkDirty records unknown session state, so that the next Configure cleans the connection.
func (c *Conn) MarkDirty() { c.settings = dirtySettings }

// SetDeadline bounds all reads and writes until the next call.
func (c *Conn) SetDeadline(t time.Time) { c.socket.SetDeadline(t) }

// MarkStale makes the pool close the connection instead of reusing it.
func (c *Conn) MarkStale() { c.stale.Store(true) }

// Stale reports whether the connection must not be reused.
func (c *Conn) Stale() bool { return c.stale.Load() }

// Close closes the connection, without a TLS alert that could block on an upstream that does not read.
func (c *Conn) Close() error { return trace.Wrap(c.raw.Close()) }

// Usable reports whether the connection may be reused: idle, not stale, and still open. It peeks at the socket, where neither
// data nor an end of file may be pending.
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

// Configure cleans the connection and applies a caller's session settings, unless it has exactly these already.
// joined identifies the list of settings.
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

// Rollback rolls an open transaction back, so that the connection can be reused.
func (c *Conn) Rollback() error {
	return c.Exec("ROLLBACK")
}

// Exec runs a statement of the host itself. If the upstream rejects it, the error is a ServerError.
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

// Statement is one statement of a caller on a connection. Its methods are safe for concurrent use.
type Statement struct {
	conn *Conn
}

// StartStatement returns a caller's statement that runs on the connection until its End.
func (c *Conn) StartStatement() *Statement {
	s := &Statement{conn: c}
	c.cancelMutex.Lock()
	c.running = s
	c.cancelMutex.Unlock()
	return s
}

// End marks the end of the statement. It waits for a cancel request that is being sent.
func (s *Statement) End() {
	s.conn.cancelMutex.Lock()
	s.conn.running = nil
	s.conn.cancelMutex.Unlock()
}

// Cancel sends a cancel request for the statement. It does nothing once the statement has ended, since the connection may run
// another caller's statement by then.
func (s *Statement) Cancel(ctx context.Context) error {
	c := s.conn
	c.cancelMutex.Lock()
	defer c.cancelMutex.Unlock()
	if c.running != s {
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
	socket, err := startTLS(ctx, raw, c.address, c.tls)
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
