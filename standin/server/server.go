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

// drainTimeout is how long open write transactions may take to finish once the upstream drains.
const drainTimeout = 2 * time.Second

// Options configure a Server.
type Options struct {
	// Upstream is the application_name with which the upstream follows a primary.
	Upstream       string
	User, Password string
	// Slots is the number of statements that run at the same time.
	Slots int
	// Connections is the maximum number of callers' connections; replication connections are not counted.
	Connections int
	// Opening delays each new connection; Work is the time that a statement holds its slot.
	Opening, Work time.Duration
	Ledger        *ledger.Ledger
	Faults        *Faults
}

// Server serves one upstream over the PostgreSQL protocol.
type Server struct {
	options Options
	ledger  *ledger.Ledger
	faults  *Faults
	slots   chan struct{}
	open    atomic.Int64
	running atomic.Int64
	// transactions is the number of open transactions.
	transactions atomic.Int64
	// answerLock is locked for reading while the answer to a commit is sent. Every change of the role locks it for writing
	// before its own answer, so that no commit is answered after a fence was answered.
	answerLock sync.RWMutex
	follower   follower

	mu       sync.Mutex
	lastID   uint32
	sessions map[uint32]*session
	replicas map[uint32]*replica
	done     chan struct{}
	once     sync.Once
}

// New returns a Server that does not accept connections yet.
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

// Idle reports whether the upstream is a replica that runs no statement and has no open transaction.
func (s *Server) Idle() bool {
	return s.running.Load() == 0 && s.transactions.Load() == 0 && !s.ledger.State().Primary
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(conn net.Conn) {
	defer conn.Close()
	if s.faults.closesCallers() {
		return
	}
	ss := newSession(s, conn)
	s.mu.Lock()
	s.lastID++
	ss.id = s.lastID
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

// watchFaults closes callers' connections when the fault Callers is set.
func (s *Server) watchFaults() {
	for {
		changed := s.faults.Changed()
		if s.faults.closesCallers() {
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

// cancel interrupts the running statement of the session with the id, if the secret is the session's.
func (s *Server) cancel(id uint32, secret []byte) {
	s.mu.Lock()
	ss := s.sessions[id]
	s.mu.Unlock()
	if ss != nil {
		ss.interrupt(secret)
	}
}

// acquireSlot waits for a slot, and then for the time that a statement works. The returned function releases the slot.
func (s *Server) acquireSlot(ctx context.Context) (func(), error) {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, canceledError()
	case <-s.done:
		return nil, canceledError()
	}
	release := func() { <-s.slots }
	if err := s.sleep(ctx, s.options.Work+s.faults.slow()); err != nil {
		release()
		return nil, err
	}
	return release, nil
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
	return canceledError()
}
