package routing

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/freshness"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/access"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/upstream"
)

const (
	// reportMaxAge is the age of an answer from which on it says nothing about whether the primary runs. It is longer than the
	// time without answers after which a primary counts as dead.
	reportMaxAge = 3 * time.Second
	// trimInterval is the interval between updates of limits, which also close idle connections.
	trimInterval = 100 * time.Millisecond
)

// Options configure a table.
type Options struct {
	Host    ident.Host
	Zone    ident.Zone
	Region  ident.Region
	Regions map[ident.Zone]ident.Region
	// Protocol is the protocol of the upstreams.
	Protocol upstream.Protocol
	// Meter counts the operations that this host sends to upstreams; nil if usage is not reported.
	Meter upstream.Meter
	// Gateways is the client for the gateways on other hosts.
	Gateways *gateway.Client
	// EvacuationGrace is how long open transactions may go on on an upstream whose availability zone is evacuated.
	EvacuationGrace time.Duration
}

// Table holds one host's configuration and its view of the upstreams. It is safe for concurrent use.
type Table struct {
	options Options
	access  *access.Register
	refresh chan struct{}

	mu       sync.RWMutex
	groups   map[ident.Service]*group
	received bool
	// directory is the last one that was set, or nil.
	directory *fleetpb.Directory
	hosts     []*fleetpb.EntryHost
	// peers has what is known of other hosts that hold connections, by their ids.
	peers map[string]*connections.Peer
}

// group holds the upstreams of one service.
type group struct {
	freshness *freshness.Tracker
	members   []*member
	primary   ident.Upstream
	// changed is closed at the next change of members or primary. Guarded by the table's mu.
	changed chan struct{}
	// probing is closed when the running query for the primary's position ends; nil when none runs. Guarded by mu.
	mu      sync.Mutex
	probing chan struct{}
}

// member is one upstream of a service.
type member struct {
	pool      *upstream.Pool
	leaving   bool
	evacuated bool
	account   account
}

// New returns a table without a configuration and without upstreams.
func New(options Options) *Table {
	return &Table{options: options, access: access.New(), groups: map[ident.Service]*group{}, peers: map[string]*connections.Peer{}, refresh: make(chan struct{}, 1)}
}

// Catalog returns the configuration in force, or nil before the first one.
func (t *Table) Catalog() *catalog.Catalog {
	return t.access.Catalog()
}

// Access returns the register of the operations that the configuration in force allows.
func (t *Table) Access() *access.Register {
	return t.access
}

// SetCatalog puts a configuration into force unless the current version is as high or higher, and reports whether it did.
func (t *Table) SetCatalog(c *catalog.Catalog) bool {
	if !t.access.SetCatalog(c) {
		return false
	}
	t.applyLimits()
	return true
}

// applyLimits applies the limits of the current configuration to the pools of the current directory.
func (t *Table) applyLimits() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.directory != nil {
		t.setDirectory(t.directory)
	}
}

// Received reports whether the host has a configuration and a directory.
func (t *Table) Received() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.received && t.Catalog() != nil
}

// Hosts returns the entry hosts of the directory, which must not be changed.
func (t *Table) Hosts() []*fleetpb.EntryHost {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.hosts
}

// HostCount returns the number of entry hosts in the directory.
func (t *Table) HostCount() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.hosts)
}

// RequestRefresh asks for a newer directory, after an upstream turned out to be in another state than the directory says.
func (t *Table) RequestRefresh() {
	select {
	case t.refresh <- struct{}{}:
	default:
	}
}

// RefreshRequested returns a channel that receives a value after RequestRefresh.
func (t *Table) RefreshRequested() <-chan struct{} {
	return t.refresh
}

// SetDirectory replaces the upstreams, primaries and hosts, and closes the pools of upstreams that are no longer listed.
func (t *Table) SetDirectory(d *fleetpb.Directory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received, t.directory = true, d
	t.setDirectory(d)
}

func (t *Table) setDirectory(d *fleetpb.Directory) {
	primaries := map[string]string{}
	for _, p := range d.GetPrimaries() {
		primaries[p.GetService()] = p.GetUpstream()
	}
	t.hosts = d.GetHosts()
	maps.DeleteFunc(t.peers, func(id string, _ *connections.Peer) bool {
		return !slices.ContainsFunc(t.hosts, func(host *fleetpb.EntryHost) bool { return host.GetHost() == id })
	})
	now := steady.Now()
	members := map[ident.Service][]*member{}
	for _, a := range d.GetUpstreams() {
		service := ident.Service(a.GetService())
		target := upstream.Target{
			Service:  service,
			Upstream: ident.Upstream(a.GetUpstream()),
			Address:  a.GetAddress(),
			Zone:     ident.Zone(a.GetZone()),
			Region:   t.options.Regions[ident.Zone(a.GetZone())],
			Born:     a.GetBorn(),
		}
		pool, known := t.pool(target)
		pool.SetCapacity(int(a.GetCapacity()))
		evacuated := slices.Contains(d.GetEvacuated(), a.GetZone())
		if evacuated {
			pool.Evacuate(now, t.options.EvacuationGrace)
		} else {
			pool.EndEvacuation()
		}
		members[service] = append(members[service], &member{
			pool:      pool,
			leaving:   a.GetLeaving(),
			evacuated: evacuated,
			account:   known,
		})
	}
	for service := range members {
		if t.groups[service] == nil {
			t.groups[service] = &group{freshness: freshness.New()}
		}
	}
	for service, g := range t.groups {
		for _, old := range g.members {
			if !slices.ContainsFunc(members[service], func(m *member) bool { return m.pool == old.pool }) {
				old.pool.Close()
			}
		}
		g.update(members[service], ident.Upstream(primaries[string(service)]))
	}
	t.updateAccounts(now)
	for _, a := range d.GetUpstreams() {
		if a.GetWarmupMs() > 0 {
			m := t.find(ident.Service(a.GetService()), ident.Upstream(a.GetUpstream()))
			m.account.warmupEnd = now.Add(time.Duration(a.GetWarmupMs()) * time.Millisecond)
			t.applyWarmup(now, m)
		}
	}
}

// applyWarmup sets the rate of statements to an upstream that warms up. The caller must hold mu.
func (t *Table) applyWarmup(now ident.Time, m *member) {
	if rate := t.warmupRate(m); now < m.account.warmupEnd && rate >= 0 {
		m.pool.SetWarmup(m.account.warmupEnd, rate)
	}
}

// warmupRate returns how many statements a second this host may send to an upstream that warms up: the full rate of the
// service on the gateway, 0 on other hosts. It is negative if the service sets no limit.
func (t *Table) warmupRate(m *member) float64 {
	target := m.pool.Target()
	service := t.Catalog().Service(target.Service)
	if service == nil || service.WarmupRate <= 0 {
		return -1
	}
	if m.account.role != connections.RoleGateway {
		return 0
	}
	return service.WarmupRate
}

// Pool returns the connection pool of an upstream for a request of another host, or nil if the upstream is unknown. It implements
// gateway.Pools.
func (t *Table) Pool(service ident.Service, id ident.Upstream) *upstream.Pool {
	m := t.member(service, id)
	if m == nil {
		return nil
	}
	t.recordAsked(m)
	return m.pool
}

func (t *Table) member(service ident.Service, id ident.Upstream) *member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.find(service, id)
}

// find returns a listed upstream, or nil. The caller must hold mu.
func (t *Table) find(service ident.Service, id ident.Upstream) *member {
	if g := t.groups[service]; g != nil {
		for _, m := range g.members {
			if m.pool.Target().Upstream == id {
				return m
			}
		}
	}
	return nil
}

// pool returns the existing pool of a target and what is known of its connections, or a new pool if any of the target's fields has
// changed. The caller must hold mu.
func (t *Table) pool(target upstream.Target) (*upstream.Pool, account) {
	if g := t.groups[target.Service]; g != nil {
		for _, m := range g.members {
			if m.pool.Target() == target {
				return m.pool, m.account
			}
		}
	}
	pool := upstream.NewPool(target, t.options.Protocol, 0)
	pool.SetMeter(t.options.Meter)
	pool.SetAccess(t.access)
	return pool, account{}
}

func (t *Table) group(service ident.Service) *group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.groups[service]
}

// Primary returns the pool of the primary of a route's service, or nil while no primary is usable for the route and team.
func (t *Table) Primary(route *catalog.Route, team *catalog.Team) *upstream.Pool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	g := t.groups[route.Service]
	if g == nil {
		return nil
	}
	for _, m := range g.members {
		if m.pool.Target().Upstream == g.primary && t.serves(m, route, team) {
			return m.pool
		}
	}
	return nil
}

// Reports returns, for each primary that has lately answered on a connection of this host, how long ago that was. Statements that
// ran through a gateway are reported by the gateway's host, so a primary is not reported by every host of the fleet.
func (t *Table) Reports(now ident.Time) []*fleetpb.PrimaryReport {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var reports []*fleetpb.PrimaryReport
	for service, g := range t.groups {
		for _, m := range g.members {
			target := m.pool.Target()
			if target.Upstream != g.primary {
				continue
			}
			answered := m.pool.LastAnswer()
			if answered == 0 || now.Sub(answered) > reportMaxAge {
				continue
			}
			age := uint32(max(0, now.Sub(answered)/time.Millisecond))
			reports = append(reports, &fleetpb.PrimaryReport{Service: string(service), Upstream: string(target.Upstream), AnsweredMs: &age})
		}
	}
	return reports
}

// Run keeps limits and idle connections up to date until ctx ends. It then closes all pools.
func (t *Table) Run(ctx context.Context) {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.closePools()
			return
		}
		t.maintain(steady.Now())
	}
}

func (t *Table) closePools() {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, g := range t.groups {
		for _, m := range g.members {
			m.pool.Close()
		}
	}
}
