package entry

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"math"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/gate"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/upstream"
)

const (
	// cancelTimeout bounds the time to forward a cancel request.
	cancelTimeout = 2 * time.Second
	// rollbackTimeout bounds the rollback of a transaction that a caller left open.
	rollbackTimeout = time.Second
	// defaultNotice is how long a host that reports itself as not ready still accepts callers, unless the settings say
	// otherwise. It is long enough for the readiness checks of usual load balancers, and the host still refuses callers
	// within seconds.
	defaultNotice = 2 * time.Second
	// listenerName names the callers' connections among those that the limiter counts.
	listenerName = "callers"
	// pollInterval is the interval of checks of the view, and of the callers that are left during a shutdown.
	pollInterval = 20 * time.Millisecond
)

// Chooser picks the upstream for a statement.
type Chooser interface {
	// Read returns an upstream that has the session's writes and is fresh enough.
	Read(ctx context.Context, session ident.Session) (Choice, error)
	// Primary returns the primary of the current term.
	Primary(ctx context.Context, service ident.Service) (Choice, error)
	// Avoid records that an upstream has just failed.
	Avoid(target member.Target)
}

// Choice is the upstream chosen for one statement.
type Choice struct {
	Target  member.Target
	Replica bool
}

// Quota limits the requests of a team to its rate and burst across the fleet.
type Quota interface {
	// Take waits until the team may run one request, or returns a sqlstate.Rejection.
	Take(ctx context.Context, team ident.Team) error
}

// Acknowledger waits until a write is safe, so that the caller may get its answer.
type Acknowledger interface {
	// Acknowledge returns once a majority of the group holds the position and the session's holders have recorded it.
	Acknowledge(ctx context.Context, session ident.Session, position ident.Position) error
}

// Pool provides connections to upstreams.
type Pool interface {
	// Acquire returns a connection for one transaction; an error means that nothing was sent.
	Acquire(ctx context.Context, target member.Target, team ident.Team) (*upstream.Conn, error)
	// Release returns a connection to the pool.
	Release(target member.Target, conn *upstream.Conn)
}

// Options configure a Server.
type Options struct {
	Settings *fleetpb.HostSettings
	Clock    *clock.Clock
	View     func() *member.View
	Chooser  Chooser
	Quota    Quota
	Ack      Acknowledger
	Pool     Pool
	// TLS holds the certificate that callers are served with; nil means connections without TLS.
	TLS *certificate.Store
	// Limiter admits callers and the memory that they use, within Limits for each; Callers is the largest number of them. Without a Limiter,
	// only the bounds of each caller apply.
	Limiter *gate.Limiter
	Limits  budget.SessionLimits
	Callers int
	// Rejected records a rejection for the explain command of operators; nil discards it.
	Rejected func(session ident.Session, rejection *sqlstate.Rejection)
}

// Server accepts and serves callers.
type Server struct {
	opts     Options
	listener net.Listener
	metrics  *counters
	tallies  *tallies
	// leaving is set from the start of a shutdown, and closing from the time when it refuses callers. zoneOut is set while
	// callers are refused because the availability zone is out of service.
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
	callers, handshakes, panics, plaintext, refusedPlaintext, unknownService, wrongKey *metrics.Counter
}

// New listens for callers, whom Start serves.
func New(opts Options) (*Server, error) {
	if opts.Limiter == nil {
		opts.Limiter = gate.New(budget.Unlimited())
		opts.Limits, opts.Callers = budget.NewSessionLimits(), math.MaxInt
	}
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
			panics:           metrics.GetOrCreateCounter("tamarack_caller_panics_total"),
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

// Start serves callers in the background until Shutdown.
func (s *Server) Start() {
	go s.accept(s.ctx)
	go s.watchZone(s.ctx)
	go s.watchKeys(s.ctx)
}

// Addr returns the address that callers connect to.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Done returns a channel that is closed when all callers have been disconnected by Shutdown.
func (s *Server) Done() <-chan struct{} { return s.done }

// Ready reports whether the load balancer should send callers to this host.
func (s *Server) Ready() bool {
	view := s.opts.View()
	// Before the first epoch of keepers no write can be acknowledged.
	serving := view.Valid(s.opts.Clock.Now()) && view.Keepers.GetEpoch() > 0
	return !s.leaving.Load() && serving && s.zoneInService(view)
}

// Report adds the tallies of requests to a sync request.
func (s *Server) Report(request *fleetpb.SyncRequest) {
	request.Tallies = s.tallies.snapshot()
}

// Shutdown keeps serving until the load balancer has noticed that the host is not ready. Then it refuses new and idle callers
// with 57P01, and lets open transactions finish for up to grace.
func (s *Server) Shutdown(grace time.Duration) {
	s.leaving.Store(true)
	time.Sleep(s.notice())
	s.closing.Store(true)
	s.listener.Close()
	deadline := time.Now().Add(grace)
	for time.Now().Before(deadline) && s.endIdle() > 0 {
		time.Sleep(pollInterval)
	}
	s.stop()
	s.closeAll()
	s.group.Wait()
	close(s.done)
}

// refusesCallers reports whether new and idle callers are refused.
func (s *Server) refusesCallers() bool {
	return s.closing.Load() || s.zoneOut.Load()
}

// notice returns the time in which the load balancer has to notice that the host is not ready.
func (s *Server) notice() time.Duration {
	if notice := s.opts.Settings.GetNotice(); notice != nil {
		return notice.AsDuration()
	}
	return defaultNotice
}

// watchZone refuses callers while the host's availability zone is out of service, after the load balancer had time to notice.
func (s *Server) watchZone(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var outSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if s.zoneInService(s.opts.View()) {
				outSince = time.Time{}
				s.zoneOut.Store(false)
				continue
			}
			if outSince.IsZero() {
				outSince = now
				klog.InfoS("availability zone is out of service", "zone", s.opts.Settings.GetZone())
			}
			if now.Sub(outSince) >= s.notice() {
				s.zoneOut.Store(true)
				s.endIdle()
			}
		}
	}
}

// endIdle interrupts the reads of callers that wait outside a transaction, and returns the number of all callers.
func (s *Server) endIdle() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.callers {
		if c.idle.Load() {
			_ = c.raw.SetReadDeadline(time.Now())
		}
	}
	return len(s.callers)
}

func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.callers {
		_ = c.raw.Close()
	}
}

func (s *Server) accept(ctx context.Context) {
	for {
		socket, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The process may be out of descriptors, which callers that leave give back.
			klog.ErrorS(err, "accepting callers failed")
			time.Sleep(pollInterval)
			continue
		}
		session, err := s.opts.Limiter.Open(budget.Listener{Name: listenerName, Limit: s.opts.Callers}, socket, s.opts.Limits)
		if err != nil {
			continue
		}
		c, err := s.register(session)
		if err != nil {
			_ = session.Close()
			continue
		}
		s.metrics.callers.Inc()
		s.group.Go(func() { s.serveCaller(ctx, c) })
	}
}

// serveCaller serves a caller until it leaves. A panic ends only its connection, as in net/http: one unexpected message must not
// cost the connections of all other callers.
func (s *Server) serveCaller(ctx context.Context, c *caller) {
	defer func() {
		if failure := recover(); failure != nil {
			s.metrics.panics.Inc()
			klog.ErrorS(nil, "caller panicked", "failure", failure, "stack", string(debug.Stack()))
		}
	}()
	c.serve(ctx)
}

// register adds a caller under a random process id, which its cancel requests contain.
func (s *Server) register(socket *gate.Session) (*caller, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, trace.Wrap(err)
	}
	m := &meter{from: socket, session: socket}
	c := &caller{
		server:     s,
		meter:      m,
		raw:        socket,
		socket:     socket,
		backend:    newBackend(socket, m),
		pid:        binary.BigEndian.Uint32(random[:4]),
		secret:     random[4:],
		statements: make(map[string]*statement),
		portals:    make(map[string]*statement),
	}
	c.allowed, c.revoke = context.WithCancel(context.Background())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.callers[c.pid] != nil {
		c.pid++
	}
	s.callers[c.pid] = c
	return c, nil
}

func (s *Server) unregister(c *caller) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.callers, c.pid)
}

// cancel cancels the running statement of the caller with a process id, if the secret matches.
func (s *Server) cancel(ctx context.Context, pid uint32, secret []byte) {
	s.mutex.Lock()
	c := s.callers[pid]
	s.mutex.Unlock()
	if c == nil || subtle.ConstantTimeCompare(c.secret, secret) != 1 {
		return
	}
	running := c.active.Load()
	if running == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	if err := running.Cancel(ctx); err != nil {
		klog.V(1).InfoS("cancel request not delivered", "err", err)
	}
}

// waitView returns a valid view. Just after the start of the host it waits for one.
func (s *Server) waitView(maxWait time.Duration) (*member.View, error) {
	deadline := time.Now().Add(maxWait)
	for {
		view := s.opts.View()
		if view.Valid(s.opts.Clock.Now()) {
			return view, nil
		}
		if time.Now().After(deadline) || s.refusesCallers() {
			return nil, reject(sqlstate.NoLease, "no valid copy of the control state within %v", maxWait)
		}
		time.Sleep(pollInterval)
	}
}

// reportRejection records a rejection for the explain command.
func (s *Server) reportRejection(session ident.Session, rejection *sqlstate.Rejection) {
	if s.opts.Rejected != nil {
		s.opts.Rejected(session, rejection)
	}
}

func (s *Server) zoneInService(view *member.View) bool {
	return !view.ZonesOut[ident.Zone(s.opts.Settings.GetZone())]
}
