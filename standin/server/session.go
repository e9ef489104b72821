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
	// maxMessage is the maximum length of a message body in bytes.
	maxMessage = 4 << 20
	// answerTimeout limits the time to send the answer to a commit. A fence waits for that, so a caller that does not read its
	// answer delays the fence no longer.
	answerTimeout = 200 * time.Millisecond
	// startupTimeout is the maximum time from the connection to the password.
	startupTimeout = 10 * time.Second
	secretLength   = 4
)

// errTermEnded closes a connection whose commit must no longer be answered.
var errTermEnded = errors.New("the term ended before the commit was answered")

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
	// failed is set after an error in a transaction until the transaction ends; skipUntilSync is set after an error of the
	// extended protocol until the next Sync.
	failed, skipUntilSync bool
	// unsentCommit is the latest commit whose answer is still in the send buffer.
	unsentCommit *ledger.Done
	// hasRead is set if a read ran since the last ReadyForQuery.
	hasRead bool
	// counted is set once the connection counts against the limit.
	counted bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

func newSession(s *Server, conn net.Conn) *session {
	secret := make([]byte, secretLength)
	if _, err := rand.Read(secret); err != nil {
		panic(err) // Cannot fail: crypto/rand returns no error.
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
	_ = ss.conn.SetReadDeadline(time.Now().Add(startupTimeout))
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
	if ss.skipUntilSync {
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
		ss.failUntilSync(ss.parse(msg))
	case *pgproto3.Bind:
		ss.failUntilSync(ss.bind(msg))
	case *pgproto3.Describe:
		ss.failUntilSync(ss.describe(msg))
	case *pgproto3.Execute:
		ss.failUntilSync(ss.execute(msg))
	case *pgproto3.Close:
		ss.closeObject(msg)
	case *pgproto3.Flush:
		return ss.flush()
	case *pgproto3.Sync:
		ss.skipUntilSync = false
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

// failUntilSync sends an error of the extended protocol, if there is one, and skips messages until the next Sync.
func (ss *session) failUntilSync(err error) {
	if err != nil {
		ss.fail(err)
		ss.skipUntilSync = true
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

// ready completes a reply with the position that the caller may rely on and the status of the transaction, and sends the
// buffer.
func (ss *session) ready() error {
	status := byte('I')
	if ss.tx != nil {
		status = 'T'
	}
	if ss.failed {
		status = 'E'
	}
	switch {
	case ss.unsentCommit != nil && ss.unsentCommit.Wrote:
		ss.sendPosition(ss.unsentCommit.Position.String())
	case ss.hasRead && !ss.server.ledger.State().Primary:
		ss.sendPosition(ss.server.ledger.Position().String())
	}
	ss.hasRead = false
	ss.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return ss.flush()
}

func (ss *session) sendPosition(position string) {
	ss.backend.Send(&pgproto3.ParameterStatus{Name: "tamarack.position", Value: position})
}

// flush sends the buffer. If it holds the answer to a commit whose term has ended, flush closes the connection instead.
func (ss *session) flush() error {
	ss.server.faults.waitFreeze(ss.server.done)
	if ss.unsentCommit == nil {
		return ss.backend.Flush()
	}
	ss.server.answerLock.RLock()
	defer ss.server.answerLock.RUnlock()
	if ss.server.ledger.State().Term != ss.unsentCommit.Term {
		ss.conn.Close()
		return errTermEnded
	}
	ss.unsentCommit = nil
	_ = ss.conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	if err := ss.backend.Flush(); err != nil {
		return err
	}
	return ss.conn.SetWriteDeadline(time.Time{})
}

func (ss *session) rollback() {
	if ss.tx != nil {
		ss.tx.Rollback()
		ss.setTransaction(nil)
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

// interruptible returns a context that a cancel request ends. The returned function must be called after the statement.
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

func canceledError() error {
	return &statement.Error{Code: "57014", Message: "canceling statement due to user request"}
}

// setTransaction sets the open transaction, or nil, and counts it for Server.Idle.
func (ss *session) setTransaction(tx *ledger.Transaction) {
	switch {
	case ss.tx == nil && tx != nil:
		ss.server.transactions.Add(1)
	case ss.tx != nil && tx == nil:
		ss.server.transactions.Add(-1)
	}
	ss.tx = tx
}
