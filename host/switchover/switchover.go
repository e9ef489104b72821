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
	// tick is the time between two looks at each group.
	tick = 50 * time.Millisecond
	// proposeTimeout bounds one proposal to the control log.
	proposeTimeout = 2 * time.Second
	// maxObservers is the number of hosts that observe a group when there are enough.
	maxObservers = 3
)

var (
	attempts   = metrics.NewCounter("tamarack_promotion_attempts_total")
	promotions = metrics.NewCounter("tamarack_promotions_total")
	givenUp    = metrics.NewCounter("tamarack_promotion_attempts_failed_total")
)

// Propose appends a change to the control log and returns its answer.
type Propose func(ctx context.Context, change *fleetpb.Change) (proto.Message, error)

// Options holds what New needs.
type Options struct {
	Clock func() ident.Time
	// User and Password are the credentials at the upstreams.
	User, Password string
	// TLS holds the authority of upstreams' certificates; nil means connections without TLS.
	TLS *certificate.Store
}

// Switchover holds the groups of one term of office.
type Switchover struct {
	opts    Options
	mutex   sync.Mutex
	propose Propose
	office  *office
	text    *fleetpb.Text
	states  []*fleetpb.Group
	stop    chan struct{}
	done    chan struct{}
}

// office is one term of office of this host as the control leader.
type office struct {
	since  ident.Time
	runner *promotion.Runner
	groups map[ident.Service]*failover.Group
	// synced is when each host sent its last sync, and observers the number of observers that groups were told.
	synced    map[ident.Host]ident.Time
	observers int
	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup
}

// New returns a part of the controller that decides nothing before Start.
func New(opts Options) *Switchover {
	return &Switchover{opts: opts, stop: make(chan struct{}), done: make(chan struct{})}
}

// Start begins to decide; propose is the controller's Propose.
func (s *Switchover) Start(propose Propose) {
	s.mutex.Lock()
	s.propose = propose
	s.mutex.Unlock()
	go s.ticks()
}

// Close ends all decisions.
func (s *Switchover) Close() {
	close(s.stop)
	<-s.done
	s.mutex.Lock()
	ended := s.office
	s.office = nil
	s.mutex.Unlock()
	ended.end()
}

// Done is closed when the part has ended.
func (s *Switchover) Done() <-chan struct{} { return s.done }

func (s *Switchover) ticks() {
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

// SetLeadership begins or ends a leadership of this host.
func (s *Switchover) SetLeadership(now ident.Time, leadership control.Leadership) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if leadership.Leads && s.office != nil && s.office.since == leadership.Since {
		return
	}
	go s.office.end()
	s.office = nil
	if !leadership.Leads {
		return
	}
	s.office = s.newOffice(leadership.Since)
	s.giveState(now)
}

func (s *Switchover) newOffice(since ident.Time) *office {
	ctx, cancel := context.WithCancel(context.Background())
	o := &office{since: since, groups: make(map[ident.Service]*failover.Group), synced: make(map[ident.Host]ident.Time), ctx: ctx, cancel: cancel}
	o.runner = promotion.New(promotion.Options{
		User:     s.opts.User,
		Password: s.opts.Password,
		TLS:      s.opts.TLS,
		Deliver: func(service ident.Service, answer failover.Answer) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			if s.office == o {
				s.step(s.opts.Clock(), service, answer)
			}
		},
	})
	return o
}

// end stops what a term of office has under way; it may be called on nil.
func (o *office) end() {
	if o == nil {
		return
	}
	o.cancel()
	o.runner.Close()
	o.work.Wait()
}

// SetState takes over the text in force and the groups.
func (s *Switchover) SetState(now ident.Time, text *fleetpb.Text, groups []*fleetpb.Group) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.text = text
	s.states = groups
	s.giveState(now)
}

// giveState tells every group its control state and the zones that are out.
func (s *Switchover) giveState(now ident.Time) {
	if s.office == nil {
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
	states := make(map[string]*fleetpb.Group, len(s.states))
	for _, state := range s.states {
		states[state.GetService()] = state
	}
	for name, size := range sizes {
		service := ident.Service(name)
		s.step(now, service, zones)
		s.step(now, service, failover.ControlOf(states[name], size, s.office.observers))
	}
	for service := range s.office.groups {
		if _, named := sizes[string(service)]; !named {
			delete(s.office.groups, service)
		}
	}
}

// Observed takes a host's observations.
func (s *Switchover) Observed(now ident.Time, host ident.Host, zone ident.Zone, observed []*fleetpb.Observed) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.noteHost(now, host)
	for _, o := range observed {
		s.stepKnown(now, ident.Service(o.GetService()), failover.ObservedOf(host, zone, o))
	}
}

// noteHost counts the hosts that can observe, since a small fleet has fewer observers than a majority is counted of.
func (s *Switchover) noteHost(now ident.Time, host ident.Host) {
	o := s.office
	if o == nil {
		return
	}
	o.synced[host] = now
	if now < o.since.Add(control.Lease) {
		return
	}
	for name, at := range o.synced {
		if now.Sub(at) > control.Lease {
			delete(o.synced, name)
		}
	}
	if count := min(maxObservers, len(o.synced)); count != o.observers {
		o.observers = count
		s.giveState(now)
	}
}

// Announced takes an announcement that the controller accepted.
func (s *Switchover) Announced(now ident.Time, request *fleetpb.AnnounceRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stepKnown(now, ident.Service(request.GetService()), failover.Announced{
		Member: failover.MemberOf(request.GetMember()),
		Lease:  time.Duration(request.GetLeaseMs()) * time.Millisecond,
	})
}

// stepKnown steps a group that the text names.
func (s *Switchover) stepKnown(now ident.Time, service ident.Service, event failover.Event) {
	if s.office != nil && s.office.groups[service] != nil {
		s.step(now, service, event)
	}
}

func (s *Switchover) stepAll(now ident.Time, event failover.Event) {
	if s.office == nil {
		return
	}
	for service := range s.office.groups {
		s.step(now, service, event)
	}
}

// step runs under the lock.
func (s *Switchover) step(now ident.Time, service ident.Service, event failover.Event) {
	group := s.office.groups[service]
	if group == nil {
		group = failover.New(failover.Options{Service: service, Seed: seed(service, s.office.since)})
		s.office.groups[service] = group
	}
	for _, action := range group.Step(now, event) {
		s.do(service, action)
	}
}

// seed varies the pauses of groups; it needs no quality beyond being different.
func seed(service ident.Service, since ident.Time) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	return h.Sum64() ^ uint64(since)
}

func (s *Switchover) do(service ident.Service, action failover.Action) {
	if s.office.runner.Do(service, action) {
		return
	}
	name := string(service)
	switch a := action.(type) {
	case failover.ProposeAttempt:
		attempts.Inc()
		klog.InfoS("replacing the primary", "service", service, "term", a.Term, "cause", a.Cause)
		change := &fleetpb.Attempt{Service: name, Term: uint64(a.Term), Cause: a.Cause}
		s.send(service, &fleetpb.Change{Kind: &fleetpb.Change_Attempt{Attempt: change}}, failover.AttemptCommitted{Term: a.Term})
	case failover.ProposePromoted:
		s.proposePromoted(service, a)
	case failover.ProposeJoin:
		join := &fleetpb.Join{Service: name, Member: memberMessage(a.Member)}
		s.send(service, &fleetpb.Change{Kind: &fleetpb.Change_Join{Join: join}}, nil)
	case failover.ProposeLeave:
		leave := &fleetpb.Leave{Service: name, Upstream: string(a.Upstream), Remove: a.Remove}
		s.send(service, &fleetpb.Change{Kind: &fleetpb.Change_Leave{Leave: leave}}, nil)
	case failover.GiveUp:
		givenUp.Inc()
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
	s.send(service, &fleetpb.Change{Kind: &fleetpb.Change_Promoted{Promoted: promoted}}, committed)
}

// send proposes a change without holding the lock, and tells the group when the log holds it.
func (s *Switchover) send(service ident.Service, change *fleetpb.Change, committed failover.Event) {
	o := s.office
	o.work.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, proposeTimeout)
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
		if s.office == o {
			s.stepKnown(s.opts.Clock(), service, committed)
		}
	})
}

func memberMessage(m failover.Member) *fleetpb.Member {
	return &fleetpb.Member{
		Upstream: string(m.Upstream), Address: m.Address,
		Zone: string(m.Zone), Region: string(m.Region), Leaving: m.Leaving,
	}
}
