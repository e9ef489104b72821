package entry

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/upstream"
)

const (
	// cancelTimeout bounds the forwarding of a cancel request.
	cancelTimeout = 2 * time.Second
	// rollbackTimeout bounds the clean-up of a transaction that a caller left open.
	rollbackTimeout = time.Second
	// defaultNotice covers the readiness checks of usual balancers and still turns callers away within seconds.
	defaultNotice = 2 * time.Second
	// viewPoll is the pause between looks at a view that is not valid yet.
	viewPoll = 20 * time.Millisecond
)

// Chooser picks the upstream for a statement.
type Chooser interface {
	// Read returns an upstream that has what the session wrote and is fresh enough.
	Read(ctx context.Context, session ident.Session) (Choice, error)
	// Primary returns the primary of the current term.
	Primary(ctx context.Context, service ident.Service) (Choice, error)
	// Avoid notes that an upstream failed just now.
	Avoid(target member.Target)
}

// Choice is an upstream for one statement.
type Choice struct {
	Target  member.Target
	Replica bool
}

// Quota counts requests against a team's rate and burst over the fleet.
type Quota interface {
	// Take waits for one request's worth, or returns a sqlstate.Rejection.
	Take(ctx context.Context, team ident.Team) error
}

// Acknowledger makes a write safe to answer.
type Acknowledger interface {
	// Acknowledge returns once a majority holds the position and the session's holders know it.
	Acknowledge(ctx context.Context, session ident.Session, position ident.Position) error
}

// Pool hands out connections to upstreams.
type Pool interface {
	// Acquire returns a connection for one transaction; an error means that nothing was sent.
	Acquire(ctx context.Context, target member.Target, team ident.Team) (*upstream.Conn, error)
	// Release takes the connection back.
	Release(target member.Target, conn *upstream.Conn)
}

// Options holds what New needs.
type Options struct {
	Settings *fleetpb.HostSettings
	Clock    *clock.Clock
	View     func() *member.View
	Chooser  Chooser
	Quota    Quota
	Ack      Acknowledger
	Pool     Pool
	// TLS holds the certificate that callers see; nil means connections without TLS.
	TLS *certificate.Store
	// Rejected takes what explain tells operators; nil drops it.
	Rejected func(session ident.Session, rejection *sqlstate.Rejection)
}

// Server accepts callers.
type Server struct {
	opts     Options
	listener net.Listener
	metrics  *counters
	tallies  *tallies
	// leaving is set from the start of a shutdown, closing once it turns callers away, and zoneOut while callers are turned
	// away because the availability zone is out of service.
	leaving atomic.Bool
	closing atomic.Bool
	zoneOut atomic.Bool
	ctx     context.Context
	stop    context.CancelFunc
	done    chan struct{}
	group   sync.WaitGroup
	mutex   sync.Mutex
	callers map[uint32]*caller
}

type counters struct {
	callers, handshakes, plaintext, refusedPlaintext, unknownService, wrongKey *metrics.Counter
}

// New listens for callers; Start serves them.
func New(opts Options) (*Server, error) {
	listener, err := net.Listen("tcp", opts.Settings.GetCaller())
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s := &Server{
		opts:     opts,
		listener: listener,
		metrics: &counters{
			callers:          metrics.GetOrCreateCounter("tamarack_callers_total"),
			handshakes:       metrics.GetOrCreateCounter("tamarack_caller_handshake_errors_total"),
			plaintext:        metrics.GetOrCreateCounter(`tamarack_plaintext_callers_total{outcome="served"}`),
			refusedPlaintext: metrics.GetOrCreateCounter(`tamarack_plaintext_callers_total{outcome="refused"}`),
			unknownService:   metrics.GetOrCreateCounter("tamarack_unknown_service_total"),
			wrongKey:         metrics.GetOrCreateCounter("tamarack_wrong_key_total"),
		},
		tallies: newTallies(),
		done:    make(chan struct{}),
		callers: make(map[uint32]*caller),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s, nil
}

// Start serves callers until Shutdown.
func (s *Server) Start() {
	go s.accept(s.ctx)
	go s.watchZone(s.ctx)
}

// Addr returns the address that callers connect to.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Done is closed when the last caller has gone after Shutdown.
func (s *Server) Done() <-chan struct{} { return s.done }

// Ready reports whether the balancer should send callers to this host.
func (s *Server) Ready() bool {
	view := s.opts.View()
	// Before the first keeper epoch no write could be acknowledged.
	serving := view.Valid(s.opts.Clock.Now()) && view.Keepers.GetEpoch() > 0
	return !s.leaving.Load() && serving && s.zoneInService(view)
}

// Report adds the tallies of requests to a sync.
func (s *Server) Report(request *fleetpb.SyncRequest) {
	request.Tallies = s.tallies.snapshot()
}

// Shutdown serves on while the balancer notices, then turns new and idle callers away with 57P01 and lets transactions
// finish for up to grace.
func (s *Server) Shutdown(grace time.Duration) {
	s.leaving.Store(true)
	time.Sleep(s.notice())
	s.closing.Store(true)
	s.listener.Close()
	deadline := time.Now().Add(grace)
	for time.Now().Before(deadline) && s.endIdle() > 0 {
		time.Sleep(viewPoll)
	}
	s.stop()
	s.closeAll()
	s.group.Wait()
	close(s.done)
}

// turnsAway reports whether new and idle callers are turned away.
func (s *Server) turnsAway() bool {
	return s.closing.Load() || s.zoneOut.Load()
}

// notice returns the time that the balancer has to notice that the host is not ready.
func (s *Server) notice() time.Duration {
	if notice := s.opts.Settings.GetNotice(); notice != nil {
		return notice.AsDuration()
	}
	return defaultNotice
}

// watchZone turns callers away while the host's availability zone is out of service, once the balancer has noticed.
func (s *Server) watchZone(ctx context.Context) {
	ticker := time.NewTicker(viewPoll)
	defer ticker.Stop()
	var out time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if s.zoneInService(s.opts.View()) {
				out = time.Time{}
				s.zoneOut.Store(false)
				continue
			}
			if out.IsZero() {
				out = now
				klog.InfoS("availability zone is out of service", "zone", s.opts.Settings.GetZone())
			}
			if now.Sub(out) >= s.notice() {
				s.zoneOut.Store(true)
				s.endIdle()
			}
		}
	}
}

// endIdle interrupts callers that wait outside a transaction and returns the number of callers left.
func (s *Server) endIdle() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.callers {
		if c.idle.Load() {
			c.raw.SetReadDeadline(time.Now())
		}
	}
	return len(s.callers)
}

func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.callers {
		c.raw.Close()
	}
}

func (s *Server) accept(ctx context.Context) {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			if !s.turnsAway() {
				klog.ErrorS(err, "accepting callers ended")
			}
			return
		}
		c, err := s.admit(socket)
		if err != nil {
			socket.Close()
			continue
		}
		s.metrics.callers.Inc()
		s.group.Go(func() { c.serve(ctx) })
	}
}

// admit registers a caller under a random process id, which cancel requests name.
func (s *Server) admit(socket net.Conn) (*caller, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, trace.Wrap(err)
	}
	c := &caller{
		server:     s,
		raw:        socket,
		socket:     socket,
		backend:    newBackend(socket),
		pid:        binary.BigEndian.Uint32(random[:4]),
		secret:     random[4:],
		statements: make(map[string]*statement),
		portals:    make(map[string]*statement),
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.callers[c.pid] != nil {
		c.pid++
	}
	s.callers[c.pid] = c
	return c, nil
}

func (s *Server) forget(c *caller) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.callers, c.pid)
}

// cancel cancels the statement that the named caller is running, if the secret is its own.
func (s *Server) cancel(ctx context.Context, pid uint32, secret []byte) {
	s.mutex.Lock()
	c := s.callers[pid]
	s.mutex.Unlock()
	if c == nil || subtle.ConstantTimeCompare(c.secret, secret) != 1 {
		return
	}
	conn := c.active.Load()
	if conn == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	if err := conn.Cancel(ctx); err != nil {
		klog.V(1).InfoS("cancel request not delivered", "err", err)
	}
}

// waitView waits for a valid view, as just after the start of the host.
func (s *Server) waitView(patience time.Duration) (*member.View, error) {
	deadline := time.Now().Add(patience)
	for {
		view := s.opts.View()
		if view.Valid(s.opts.Clock.Now()) {
			return view, nil
		}
		if time.Now().After(deadline) || s.turnsAway() {
			return nil, reject(sqlstate.NoLease, "no valid copy of the control state within %v", patience)
		}
		time.Sleep(viewPoll)
	}
}

// note passes a rejection on to explain.
func (s *Server) note(session ident.Session, rejection *sqlstate.Rejection) {
	if s.opts.Rejected != nil {
		s.opts.Rejected(session, rejection)
	}
}

func (s *Server) zoneInService(view *member.View) bool {
	return !view.ZonesOut[ident.Zone(s.opts.Settings.GetZone())]
}
