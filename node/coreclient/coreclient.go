package coreclient

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
	// connectedFor is the time after the last answer for which the host counts itself connected to the core.
	connectedFor = 3 * time.Second
)

var (
	watches  = metrics.NewCounter("tamarack_link_watches_total")
	failures = metrics.NewCounter("tamarack_link_watch_failures_total")
)

// Options configure a Client.
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
	// Overrun is what teams may run beyond rate and burst over the whole fleet, and Reserves takes this host's part.
	Overrun  Overrun
	Reserves func(map[ident.Team]limit.Reserve)
	// Parse reads a configuration's text.
	Parse func(source []byte) (*catalog.Catalog, error)
}

// Overrun is what a team may run beyond its rate and burst in any window over the whole fleet: a part of what the window allows
// and a number of operations.
type Overrun struct {
	Window time.Duration
	Part   float64
	Slack  int64
}

// Client is an entry host's client of the core leader.
type Client struct {
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

// New returns a client that knows no leader.
func New(options Options) *Client {
	return &Client{options: options, client: options.Peers.Client(0), wake: make(chan struct{}, 1)}
}

// Now returns the host's logical time.
func (c *Client) Now() ident.Time {
	return steady.Now()
}

// Owner returns the peer address of the leader, which owns the limits of teams, or nothing while it is unknown.
func (c *Client) Owner() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// OwnerRedirected takes the address that a host which does not lead has named. The next question finds the leader.
func (c *Client) OwnerRedirected(string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = ""
}

// OwnerUnresponsive takes the address of an owner that did not answer. The host asks all core hosts at once, since calls for
// tokens are more frequent than its questions and notice a lost leader first.
func (c *Client) OwnerUnresponsive(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != owner {
		return
	}
	klog.InfoS("Core leader does not lend tokens", "leader", owner)
	c.leader = ""
	c.hurry()
}

// hurry lets Run ask without waiting for its interval.
func (c *Client) hurry() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Connected reports whether the leader has answered lately.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard != 0 && steady.Now().Sub(c.heard) < connectedFor
}

// Leave tells the core that the host is shutting down.
func (c *Client) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.hurry()
}

// Run asks the leader until ctx ends.
func (c *Client) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.options.Table.RefreshRequested():
			if steady.Wait(ctx, hurryEvery) != nil {
				return
			}
		case <-c.wake:
		case <-timer.C:
		}
		wait := watchEvery
		if !c.watch(ctx) {
			wait = hurryEvery
		}
		timer.Reset(wait + time.Duration(rand.Int64N(int64(hurryEvery))))
	}
}

// targets returns the leader, or all core hosts while it is not known.
func (c *Client) targets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return []string{c.leader}
	}
	all := slices.Concat(c.members, c.options.Seeds())
	slices.Sort(all)
	return slices.Compact(all)
}

// watch asks the leader, or all core hosts at once while it is not known; false says that no leader has answered.
func (c *Client) watch(ctx context.Context) bool {
	request := c.request()
	asked := steady.Now()
	targets := c.targets()
	timeout := watchTimeout
	if len(targets) > 1 {
		timeout = searchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan bool, len(targets))
	for _, address := range targets {
		go func() { results <- c.ask(ctx, asked, address, request) }()
	}
	for range targets {
		if <-results {
			return true
		}
	}
	return false
}

func (c *Client) request() *fleetpb.WatchRequest {
	table := c.options.Table
	request := &fleetpb.WatchRequest{
		Host:        string(c.options.Host),
		Incarnation: uint64(c.options.Incarnation),
		Zone:        string(c.options.Zone),
		Peer:        c.options.Peer,
		Reports:     table.Reports(steady.Now()),
	}
	if current := table.Catalog(); current != nil {
		request.Version = uint64(current.Version)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	request.Digest, request.Leaving = c.digest, c.leaving
	return request
}

// ask asks one core host; true says that it leads.
func (c *Client) ask(ctx context.Context, asked ident.Time, address string, request *fleetpb.WatchRequest) bool {
	watches.Inc()
	response, err := fleetpb.NewCoreProtobufClient(c.options.Peers.URL(address), c.client).Watch(ctx, request)
	if err != nil {
		failures.Inc()
		c.lost(address, err)
		return false
	}
	return c.take(asked, address, response)
}

func (c *Client) lost(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		klog.InfoS("Core leader lost", "leader", address, "reason", trace.UserMessage(err))
		c.leader = ""
	}
}

func (c *Client) take(asked ident.Time, address string, response *fleetpb.WatchResponse) bool {
	c.mu.Lock()
	if len(response.GetMembers()) > 0 {
		c.members = response.GetMembers()
	}
	if !response.GetLeads() {
		if c.leader == address {
			c.leader = ""
		}
		c.mu.Unlock()
		return false
	}
	if c.leader != address {
		klog.InfoS("Core leader found", "leader", address)
	}
	c.leader, c.heard = address, asked
	c.mu.Unlock()
	if configuration := response.GetConfiguration(); configuration != nil {
		parsed, err := c.parse(configuration)
		if err != nil {
			klog.ErrorS(err, "Configuration cannot be read", "version", configuration.GetVersion())
			return false
		}
		if c.options.Table.SetCatalog(parsed) {
			klog.InfoS("Configuration in force", "version", parsed.Version, "routes", len(parsed.Routes), "teams", len(parsed.Teams))
		}
	}
	if d := response.GetDirectory(); d != nil && c.options.Table.Catalog() != nil {
		c.options.Table.SetDirectory(d)
		c.setReserves(len(d.GetHosts()))
		klog.InfoS("Directory changed", "upstreams", len(d.GetUpstreams()), "evacuated", d.GetEvacuated(), "primaries", names(d))
		c.mu.Lock()
		c.digest = response.GetDigest()
		c.mu.Unlock()
	}
	return true
}

func (c *Client) parse(configuration *fleetpb.Configure) (*catalog.Catalog, error) {
	source, err := catalog.Unpack(configuration.GetPacked())
	if err != nil {
		return nil, err
	}
	return c.options.Parse(source)
}

// setReserves gives this host its part of what teams may run beyond their limits, for the time without an owner of tokens.
func (c *Client) setReserves(hosts int) {
	overrun := c.options.Overrun
	reserves := map[ident.Team]limit.Reserve{}
	for team, rule := range c.options.Table.Catalog().Rules() {
		whole := float64(rule.Rate)*overrun.Window.Seconds() + float64(rule.Burst)
		tokens := (whole*overrun.Part + float64(overrun.Slack)) / float64(hosts+reserveSpare)
		reserves[team] = limit.Reserve{Tokens: int64(tokens), Window: overrun.Window}
	}
	c.options.Reserves(reserves)
}

func names(d *fleetpb.Directory) []string {
	list := make([]string, 0, len(d.GetPrimaries()))
	for _, p := range d.GetPrimaries() {
		list = append(list, p.GetService()+"="+p.GetUpstream())
	}
	return list
}
