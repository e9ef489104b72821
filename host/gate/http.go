package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/host/peer"
)

const (
	// headerTimeout bounds the time for reading a request's header, readTimeout the time for the whole request, and idleTimeout the time
	// between two requests, which is longer than peers keep idle connections.
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader bounds a request's header in bytes.
	maxHeader = 32 << 10
	// smallBody is the size in bytes up to which a body is part of what each connection costs.
	smallBody = 8 << 10
)

// Calls describes the calls that an HTTP server answers.
type Calls struct {
	Listener budget.Listener
	Handler  http.Handler
	// MaxBody is the largest body in bytes, and Copies the number of copies of a body that are made while its call runs.
	MaxBody int64
	Copies  int
	// Refuse answers a call whose body can't be held.
	Refuse func(w http.ResponseWriter, err error)
}

// sessionKey is the context key of the Session of a call.
type sessionKey struct{}

// Server returns a server whose connections and bodies the limiter admits.
func (l *Limiter) Server(calls Calls) *http.Server {
	connections := &connections{sessions: map[net.Conn]*Session{}}
	return &http.Server{
		Handler: calls, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ErrorLog: peer.ErrorLog(),
		ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
			ctx = expiry.WithConnection(ctx, connection)
			s, err := l.Open(calls.Listener, connection, budget.SessionLimits{})
			if err != nil {
				return ctx
			}
			connections.set(connection, s)
			return context.WithValue(ctx, sessionKey{}, s)
		},
		ConnState: connections.change,
	}
}

// connections holds the sessions of a server's open connections.
type connections struct {
	mu       sync.Mutex
	sessions map[net.Conn]*Session
}

func (c *connections) set(connection net.Conn, s *Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessions[connection] = s
}

// change records what a connection is doing.
func (c *connections) change(connection net.Conn, state http.ConnState) {
	c.mu.Lock()
	s := c.sessions[connection]
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.sessions, connection)
	}
	c.mu.Unlock()
	if s == nil {
		return
	}
	switch state {
	case http.StateActive:
		s.setPhase(budget.PhaseBusy)
	case http.StateIdle:
		s.setPhase(budget.PhaseIdle)
	case http.StateClosed, http.StateHijacked:
		s.limiter.close(s)
	case http.StateNew:
	}
}

// ServeHTTP implements http.Handler.
func (c Calls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s, found := r.Context().Value(sessionKey{}).(*Session)
	if !found || (r.ContentLength >= 0 && r.ContentLength <= smallBody) {
		c.Handler.ServeHTTP(w, r)
		return
	}
	if r.ContentLength > c.MaxBody {
		http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.setPhase(budget.PhaseReading)
	body := &body{ReadCloser: http.MaxBytesReader(w, r.Body, c.MaxBody), session: s, copies: c.Copies}
	defer body.release()
	if err := body.take(r.ContentLength); err != nil {
		// A client that still sends would lose the answer, and with it that the call was not run.
		_, _ = io.Copy(io.Discard, body.ReadCloser)
		c.Refuse(w, err)
		return
	}
	r.Body = body
	c.Handler.ServeHTTP(w, r)
}

// body is the body of a call, whose bytes are taken before they are read, or while they are read if their number is not known.
type body struct {
	io.ReadCloser
	session *Session
	copies  int
	taken   int
	// known is set if the number of bytes was known and they were taken before.
	known bool
}

func (b *body) take(size int64) error {
	if size < 0 {
		return nil
	}
	b.known = true
	return b.add(int(size))
}

func (b *body) add(size int) error {
	if err := b.session.Take(size * b.copies); err != nil {
		return err
	}
	b.taken += size * b.copies
	return nil
}

// Read implements io.Reader.
func (b *body) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if !b.known && n > 0 {
		if refused := b.add(n); refused != nil {
			return 0, refused
		}
	}
	if err == io.EOF {
		b.session.setPhase(budget.PhaseBusy)
	}
	return n, err
}

func (b *body) release() {
	b.session.Give(b.taken)
}
