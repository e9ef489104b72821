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
	"tamarackshunt.dev/fleet/directory"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/fleet/metering"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/node/routing"
)

const (
	// watchInterval is the interval of requests to the leader. A configuration has to be in force within seconds of its
	// acknowledgement.
	watchInterval = 400 * time.Millisecond
	// minWatchInterval is the least interval between requests while no leader answers or the directory seems out of date.
	minWatchInterval = 100 * time.Millisecond
	// maxSearchPause bounds the pause between two searches that core hosts have held.
	maxSearchPause = 50 * time.Millisecond
	// watchTimeout bounds a request to the leader. It is enough to transfer a configuration of hundreds of routes, and a lost
	// leader is detected within the time of an election.
	watchTimeout = 500 * time.Millisecond
	// wholeTimeout is that timeout while the host has no configuration or no directory. After a loss of power, the leader sends
	// them to all hosts at once.
	wholeTimeout = 2 * time.Second
	// searchTimeout bounds the wait for all core hosts while the leader is unknown. One of them may be unresponsive, and the next
	// requests must not wait for it. It is longer than core hosts hold a search.
	searchTimeout = 200 * time.Millisecond
	// searchCallTimeout bounds one request of a search. A request that is broken off closes its connection, and hundreds of hosts
	// that open new ones again and again fill the queues of the core hosts.
	searchCallTimeout = 600 * time.Millisecond
	// connectedTimeout is the time after the last contact with the leader for which the host counts as connected.
	connectedTimeout = 3 * time.Second
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
	// Seeds returns the peer addresses of the core hosts in the current settings.
	Seeds func() []string
	Peers *peer.Network
	Table *routing.Table
	// Overrun is what teams may run beyond rate and burst over the whole fleet. Reserves receives this host's share of it.
	Overrun  limit.Overrun
	Reserves func(map[ident.Team]limit.Reserve)
	// Usage counts the operations that the host sends to upstreams; nil if usage is not reported.
	Usage *Usage
	// Parse parses the text of a configuration.
	Parse func(source []byte) (*catalog.Catalog, error)
}

// Client is an entry host's client of the core leader.
type Client struct {
	options Options
	client  *http.Client
	mu      sync.Mutex
	// leader is the address that takes the calls to the leader: its own, or that of an entry host if relayed is set. directAt is the time
	// of the last search for the leader itself while a relay is used.
	leader      string
	relayed     bool
	directAt    ident.Time
	members     []string
	lastContact ident.Time
	// directory is the one in use; the leader answers with what changed since.
	directory directory.Copy
	leaving   bool
	wake      chan struct{}
	// searchSince is the first of the last requests without an answer of the leader, or 0. Only Run uses it and searchLogged.
	searchSince  ident.Time
	searchLogged bool
}

// New returns a client that does not know the leader yet.
func New(options Options) *Client {
	return &Client{options: options, client: options.Peers.Client(0), wake: make(chan struct{}, 1)}
}

// Now returns the time of the steady clock.
func (c *Client) Now() ident.Time {
	return steady.Now()
}

// Owner returns the peer address of the leader, which owns the limits of teams, or an empty string while it is unknown.
func (c *Client) Owner() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// OwnerRedirected drops the leader after a host that does not lead has named another address. The next watch request finds the
// leader.
func (c *Client) OwnerRedirected(string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLeader("", false)
}

// OwnerUnresponsive reports that the owner at an address did not answer. The client queries all core hosts at once: calls for
// tokens are more frequent than watch requests, so they detect a lost leader first.
func (c *Client) OwnerUnresponsive(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != owner {
		return
	}
	klog.InfoS("Core leader does not lend tokens", "leader", owner)
	c.setLeader("", false)
	c.watchNow()
}

// watchNow makes Run send the next request without waiting for its interval.
func (c *Client) watchNow() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Connected reports whether the leader has answered a request that was sent within connectedTimeout.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastContact != 0 && steady.Now().Sub(c.lastContact) < connectedTimeout
}

// Leave notifies the core that the host is shutting down.
func (c *Client) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.watchNow()
}

// Run sends watch requests to the leader until ctx ends.
func (c *Client) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.options.Table.RefreshRequested():
			if steady.Wait(ctx, minWatchInterval) != nil {
				return
			}
		case <-c.wake:
		case <-timer.C:
		}
		start := steady.Now()
		found := c.watch(ctx)
		c.logSearch(found)
		timer.Reset(nextWatch(found, steady.Now().Sub(start)))
	}
}

// nextWatch returns the time until the next request, after one that took the given time and did or didn't find the leader. Core hosts
// hold a search, so that the next one follows the end of it soon; a search that ended early found no core host that runs.
func nextWatch(found bool, took time.Duration) time.Duration {
	switch {
	case found:
		return watchInterval + time.Duration(rand.Int64N(int64(minWatchInterval)))
	case took >= minWatchInterval:
		return time.Duration(rand.Int64N(int64(maxSearchPause)))
	}
	return minWatchInterval + time.Duration(rand.Int64N(int64(minWatchInterval)))
}

// logSearch logs once that no leader was found for a while, with the core hosts that were asked.
func (c *Client) logSearch(found bool) {
	now := steady.Now()
	if found {
		c.searchSince, c.searchLogged = 0, false
		return
	}
	if c.searchSince == 0 {
		c.searchSince = now
	}
	if !c.searchLogged && now.Sub(c.searchSince) >= connectedTimeout {
		c.searchLogged = true
		klog.InfoS("Core leader not found", "seconds", now.Sub(c.searchSince).Seconds(), "asked", c.targets())
	}
}

// targets returns the leader, or all core hosts while the leader is unknown.
func (c *Client) targets() []string {
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	if leader != "" {
		return []string{leader}
	}
	return c.coreHosts()
}

// coreHosts returns the peer addresses of the core hosts.
func (c *Client) coreHosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := slices.Concat(c.members, c.options.Seeds())
	slices.Sort(all)
	return slices.Compact(all)
}

// watch sends a request to the leader, which it searches for while it is unknown. It reports whether the leader answered.
func (c *Client) watch(ctx context.Context) bool {
	c.returnToDirect(ctx)
	targets, relayed := c.targets(), c.usesRelay()
	if len(targets) > 1 {
		leader := c.search(ctx, targets)
		if relayed = leader == ""; relayed {
			leader = c.searchRelays(ctx)
		}
		if leader == "" {
			return false
		}
		targets = []string{leader}
		if c.options.Usage != nil {
			c.options.Usage.leaderLost()
		}
	}
	request, usage := c.nextRequest()
	timeout := watchTimeout
	if request.GetDigest() == 0 || request.GetVersion() == 0 {
		timeout = wholeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.watchHost(ctx, targets[0], relayed, request, usage)
}

// Flush reports what the host has counted since its last report. It is called after the last statement of a shutdown.
func (c *Client) Flush(ctx context.Context) {
	if c.options.Usage != nil {
		c.options.Usage.finish()
		c.watch(ctx)
	}
}

// search asks core hosts at once which of them leads. The responses are small, so that hundreds of hosts that search at the same
// time don't fill the leader's link.
func (c *Client) search(ctx context.Context, targets []string) (leader string) {
	ctx, cancel := context.WithTimeout(ctx, searchCallTimeout)
	request := &fleetpb.WatchRequest{
		Host: string(c.options.Host), Incarnation: uint64(c.options.Incarnation), Zone: string(c.options.Zone), Peer: c.options.Peer,
		Leaving: c.isLeaving(), Search: true,
	}
	leaders := make(chan string, len(targets))
	var calls sync.WaitGroup
	for _, address := range targets {
		calls.Go(func() {
			response, err := c.call(ctx, address, request)
			if err != nil || !response.GetLeads() {
				address = ""
			}
			leaders <- address
		})
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	timer := time.NewTimer(searchTimeout)
	defer timer.Stop()
	for range targets {
		select {
		case leader = <-leaders:
			if leader != "" {
				return leader
			}
		case <-timer.C:
			return ""
		}
	}
	return ""
}

// usesRelay reports whether the calls to the leader go to an entry host that passes them on.
func (c *Client) usesRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relayed
}

func (c *Client) isLeaving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving
}

// call sends a request to one core host and records the members that the response names.
func (c *Client) call(ctx context.Context, address string, request *fleetpb.WatchRequest) (*fleetpb.WatchResponse, error) {
	watches.Inc()
	response, err := fleetpb.NewCoreProtobufClient(c.options.Peers.URL(address), c.client).Watch(ctx, request)
	if err != nil {
		failures.Inc()
		return nil, err
	}
	if members := response.GetMembers(); len(members) > 0 {
		c.mu.Lock()
		c.members = members
		c.mu.Unlock()
	}
	return response, nil
}

// nextRequest returns the next request and the usage report that it contains, or nil.
func (c *Client) nextRequest() (*fleetpb.WatchRequest, *metering.Report) {
	request := c.request()
	if c.options.Usage == nil {
		return request, nil
	}
	return request, c.options.Usage.addTo(request, c.options.Table.Catalog())
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
	request.Digest, request.Leaving = c.directory.Digest(), c.leaving
	return request
}

// watchHost sends a request, which contains a usage report unless that is nil, to one core host, or to a relay. It reports whether the
// leader has answered and its response was usable.
func (c *Client) watchHost(ctx context.Context, address string, relayed bool, request *fleetpb.WatchRequest, usage *metering.Report) bool {
	sentAt := steady.Now()
	response, err := c.call(ctx, address, request)
	if err != nil {
		c.handleFailure(address, err)
		return false
	}
	if c.options.Usage != nil {
		c.options.Usage.receive(sentAt, steady.Now(), usage, response)
	}
	return c.handleResponse(sentAt, address, relayed, request.GetDigest(), response)
}

func (c *Client) handleFailure(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		klog.InfoS("Core leader lost", "leader", address, "reason", trace.UserMessage(err))
		c.setLeader("", false)
	}
}

// handleResponse handles a response to a request that was sent with the digest of a directory, and reports whether it came from the
// leader and was usable.
func (c *Client) handleResponse(sentAt ident.Time, address string, relayed bool, digest uint64, response *fleetpb.WatchResponse) bool {
	c.mu.Lock()
	if !response.GetLeads() {
		if c.leader == address {
			c.setLeader("", false)
		}
		c.mu.Unlock()
		return false
	}
	if c.leader != address {
		klog.InfoS("Core leader found", "leader", address, "relayed", relayed)
	}
	c.setLeader(address, relayed)
	c.lastContact = sentAt
	c.mu.Unlock()
	if configuration := response.GetConfiguration(); configuration != nil {
		parsed, err := c.parse(configuration)
		if err != nil {
			klog.ErrorS(err, "Configuration cannot be read", "version", configuration.GetVersion())
			return false
		}
		if c.options.Table.SetCatalog(parsed) {
			c.setReserves()
			klog.InfoS("Configuration in force", "version", parsed.Version, "routes", len(parsed.Routes), "teams", len(parsed.Teams))
		}
	}
	c.mu.Lock()
	d := c.directory.Next(digest, response.GetDigest(), response.GetDirectory(), response.GetChange())
	c.mu.Unlock()
	if d != nil && c.options.Table.Catalog() != nil {
		c.options.Table.SetDirectory(d)
		c.setReserves()
		logDirectory(d, response.GetChange())
		c.mu.Lock()
		c.directory.Set(d, response.GetDigest())
		c.mu.Unlock()
	}
	return true
}

// logDirectory logs a new directory by its sizes, and the upstreams, primaries and hosts that changed; change is nil for a whole
// directory.
func logDirectory(d *fleetpb.Directory, change *fleetpb.DirectoryChange) {
	if change == nil {
		klog.InfoS("Directory received", "upstreams", len(d.GetUpstreams()), "hosts", len(d.GetHosts()), "evacuated", d.GetEvacuated(),
			"primaries", primaryNames(d.GetPrimaries()))
		return
	}
	var upstreams []string
	for _, a := range change.GetUpstreams() {
		upstreams = append(upstreams, a.GetUpstream())
	}
	klog.InfoS("Directory changed", "upstreams", upstreams, "removed", change.GetRemovedUpstreams(), "evacuated", d.GetEvacuated(),
		"primaries", primaryNames(change.GetPrimaries()), "hosts", len(change.GetHosts()), "removedHosts", change.GetRemovedHosts())
}

func (c *Client) parse(configuration *fleetpb.Configure) (*catalog.Catalog, error) {
	source, err := catalog.Unpack(configuration.GetPacked())
	if err != nil {
		return nil, err
	}
	return c.options.Parse(source)
}

// setReserves sets this host's share of what teams may run beyond their limits. It is spent while no owner of tokens answers.
func (c *Client) setReserves() {
	hosts := c.options.Table.HostCount()
	reserves := map[ident.Team]limit.Reserve{}
	for team, rule := range c.options.Table.Catalog().Rules() {
		reserves[team] = c.options.Overrun.Reserve(rule, hosts)
	}
	c.options.Reserves(reserves)
}

func primaryNames(primaries []*fleetpb.PrimaryView) []string {
	list := make([]string, 0, len(primaries))
	for _, p := range primaries {
		list = append(list, p.GetService()+"="+p.GetUpstream())
	}
	return list
}
