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
	// watchTimeout bounds a question; a configuration of hundreds of routes fits.
	watchTimeout = 800 * time.Millisecond
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
	// Parse reads a configuration's text.
	Parse func(source []byte) (*catalog.Catalog, error)
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
	next    int
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

// Moved takes the address that a host which does not lead has named.
func (l *Link) Moved(leader string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = leader
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
	select {
	case l.wake <- struct{}{}:
	default:
	}
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
			select {
			case <-time.After(hurryEvery):
			case <-ctx.Done():
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

// target returns the leader, or the next core host to ask for it.
func (l *Link) target() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return l.leader
	}
	seeds := l.options.Seeds()
	all := slices.Concat(l.members, seeds)
	if len(all) == 0 {
		return ""
	}
	l.next++
	return all[l.next%len(all)]
}

// watch asks once; false says that the leader has not answered.
func (l *Link) watch(ctx context.Context) bool {
	address := l.target()
	if address == "" {
		return false
	}
	watches.Inc()
	table := l.options.Table
	now := steady.Now()
	request := &fleetpb.WatchRequest{
		Host:        string(l.options.Host),
		Incarnation: uint64(l.options.Incarnation),
		Zone:        string(l.options.Zone),
		Peer:        l.options.Peer,
		Reports:     table.Reports(now),
	}
	if c := table.Catalog(); c != nil {
		request.Version = uint64(c.Version)
	}
	l.mu.Lock()
	request.Digest, request.Leaving = l.digest, l.leaving
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	response, err := fleetpb.NewCoreProtobufClient(l.options.Peers.URL(address), l.client).Watch(ctx, request)
	if err != nil {
		failures.Inc()
		l.lost(address, err)
		return false
	}
	return l.take(now, address, response)
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
		l.leader = response.GetLeader()
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
		parsed, err := l.options.Parse(c.GetSource())
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
		klog.InfoS("Directory changed", "upstreams", len(d.GetUpstreams()), "evacuated", d.GetEvacuated(), "primaries", names(d))
		l.mu.Lock()
		l.digest = response.GetDigest()
		l.mu.Unlock()
	}
	return true
}

func names(d *fleetpb.Directory) []string {
	list := make([]string, 0, len(d.GetPrimaries()))
	for _, p := range d.GetPrimaries() {
		list = append(list, p.GetService()+"="+p.GetUpstream())
	}
	return list
}
