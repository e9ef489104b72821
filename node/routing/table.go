package routing

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/freshness"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/upstream"
)

const (
	// reservedConnections is the number of connections of each upstream that its gateway leaves to the core, which queries its
	// position, and to hosts that can't reach the gateway.
	reservedConnections = 4
	// nonGatewayConnections is the number of connections to an upstream that a host other than its gateway may open.
	nonGatewayConnections = 1
	// reportMaxAge is the age of an answer from which on it says nothing about whether the primary runs. It is longer than the
	// time without answers after which a primary counts as dead.
	reportMaxAge = 3 * time.Second
	// trimInterval is the interval between checks for idle connections to close.
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
	// Gateways is the client for the gateways on other hosts.
	Gateways *gateway.Client
}

// Table holds one host's configuration and its view of the upstreams. It is safe for concurrent use.
type Table struct {
	options Options
	catalog atomic.Pointer[catalog.Catalog]
	refresh chan struct{}

	mu       sync.RWMutex
	groups   map[ident.Service]*group
	received bool
	// directory is the last one that was set, or nil.
	directory *fleetpb.Directory
	hosts     []*fleetpb.EntryHost
	// avoided maps the hosts whose gateway did not answer to the time until which they are not used.
	avoided map[string]ident.Time
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
}

// New returns a table without a configuration and without upstreams.
func New(options Options) *Table {
	return &Table{options: options, groups: map[ident.Service]*group{}, avoided: map[string]ident.Time{}, refresh: make(chan struct{}, 1)}
}

// Catalog returns the configuration in force, or nil before the first one.
func (t *Table) Catalog() *catalog.Catalog {
	return t.catalog.Load()
}

// SetCatalog puts a configuration into force unless the current version is as high or higher, and reports whether it did.
func (t *Table) SetCatalog(c *catalog.Catalog) bool {
	for {
		old := t.catalog.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if t.catalog.CompareAndSwap(old, c) {
			t.applyLimits()
			return true
		}
	}
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
		pool := t.pool(target, t.limit(target))
		pool.SetCapacity(int(a.GetCapacity()))
		if rate := t.warmupRate(target); a.GetWarmupMs() > 0 && rate >= 0 {
			pool.SetWarmup(steady.Now().Add(time.Duration(a.GetWarmupMs())*time.Millisecond), rate)
		}
		members[service] = append(members[service], &member{
			pool:      pool,
			leaving:   a.GetLeaving(),
			evacuated: slices.Contains(d.GetEvacuated(), a.GetZone()),
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
}

// limit returns how many connections to an upstream this host may open. The gateway holds nearly all of them, on behalf of
// all hosts.
func (t *Table) limit(target upstream.Target) int {
	service := t.Catalog().Service(target.Service)
	if service == nil || gatewayOf(t.hosts, target) != t.self() {
		return nonGatewayConnections
	}
	return max(nonGatewayConnections, service.Connections-reservedConnections)
}

// warmupRate returns how many statements a second this host may send to an upstream that warms up: the full rate of the
// service on the gateway, 0 on other hosts. It is negative if the service sets no limit.
func (t *Table) warmupRate(target upstream.Target) float64 {
	service := t.Catalog().Service(target.Service)
	if service == nil || service.WarmupRate <= 0 {
		return -1
	}
	if gatewayOf(t.hosts, target) != t.self() {
		return 0
	}
	return service.WarmupRate
}

// Pool returns the connection pool of an upstream, or nil if the upstream is unknown. It implements gateway.Pools.
func (t *Table) Pool(service ident.Service, id ident.Upstream) *upstream.Pool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if g := t.groups[service]; g != nil {
		for _, m := range g.members {
			if m.pool.Target().Upstream == id {
				return m.pool
			}
		}
	}
	return nil
}

// pool returns the existing pool of a target, or a new one if any of the target's fields has changed. The caller must hold mu.
func (t *Table) pool(target upstream.Target, limit int) *upstream.Pool {
	if g := t.groups[target.Service]; g != nil {
		for _, m := range g.members {
			if m.pool.Target() == target {
				m.pool.SetLimit(limit)
				return m.pool
			}
		}
	}
	return upstream.NewPool(target, t.options.Protocol, limit)
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

// Run closes idle connections periodically until ctx ends. It then closes all pools.
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
		now := steady.Now()
		t.mu.RLock()
		for _, g := range t.groups {
			for _, m := range g.members {
				m.pool.Trim(now)
			}
		}
		t.mu.RUnlock()
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
