package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/routing"
)

const (
	// noticeTime is how long a host that shuts down serves on, so that the load balancer sends no more sessions: it asks
	// every second and needs two answers.
	noticeTime = 2300 * time.Millisecond
	// idleCheckInterval is the interval at which a host that shuts down ends sessions that have become idle.
	idleCheckInterval = 50 * time.Millisecond
	// closeMargin of the grace is left for the end of the process.
	closeMargin = 700 * time.Millisecond
	// startTimeout bounds the wait for a caller's first message.
	startTimeout = 10 * time.Second
)

var (
	sessions     = metrics.NewCounter("tamarack_entry_sessions_total")
	sessionsOpen = metrics.NewCounter("tamarack_entry_sessions_open")
)

// Quota spends tokens of teams over the whole fleet.
type Quota interface {
	// Take returns once a token of the request's team was spent, or an error when there is none in time.
	Take(ctx context.Context, request limit.Request) error
}

// Caller is the host's side of a caller's protocol over one connection. It is for one goroutine.
type Caller interface {
	// ReadStart reads the first message, which Refuse or Ready answers.
	ReadStart() (statement.Start, error)
	Refuse(failure *statement.Failure) error
	Ready() error
	// ReadQuery reads the next request, which one of the others answers; io.EOF reports the regular end of the session.
	ReadQuery() (statement.Query, error)
	// Done answers a request that the host has handled by itself, Fail one that failed, and SendResult one that an upstream
	// answered.
	Done(state statement.State) error
	Fail(failure *statement.Failure, state statement.State) error
	SendResult(result statement.Result, state statement.State) error
}

// Options describe a server.
type Options struct {
	// Protocol opens the host's side of the callers' protocol over a connection.
	Protocol func(connection io.ReadWriter) Caller
	Table    *routing.Table
	Quota    Quota
	// Grace is the time that a shutdown may take.
	Grace time.Duration
}

// Server serves callers on a listener.
type Server struct {
	options  Options
	mu       sync.Mutex
	sessions map[*session]struct{}
	// draining is set by a shutdown, closing when sessions end as soon as they are idle.
	draining, closing atomic.Bool
}

// New returns a server without sessions.
func New(options Options) *Server {
	return &Server{options: options, sessions: map[*session]struct{}{}}
}

// Serve takes sessions until the listener is closed.
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
		sessionsOpen.Inc()
		caller := newSession(s, raw)
		s.mu.Lock()
		s.sessions[caller] = struct{}{}
		s.mu.Unlock()
		go func() {
			caller.serve()
			sessionsOpen.Dec()
			s.mu.Lock()
			delete(s.sessions, caller)
			s.mu.Unlock()
		}()
	}
}

// Draining reports whether a shutdown has begun.
func (s *Server) Draining() bool {
	return s.draining.Load()
}

// Shutdown serves on until the load balancer has noticed, takes no session after that, ends idle sessions, gives open
// transactions half of the grace and statements that run the rest.
func (s *Server) Shutdown(began time.Time, listener net.Listener) {
	s.draining.Store(true)
	transactionDeadline := began.Add(s.options.Grace / 2)
	deadline := began.Add(s.options.Grace - closeMargin)
	time.Sleep(time.Until(began.Add(min(noticeTime, s.options.Grace/2))))
	// A session that began now might not be able to end in time.
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
