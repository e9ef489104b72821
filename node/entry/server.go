package entry

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/host/gate"
	"tamarackshunt.dev/node/routing"
)

const (
	// noticeTime is how long a host that shuts down still accepts sessions, until the load balancer sends no more. The load
	// balancer checks the host every second and needs two answers.
	noticeTime = 2300 * time.Millisecond
	// idleCheckInterval is the interval at which a host that shuts down closes sessions that have become idle.
	idleCheckInterval = 50 * time.Millisecond
	// closeMargin is the part of the grace period that is left for the exit of the process.
	closeMargin = 700 * time.Millisecond
	// listenerName names the callers' connections among those that the limiter counts.
	listenerName = "callers"
)

var (
	sessions     = metrics.NewCounter("tamarack_entry_sessions_total")
	sessionsOpen = metrics.NewCounter("tamarack_entry_sessions_open")
	// sessionPanics counts sessions that ended with a panic.
	sessionPanics = metrics.NewCounter("tamarack_entry_session_panics_total")
)

// Quota spends the tokens of teams, which are counted over the whole fleet.
type Quota interface {
	// Take returns nil once it has spent a token of the request's team, or an error if none is available in time.
	Take(ctx context.Context, request limit.Request) error
	// Refund gives back the token of an operation of which nothing was sent to an upstream.
	Refund(receipt limit.Receipt)
}

// Caller is the host's side of a caller's protocol over one connection. It is not safe for concurrent use.
type Caller interface {
	// ReadStart reads the first message; Refuse or Ready answers it.
	ReadStart() (statement.Start, error)
	Refuse(failure *statement.Failure) error
	Ready() error
	// ReadQuery reads the next request; one of the methods below answers it. It returns io.EOF at the regular end of the session.
	ReadQuery() (statement.Query, error)
	// Done answers a request that the host has handled itself, Fail one that failed, and SendResult one that an upstream has
	// answered.
	Done(state statement.State) error
	Fail(failure *statement.Failure, state statement.State) error
	SendResult(result statement.Result, state statement.State) error
}

// Options configure a server.
type Options struct {
	// Protocol opens the host's side of the callers' protocol over a connection.
	Protocol func(connection io.ReadWriter) Caller
	Table    *routing.Table
	Quota    Quota
	// Grace is the maximum duration of a shutdown.
	Grace time.Duration
	// Limiter admits sessions and the memory that they use, within Limits for each; Sessions is the largest number of them. Without a
	// Limiter, only the bounds of each session apply.
	Limiter  *gate.Limiter
	Limits   budget.SessionLimits
	Sessions int
}

// Server serves callers on a listener.
type Server struct {
	options  Options
	mu       sync.Mutex
	sessions map[*session]struct{}
	// draining is set at the start of a shutdown, and closing once sessions are closed as soon as they are idle.
	draining, closing atomic.Bool
	retries           retryBudget
}

// New returns a server without sessions.
func New(options Options) *Server {
	if options.Limiter == nil {
		options.Limiter = gate.New(budget.Unlimited())
		options.Limits, options.Sessions = budget.NewSessionLimits(), math.MaxInt
	}
	return &Server{options: options, sessions: map[*session]struct{}{}}
}

// Serve accepts and serves sessions until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			klog.ErrorS(err, "Session not accepted")
			time.Sleep(idleCheckInterval)
			continue
		}
		sessions.Inc()
		admitted, err := s.options.Limiter.Open(budget.Listener{Name: listenerName, Limit: s.options.Sessions}, raw, s.options.Limits)
		if err != nil {
			continue
		}
		sessionsOpen.Inc()
		caller := newSession(s, admitted)
		s.mu.Lock()
		s.sessions[caller] = struct{}{}
		s.mu.Unlock()
		go s.serveSession(caller)
	}
}

// serveSession serves a session until its end. A panic ends only that session, as in net/http: one unexpected message must not
// cost the sessions of all other callers.
func (s *Server) serveSession(caller *session) {
	defer func() {
		if failure := recover(); failure != nil {
			sessionPanics.Inc()
			klog.ErrorS(nil, "Session panicked", "database", caller.start.Database, "failure", failure, "stack", string(debug.Stack()))
		}
		sessionsOpen.Dec()
		s.mu.Lock()
		delete(s.sessions, caller)
		s.mu.Unlock()
	}()
	caller.serve()
}

// Draining reports whether a shutdown has begun.
func (s *Server) Draining() bool {
	return s.draining.Load()
}

// Shutdown keeps serving until the load balancer has noticed the shutdown, then closes the listener and idle sessions. Open
// transactions may continue for the first half of the grace period, and running statements for the rest of it.
func (s *Server) Shutdown(began time.Time, listener net.Listener) {
	s.draining.Store(true)
	transactionDeadline := began.Add(s.options.Grace / 2)
	deadline := began.Add(s.options.Grace - closeMargin)
	time.Sleep(time.Until(began.Add(min(noticeTime, s.options.Grace/2))))
	// A session that started after this point might not end in time.
	_ = listener.Close()
	s.closing.Store(true)
	for time.Now().Before(deadline) {
		s.mu.Lock()
		remaining := len(s.sessions)
		for caller := range s.sessions {
			caller.endIfWaiting(time.Now().After(transactionDeadline))
		}
		s.mu.Unlock()
		if remaining == 0 {
			return
		}
		time.Sleep(idleCheckInterval)
	}
}
