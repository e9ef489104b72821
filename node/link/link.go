package link

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/node/routing"
)

const (
	// watchEvery is the interval of questions to the leader. A configuration has to be in force within seconds of its
	// acknowledgement.
	watchEvery = 400 * time.Millisecond
	// hurryEvery is the least interval while the host has reason to believe that what it knows is old.
	hurryEvery = 100 * time.Millisecond
	// watchTimeout bounds a question; a configuration of hundreds of routes fits, and a leader that is lost is noticed within
	// the time of an election.
	watchTimeout = 500 * time.Millisecond
	// searchTimeout bounds a question to all core hosts while the leader is unknown. One of them may stand still, and the next
	// question must not wait for it; a round trip between regions takes 24 ms.
	searchTimeout = 200 * time.Millisecond
	// reserveSpare is added to the hosts that share the reserves of teams, for those that are not known yet.
	reserveSpare = 2
	// inTouch is the time after the last answer for which the host counts itself in touch with the core.
	inTouch = 3 * time.Second
)

var (
	watches  = metrics.NewCounter("tamarack_link_watches_total")
	failures = metrics.NewCounter("tamarack_link_watch_failures_total")
)

// Options configure a link.
type Options struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Zone        ident.Zone
	// Peer is the address at which the host serves other entry hosts.
	Peer string
	// Seeds returns the peer addresses of core hosts that the settings name now.
	Seeds func() []string
	Peers *peer.Network
	Table *routing.Table
	// Beyond is what teams may run beyond rate and burst over the whole fleet, and Reserves takes this host's part.
	Beyond   Beyond
	Reserves func(map[ident.Team]limit.Reserve)
	// Parse reads a configuration's text.
	Parse func(source []byte) (*catalog.Catalog, error)
}

// Beyond is what a team may run beyond its rate and burst in any window over the whole fleet: a part of what the window allows
// and a number of operations.
type Beyond struct {
	Window time.Duration
	Part   float64
	Slack  int64
}

// Link is an entry host's connection to the core.
type Link struct {
	options Options
	client  *http.Client
	mu      sync.Mutex
	leader  string
	members []string
	heard   ident.Time
	digest  uint64
	leaving bool
	wake    chan struct{}
}

// New returns a link that knows no leader.
func New(options Options) *Link {
	return &Link{options: options, client: options.Peers.Client(0), wake: make(chan struct{}, 1)}
}

// Now returns the host's logical time.
func (l *Link) Now() ident.Time {
	return steady.Now()
}

// Owner returns the peer address of the leader, which owns the limits of teams, or nothing while it is unknown.
func (l *Link) Owner() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// Moved takes the address that a host which does not lead has named. The next question finds the leader.
func (l *Link) Moved(string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = ""
}

// Silent takes the address of an owner that did not answer. The host asks all core hosts at once, since calls for tokens are
// more frequent than its questions and notice a lost leader first.
func (l *Link) Silent(owner string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != owner {
		return
	}
	klog.InfoS("Core leader does not lend tokens", "leader", owner)
	l.leader = ""
	l.hurry()
}

// hurry lets Run ask without waiting for its interval.
func (l *Link) hurry() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// InTouch reports whether the leader has answered lately.
func (l *Link) InTouch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard != 0 && steady.Now().Sub(l.heard) < inTouch
}

// Leave tells the core that the host is shutting down.
func (l *Link) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	l.hurry()
}

// Run asks the leader until ctx ends.
func (l *Link) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.options.Table.Suspected():
			if steady.Wait(ctx, hurryEvery) != nil {
				return
			}
		case <-l.wake:
		case <-timer.C:
		}
		wait := watchEvery
		if !l.watch(ctx) {
			wait = hurryEvery
		}
		timer.Reset(wait + time.Duration(rand.Int64N(int64(hurryEvery))))
	}
}

// targets returns the leader, or all core hosts while it is not known.
func (l *Link) targets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return []string{l.leader}
	}
	all := slices.Concat(l.members, l.options.Seeds())
	slices.Sort(all)
	return slices.Compact(all)
}

// watch asks the leader, or all core hosts at once while it is not known; false says that no leader has answered.
func (l *Link) watch(ctx context.Context) bool {
	request := l.request()
	asked := steady.Now()
	targets := l.targets()
	timeout := watchTimeout
	if len(targets) > 1 {
		timeout = searchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan bool, len(targets))
	for _, address := range targets {
		go func() { results <- l.ask(ctx, asked, address, request) }()
	}
	for range targets {
		if <-results {
			return true
		}
	}
	return false
}

func (l *Link) request() *fleetpb.WatchRequest {
	table := l.options.Table
	request := &fleetpb.WatchRequest{
		Host:        string(l.options.Host),
		Incarnation: uint64(l.options.Incarnation),
		Zone:        string(l.options.Zone),
		Peer:        l.options.Peer,
		Reports:     table.Reports(steady.Now()),
	}
	if c := table.Catalog(); c != nil {
		request.Version = uint64(c.Version)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	request.Digest, request.Leaving = l.digest, l.leaving
	return request
}

// ask asks one core host; true says that it leads.
func (l *Link) ask(ctx context.Context, asked ident.Time, address string, request *fleetpb.WatchRequest) bool {
	watches.Inc()
	response, err := fleetpb.NewCoreProtobufClient(l.options.Peers.URL(address), l.client).Watch(ctx, request)
	if err != nil {
		failures.Inc()
		l.lost(address, err)
		return false
	}
	return l.take(asked, address, response)
}

func (l *Link) lost(address string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == address {
		klog.InfoS("Core leader lost", "leader", address, "reason", trace.UserMessage(err))
		l.leader = ""
	}
}

func (l *Link) take(asked ident.Time, address string, response *fleetpb.WatchResponse) bool {
	l.mu.Lock()
	if len(response.GetMembers()) > 0 {
		l.members = response.GetMembers()
	}
	if !response.GetLeads() {
		if l.leader == address {
			l.leader = ""
		}
		l.mu.Unlock()
		return false
	}
	if l.leader != address {
		klog.InfoS("Core leader found", "leader", address)
	}
	l.leader, l.heard = address, asked
	l.mu.Unlock()
	if c := response.GetConfiguration(); c != nil {
		parsed, err := l.parse(c)
		if err != nil {
			klog.ErrorS(err, "Configuration cannot be read", "version", c.GetVersion())
			return false
		}
		if l.options.Table.SetCatalog(parsed) {
			klog.InfoS("Configuration in force", "version", parsed.Version, "routes", len(parsed.Routes), "teams", len(parsed.Teams))
		}
	}
	if d := response.GetDirectory(); d != nil && l.options.Table.Catalog() != nil {
		l.options.Table.SetDirectory(d)
		l.setReserves(len(d.GetHosts()))
		klog.InfoS("Directory changed", "upstreams", len(d.GetUpstreams()), "evacuated", d.GetEvacuated(), "primaries", names(d))
		l.mu.Lock()
		l.digest = response.GetDigest()
		l.mu.Unlock()
	}
	return true
}

func (l *Link) parse(c *fleetpb.Configure) (*catalog.Catalog, error) {
	source, err := catalog.Unpack(c.GetPacked())
	if err != nil {
		return nil, err
	}
	return l.options.Parse(source)
}

// setReserves gives this host its part of what teams may run beyond their limits, for the time without an owner of tokens.
func (l *Link) setReserves(hosts int) {
	beyond := l.options.Beyond
	reserves := map[ident.Team]limit.Reserve{}
	for team, rule := range l.options.Table.Catalog().Rules() {
		whole := float64(rule.Rate)*beyond.Window.Seconds() + float64(rule.Burst)
		tokens := (whole*beyond.Part + float64(beyond.Slack)) / float64(hosts+reserveSpare)
		reserves[team] = limit.Reserve{Tokens: int64(tokens), Window: beyond.Window}
	}
	l.options.Reserves(reserves)
}

func names(d *fleetpb.Directory) []string {
	list := make([]string, 0, len(d.GetPrimaries()))
	for _, p := range d.GetPrimaries() {
		list = append(list, p.GetService()+"="+p.GetUpstream())
	}
	return list
}
