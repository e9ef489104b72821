package switchover

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/failover"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/promotion"
)

const (
	// tick is the interval at which each group is stepped with a failover.Tick.
	tick = 50 * time.Millisecond
	// proposeTimeout is the timeout of one proposal to the control log.
	proposeTimeout = 2 * time.Second
	// maxObserverZones is the number of availability zones with a host that observes a group, if the fleet has that many.
	maxObserverZones = 3
)

var (
	attempts       = metrics.NewCounter("tamarack_promotion_attempts_total")
	promotions     = metrics.NewCounter("tamarack_promotions_total")
	failedAttempts = metrics.NewCounter("tamarack_promotion_attempts_failed_total")
)

// Propose appends a change to the control log and returns its answer.
type Propose func(ctx context.Context, change *fleetpb.Change) (proto.Message, error)

// Options configure a Switchover.
type Options struct {
	Clock func() ident.Time
	// User and Password are the credentials for the upstreams.
	User, Password string
	// TLS holds the certificate authority of the upstreams; nil means connections without TLS.
	TLS *certificate.Store
}

// Switchover steps the failover groups of all services while this host is the control leader.
type Switchover struct {
	opts        Options
	mutex       sync.Mutex
	propose     Propose
	leadership  *leadership
	text        *fleetpb.Text
	groupStates []*fleetpb.Group
	stop        chan struct{}
	done        chan struct{}
}

// leadership is the state of one period in which this host is the control leader.
type leadership struct {
	since  ident.Time
	runner *promotion.Runner
	groups map[ident.Service]*failover.Group
	// lastSync is when each host sent its last sync. observerZones is the number of zones last passed to the groups.
	lastSync      map[ident.Host]syncRecord
	observerZones int
	ctx           context.Context
	cancel        context.CancelFunc
	proposals     sync.WaitGroup
}

// syncRecord is the time and the availability zone of a host's sync.
type syncRecord struct {
	at   ident.Time
	zone ident.Zone
}

// New returns a Switchover that makes no decisions before Start.
func New(opts Options) *Switchover {
	return &Switchover{opts: opts, stop: make(chan struct{}), done: make(chan struct{})}
}

// Start starts the decisions; propose is the controller's Propose.
func (s *Switchover) Start(propose Propose) {
	s.mutex.Lock()
	s.propose = propose
	s.mutex.Unlock()
	go s.tickLoop()
}

// Close stops all decisions and waits for the current leadership's requests and proposals to end.
func (s *Switchover) Close() {
	close(s.stop)
	<-s.done
	s.mutex.Lock()
	ended := s.leadership
	s.leadership = nil
	s.mutex.Unlock()
	ended.end()
}

// Done returns a channel that is closed when the periodic steps have ended.
func (s *Switchover) Done() <-chan struct{} { return s.done }

func (s *Switchover) tickLoop() {
	defer close(s.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.mutex.Lock()
			s.stepAll(s.opts.Clock(), failover.Tick{})
			s.mutex.Unlock()
		case <-s.stop:
			return
		}
	}
}

// SetLeadership starts or ends this host's leadership; a leadership with a new start replaces the previous one.
func (s *Switchover) SetLeadership(now ident.Time, leadership control.Leadership) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if leadership.Leads && s.leadership != nil && s.leadership.since == leadership.Since {
		return
	}
	go s.leadership.end()
	s.leadership = nil
	if !leadership.Leads {
		return
	}
	s.leadership = s.newLeadership(leadership.Since)
	s.distributeState(now)
}

func (s *Switchover) newLeadership(since ident.Time) *leadership {
	ctx, cancel := context.WithCancel(context.Background())
	l := &leadership{since: since, groups: make(map[ident.Service]*failover.Group), lastSync: make(map[ident.Host]syncRecord), ctx: ctx, cancel: cancel}
	l.runner = promotion.New(promotion.Options{
		User:     s.opts.User,
		Password: s.opts.Password,
		TLS:      s.opts.TLS,
		Deliver: func(service ident.Service, answer failover.Answer) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.leadership == l {
				s.step(s.opts.Clock(), service, answer)
			}
		},
	})
	return l
}

// end cancels the requests and proposals of a leadership and waits for them; the receiver may be nil.
func (l *leadership) end() {
	if l == nil {
		return
	}
	l.cancel()
	l.runner.Close()
	l.proposals.Wait()
}

// SetState sets the text in force and the control state of the groups.
func (s *Switchover) SetState(now ident.Time, text *fleetpb.Text, groups []*fleetpb.Group) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.text = text
	s.groupStates = groups
	s.distributeState(now)
}

// distributeState passes to every group its control state and the zones that are out of service. It removes the groups of
// services that the text no longer names.
func (s *Switchover) distributeState(now ident.Time) {
	if s.leadership == nil {
		return
	}
	zones := failover.Zones{}
	for _, zone := range s.text.GetZones() {
		if zone.GetOut() {
			zones.Out = append(zones.Out, ident.Zone(zone.GetName()))
		}
	}
	sizes := make(map[string]int, len(s.text.GetServices()))
	for _, service := range s.text.GetServices() {
		sizes[service.GetName()] = int(service.GetUpstreams())
	}
	states := make(map[string]*fleetpb.Group, len(s.groupStates))
	for _, state := range s.groupStates {
		states[state.GetService()] = state
	}
	for name, size := range sizes {
		service := ident.Service(name)
		s.step(now, service, zones)
		s.step(now, service, failover.ControlOf(states[name], size, s.leadership.observerZones))
	}
	for service := range s.leadership.groups {
		if _, named := sizes[string(service)]; !named {
			delete(s.leadership.groups, service)
		}
	}
}

// Observed handles a host's observations.
func (s *Switchover) Observed(now ident.Time, host ident.Host, zone ident.Zone, observed []*fleetpb.Observed) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recordSync(now, host, zone)
	for _, o := range observed {
		s.stepExisting(now, ident.Service(o.GetService()), failover.ObservedOf(host, zone, o))
	}
}

// recordSync records the sync of a host and updates the number of zones that observe. A primary counts as failed only when the
// availability zones that report a fault are a majority of that number, and a fleet in fewer than maxObserverZones zones has fewer.
// The number is updated only from one lease after the start of the leadership.
func (s *Switchover) recordSync(now ident.Time, host ident.Host, zone ident.Zone) {
	l := s.leadership
	if l == nil {
		return
	}
	l.lastSync[host] = syncRecord{now, zone}
	if now < l.since.Add(control.Lease) {
		return
	}
	zones := make(map[ident.Zone]bool)
	for name, last := range l.lastSync {
		if now.Sub(last.at) > control.Lease {
			delete(l.lastSync, name)
			continue
		}
		zones[last.zone] = true
	}
	if count := min(maxObserverZones, len(zones)); count != l.observerZones {
		l.observerZones = count
		s.distributeState(now)
	}
}

// Announced handles an announcement that the controller accepted.
func (s *Switchover) Announced(now ident.Time, request *fleetpb.AnnounceRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stepExisting(now, ident.Service(request.GetService()), failover.Announced{
		Member: failover.MemberOf(request.GetMember()),
		Lease:  time.Duration(request.GetLeaseMs()) * time.Millisecond,
	})
}

// stepExisting steps the group of a service that the text names; an event for any other service is ignored.
func (s *Switchover) stepExisting(now ident.Time, service ident.Service, event failover.Event) {
	if s.leadership != nil && s.leadership.groups[service] != nil {
		s.step(now, service, event)
	}
}

func (s *Switchover) stepAll(now ident.Time, event failover.Event) {
	if s.leadership == nil {
		return
	}
	for service := range s.leadership.groups {
		s.step(now, service, event)
	}
}

// step steps the group of a service, which it creates if needed, and performs the resulting actions. The lock is held.
func (s *Switchover) step(now ident.Time, service ident.Service, event failover.Event) {
	group := s.leadership.groups[service]
	if group == nil {
		group = failover.New(failover.Options{Service: service, Seed: seed(service, s.leadership.since)})
		s.leadership.groups[service] = group
	}
	for _, action := range group.Step(now, event) {
		s.perform(service, action)
	}
}

// seed returns a seed for the random pauses of a group; seeds only need to differ between groups and leaderships.
func seed(service ident.Service, since ident.Time) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	return h.Sum64() ^ uint64(since)
}

// perform performs an action of a group, on an upstream or as a proposal to the control log.
func (s *Switchover) perform(service ident.Service, action failover.Action) {
	if s.leadership.runner.Do(service, action) {
		return
	}
	name := string(service)
	switch a := action.(type) {
	case failover.ProposeAttempt:
		attempts.Inc()
		klog.InfoS("replacing the primary", "service", service, "term", a.Term, "cause", a.Cause)
		change := &fleetpb.Attempt{Service: name, Term: uint64(a.Term), Cause: a.Cause}
		s.proposeAsync(service, &fleetpb.Change{Kind: &fleetpb.Change_Attempt{Attempt: change}}, failover.AttemptCommitted{Term: a.Term})
	case failover.ProposePromoted:
		s.proposePromoted(service, a)
	case failover.ProposeJoin:
		join := &fleetpb.Join{Service: name, Member: memberMessage(a.Member)}
		s.proposeAsync(service, &fleetpb.Change{Kind: &fleetpb.Change_Join{Join: join}}, nil)
	case failover.ProposeLeave:
		leave := &fleetpb.Leave{Service: name, Upstream: string(a.Upstream), Remove: a.Remove}
		s.proposeAsync(service, &fleetpb.Change{Kind: &fleetpb.Change_Leave{Leave: leave}}, nil)
	case failover.GiveUp:
		failedAttempts.Inc()
		klog.InfoS("promotion attempt failed", "service", service, "term", a.Term, "cause", a.Cause)
	}
}

func (s *Switchover) proposePromoted(service ident.Service, a failover.ProposePromoted) {
	promotions.Inc()
	klog.InfoS("primary promoted", "service", service, "term", a.Term, "upstream", a.Upstream)
	promoted := &fleetpb.Promoted{
		Service:  string(service),
		Term:     uint64(a.Term),
		Upstream: string(a.Upstream),
		Base:     &fleetpb.Position{Term: uint64(a.Base.Term), Lsn: uint64(a.Base.LSN)},
	}
	committed := failover.PromotionCommitted{Term: a.Term, Upstream: a.Upstream}
	s.proposeAsync(service, &fleetpb.Change{Kind: &fleetpb.Change_Promoted{Promoted: promoted}}, committed)
}

// proposeAsync proposes a change without holding the lock. Once the change is committed, it steps the group with the event
// committed, unless that is nil or the leadership has ended.
func (s *Switchover) proposeAsync(service ident.Service, change *fleetpb.Change, committed failover.Event) {
	l := s.leadership
	l.proposals.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
		defer cancel()
		answer, err := s.propose(ctx, change)
		if err != nil {
			klog.InfoS("proposal failed", "service", service, "err", err)
			return
		}
		if outcome, ok := answer.(*fleetpb.Outcome); ok && !outcome.GetDone() {
			klog.InfoS("proposal refused", "service", service, "problem", outcome.GetProblem())
			return
		}
		if committed == nil {
			return
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.leadership == l {
			s.stepExisting(s.opts.Clock(), service, committed)
		}
	})
}

func memberMessage(m failover.Member) *fleetpb.Member {
	return &fleetpb.Member{
		Upstream: string(m.Upstream), Address: m.Address,
		Zone: string(m.Zone), Region: string(m.Region), Leaving: m.Leaving,
	}
}
