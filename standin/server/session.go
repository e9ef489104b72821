package server

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/statement"
)

const (
	// maxMessage is the greatest length of a message body in bytes.
	maxMessage = 4 << 20
	// answerLimit bounds the time that one caller who does not read can hold up a fence.
	answerLimit = 200 * time.Millisecond
	// startupLimit is the time from connecting to the password.
	startupLimit = 10 * time.Second
	secretLength = 4
)

// errLost ends a connection whose commit must not be answered any more.
var errLost = errors.New("the term ended before the commit was answered")

// session is one connection of a caller.
type session struct {
	id      uint32
	secret  []byte
	server  *Server
	conn    net.Conn
	backend *pgproto3.Backend

	statements map[string]*prepared
	portals    map[string]*portal
	settings   map[string]string
	tx         *ledger.Transaction
	// failed is set in a transaction after an error, skip after an error until the next Sync.
	failed, skip bool
	// unsent is the commit whose answer is in the buffer.
	unsent *ledger.Done
	// read is set when a read ran since the last ReadyForQuery.
	read bool
	// counted is set once the connection counts against the limit.
	counted bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

func newSession(s *Server, conn net.Conn) *session {
	secret := make([]byte, secretLength)
	if _, err := rand.Read(secret); err != nil {
		panic(err) // crypto/rand does not fail.
	}
	backend := pgproto3.NewBackend(conn, conn)
	backend.SetMaxBodyLen(maxMessage)
	return &session{
		server: s, conn: conn, backend: backend, secret: secret,
		statements: map[string]*prepared{}, portals: map[string]*portal{}, settings: map[string]string{},
	}
}

// run serves the connection until it ends.
func (ss *session) run() {
	startup, ok := ss.startup()
	if !ok {
		return
	}
	replication := startup.Parameters["replication"] != ""
	if !replication {
		ss.counted = true
	}
	if !replication && ss.server.open.Add(1) > int64(ss.server.options.Connections) {
		ss.fatal("53300", "sorry, too many clients already")
		return
	}
	if !ss.authenticate(startup) {
		return
	}
	if replication {
		ss.replicate(startup.Parameters["application_name"])
		return
	}
	for {
		msg, err := ss.backend.Receive()
		if err != nil {
			return
		}
		ss.server.faults.waitCallers(ss.server.done)
		if err := ss.handle(msg); err != nil {
			return
		}
	}
}

// startup answers requests for encryption and cancellation, and returns the startup message.
func (ss *session) startup() (*pgproto3.StartupMessage, bool) {
	_ = ss.conn.SetReadDeadline(time.Now().Add(startupLimit))
	for {
		msg, err := ss.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, false
		}
		ss.server.faults.waitCallers(ss.server.done)
		switch msg := msg.(type) {
		case *pgproto3.StartupMessage:
			return msg, true
		case *pgproto3.CancelRequest:
			ss.server.cancel(msg.ProcessID, msg.SecretKey)
			return nil, false
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := ss.conn.Write([]byte{'N'}); err != nil {
				return nil, false
			}
		default:
			return nil, false
		}
	}
}

func (ss *session) authenticate(startup *pgproto3.StartupMessage) bool {
	options := ss.server.options
	if err := ss.server.sleep(context.Background(), options.Opening); err != nil {
		return false
	}
	ss.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := ss.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil || ss.backend.Flush() != nil {
		return false
	}
	msg, err := ss.backend.Receive()
	if err != nil {
		return false
	}
	ss.server.faults.waitCallers(ss.server.done)
	password, ok := msg.(*pgproto3.PasswordMessage)
	right := ok && subtle.ConstantTimeCompare([]byte(password.Password), []byte(options.Password)) == 1
	if !right || startup.Parameters["user"] != options.User {
		ss.fatal("28P01", "password authentication failed for user \""+startup.Parameters["user"]+"\"")
		return false
	}
	_ = ss.conn.SetReadDeadline(time.Time{})
	ss.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "17.0 (tamarack-standin)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"application_name", startup.Parameters["application_name"]},
	} {
		ss.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	ss.backend.Send(&pgproto3.BackendKeyData{ProcessID: ss.id, SecretKey: ss.secret})
	return ss.ready() == nil
}

func (ss *session) handle(msg pgproto3.FrontendMessage) error {
	if ss.skip {
		switch msg.(type) {
		case *pgproto3.Sync, *pgproto3.Terminate:
		default:
			return nil
		}
	}
	switch msg := msg.(type) {
	case *pgproto3.Query:
		if err := ss.query(msg.String); err != nil {
			ss.fail(err)
		}
		return ss.ready()
	case *pgproto3.Parse:
		ss.extended(ss.parse(msg))
	case *pgproto3.Bind:
		ss.extended(ss.bind(msg))
	case *pgproto3.Describe:
		ss.extended(ss.describe(msg))
	case *pgproto3.Execute:
		ss.extended(ss.execute(msg))
	case *pgproto3.Close:
		ss.closeObject(msg)
	case *pgproto3.Flush:
		return ss.flush()
	case *pgproto3.Sync:
		ss.skip = false
		if ss.tx == nil {
			clear(ss.portals)
		}
		return ss.ready()
	case *pgproto3.Terminate:
		return net.ErrClosed
	default:
		ss.fatal("08P01", "unexpected message")
		return net.ErrClosed
	}
	return nil
}

// extended reports an error of the extended protocol and skips messages until the next Sync.
func (ss *session) extended(err error) {
	if err != nil {
		ss.fail(err)
		ss.skip = true
	}
}

func (ss *session) fail(err error) {
	code := "XX000"
	var failure *statement.Error
	message := err.Error()
	if errors.As(err, &failure) {
		code, message = failure.Code, failure.Message
	}
	ss.failed = ss.tx != nil
	ss.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
}

func (ss *session) fatal(code, message string) {
	ss.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message})
	_ = ss.backend.Flush()
}

// ready ends a reply: the position that the caller may rely on, the state of the transaction, and the buffer is sent.
func (ss *session) ready() error {
	status := byte('I')
	if ss.tx != nil {
		status = 'T'
	}
	if ss.failed {
		status = 'E'
	}
	switch {
	case ss.unsent != nil && ss.unsent.Wrote:
		ss.sendPosition(ss.unsent.Position.String())
	case ss.read && !ss.server.ledger.State().Primary:
		ss.sendPosition(ss.server.ledger.Position().String())
	}
	ss.read = false
	ss.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return ss.flush()
}

func (ss *session) sendPosition(position string) {
	ss.backend.Send(&pgproto3.ParameterStatus{Name: "tamarack.position", Value: position})
}

// flush sends the buffer. The answer of a commit is sent only if the term of the commit still stands.
func (ss *session) flush() error {
	ss.server.faults.waitFreeze(ss.server.done)
	if ss.unsent == nil {
		return ss.backend.Flush()
	}
	ss.server.gate.RLock()
	defer ss.server.gate.RUnlock()
	if ss.server.ledger.State().Term != ss.unsent.Term {
		ss.conn.Close()
		return errLost
	}
	ss.unsent = nil
	_ = ss.conn.SetWriteDeadline(time.Now().Add(answerLimit))
	if err := ss.backend.Flush(); err != nil {
		return err
	}
	return ss.conn.SetWriteDeadline(time.Time{})
}

func (ss *session) rollback() {
	if ss.tx != nil {
		ss.tx.Rollback()
		ss.tx = nil
	}
	ss.failed = false
}

func (ss *session) interrupt(secret []byte) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.cancel != nil && subtle.ConstantTimeCompare(secret, ss.secret) == 1 {
		ss.cancel()
	}
}

// interruptible returns a context that a cancel request ends; the returned function must be called.
func (ss *session) interruptible() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ss.mu.Lock()
	ss.cancel = cancel
	ss.mu.Unlock()
	return ctx, func() {
		ss.mu.Lock()
		ss.cancel = nil
		ss.mu.Unlock()
		cancel()
	}
}

func canceled() error {
	return &statement.Error{Code: "57014", Message: "canceling statement due to user request"}
}
