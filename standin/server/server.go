package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/standin/ledger"
)

// drainLimit is the time that running write transactions have to finish once the upstream drains.
const drainLimit = 2 * time.Second

// Options say what one upstream is.
type Options struct {
	// Upstream is the name under which the upstream follows a primary.
	Upstream       string
	User, Password string
	// Slots is the number of statements that run at a time.
	Slots int
	// Connections is the number of callers' connections; replication connections are not counted.
	Connections int
	// Opening delays each new connection; Work is the time that a statement holds its slot.
	Opening, Work time.Duration
	Ledger        *ledger.Ledger
	Faults        *Faults
}

// Server is one upstream.
type Server struct {
	options Options
	ledger  *ledger.Ledger
	faults  *Faults
	slots   chan struct{}
	open    atomic.Int64
	running atomic.Int64
	// gate is held for reading while the answer of a commit is sent, and passed by every change of the term, so that no
	// commit is answered after the answer of a fence.
	gate     sync.RWMutex
	follower follower

	mu       sync.Mutex
	serial   uint32
	sessions map[uint32]*session
	replicas map[uint32]*replica
	done     chan struct{}
	once     sync.Once
}

// New returns a server that is not yet listening.
func New(options Options) *Server {
	if options.Faults == nil {
		options.Faults = NewFaults(0)
	}
	return &Server{
		options:  options,
		ledger:   options.Ledger,
		faults:   options.Faults,
		slots:    make(chan struct{}, options.Slots),
		sessions: map[uint32]*session{},
		replicas: map[uint32]*replica{},
		done:     make(chan struct{}),
	}
}

// Serve accepts connections until Close.
func (s *Server) Serve(listener net.Listener) error {
	go s.watchFaults()
	go func() {
		<-s.done
		listener.Close()
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			select {
			case <-s.done:
				return nil
			default:
				return trace.Wrap(err)
			}
		}
		go s.ServeConn(conn)
	}
}

// Close ends all connections and the replication from a primary.
func (s *Server) Close() {
	s.once.Do(func() { close(s.done) })
	s.stopFollowing()
	s.closeSessions()
}

// Idle reports whether the upstream is a replica that runs no statement and holds no open transaction.
func (s *Server) Idle() bool {
	return s.running.Load() == 0 && !s.ledger.State().Primary
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(conn net.Conn) {
	defer conn.Close()
	if s.faults.callersCut() {
		return
	}
	ss := newSession(s, conn)
	s.mu.Lock()
	s.serial++
	ss.id = s.serial
	s.sessions[ss.id] = ss
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, ss.id)
		delete(s.replicas, ss.id)
		s.mu.Unlock()
		ss.rollback()
		if ss.counted {
			s.open.Add(-1)
		}
	}()
	select {
	case <-s.done:
		return
	default:
	}
	ss.run()
}

func (s *Server) closeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ss := range s.sessions {
		ss.conn.Close()
	}
}

// watchFaults closes callers' connections when a fault cuts them.
func (s *Server) watchFaults() {
	for {
		changed := s.faults.Changed()
		if s.faults.callersCut() {
			s.mu.Lock()
			for id, ss := range s.sessions {
				if s.replicas[id] == nil {
					ss.conn.Close()
				}
			}
			s.mu.Unlock()
		}
		select {
		case <-changed:
		case <-s.done:
			return
		}
	}
}

// cancel interrupts the running statement of the session with the id, if the secret is its own.
func (s *Server) cancel(id uint32, secret []byte) {
	s.mu.Lock()
	ss := s.sessions[id]
	s.mu.Unlock()
	if ss != nil {
		ss.interrupt(secret)
	}
}

// slot waits for a slot and holds it for the work of a statement; the returned function frees it.
func (s *Server) slot(ctx context.Context) (func(), error) {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, canceled()
	case <-s.done:
		return nil, canceled()
	}
	free := func() { <-s.slots }
	if err := s.sleep(ctx, s.options.Work+s.faults.slowness()); err != nil {
		free()
		return nil, err
	}
	return free, nil
}

func (s *Server) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
	case <-s.done:
	}
	return canceled()
}
