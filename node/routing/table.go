package routing

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/cover"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/upstream"
)

const (
	// reservedConnections of each upstream are left to the core, which asks for its position, and to hosts that do not reach
	// the upstream's gateway.
	reservedConnections = 4
	// strayConnections is the number that a host may use without being the upstream's gateway.
	strayConnections = 1
	// avoidGateway is how long a gateway that did not answer is passed over.
	avoidGateway = 1500 * time.Millisecond
	// trimEvery is the interval at which idle connections are looked through.
	trimEvery = 100 * time.Millisecond
	// probeTimeout bounds the question for a primary's position.
	probeTimeout = 1500 * time.Millisecond
)

// Costs that order the upstreams for a read, in milliseconds of waiting that they stand for.
const (
	costZone   = 3
	costRegion = 24
	costBusy   = 10
	costAvoid  = 1000
)

// Options describe the host.
type Options struct {
	Host    ident.Host
	Zone    ident.Zone
	Region  ident.Region
	Regions map[ident.Zone]ident.Region
	// Gateways calls the gateways on other hosts.
	Gateways *gateway.Client
}

// Table is the knowledge of one host. Its methods may be called from several goroutines.
type Table struct {
	options Options
	catalog atomic.Pointer[catalog.Catalog]
	suspect chan struct{}

	mu       sync.RWMutex
	groups   map[ident.Service]*group
	received bool
	hosts    []*fleetpb.EntryHost
	// avoided are the gateways that did not answer, until a time.
	avoided map[string]ident.Time
}

// group is what is known of one service.
type group struct {
	cover   *cover.Cover
	members []*member
	primary ident.Upstream
	// probing is closed when the question for the primary's position that is under way ends; nil when there is none.
	mu      sync.Mutex
	probing chan struct{}
}

type member struct {
	pool      *upstream.Pool
	leaving   bool
	evacuated bool
}

// New returns a table that knows nothing.
func New(options Options) *Table {
	return &Table{options: options, groups: map[ident.Service]*group{}, avoided: map[string]ident.Time{}, suspect: make(chan struct{}, 1)}
}

// Catalog returns the configuration in force, or nil before the first one.
func (t *Table) Catalog() *catalog.Catalog {
	return t.catalog.Load()
}

// SetCatalog brings a configuration into force, unless a higher version is.
func (t *Table) SetCatalog(c *catalog.Catalog) bool {
	for {
		old := t.catalog.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if t.catalog.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Received reports whether the host has a configuration and a directory.
func (t *Table) Received() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.received && t.Catalog() != nil
}

// Suspect asks for a newer directory, since an upstream was not what it was taken for.
func (t *Table) Suspect() {
	select {
	case t.suspect <- struct{}{}:
	default:
	}
}

// Suspected gets a value after Suspect.
func (t *Table) Suspected() <-chan struct{} {
	return t.suspect
}

// SetDirectory replaces what is known of upstreams.
func (t *Table) SetDirectory(d *fleetpb.Directory) {
	primaries := map[string]string{}
	for _, p := range d.GetPrimaries() {
		primaries[p.GetService()] = p.GetUpstream()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = true
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
		if rate := t.coldRate(target); a.GetWarmupMs() > 0 && rate >= 0 {
			pool.SetCold(steady.Now().Add(time.Duration(a.GetWarmupMs())*time.Millisecond), rate)
		}
		members[service] = append(members[service], &member{
			pool:      pool,
			leaving:   a.GetLeaving(),
			evacuated: slices.Contains(d.GetEvacuated(), a.GetZone()),
		})
	}
	for service := range members {
		if t.groups[service] == nil {
			t.groups[service] = &group{cover: cover.New()}
		}
	}
	for service, g := range t.groups {
		for _, old := range g.members {
			if !slices.ContainsFunc(members[service], func(m *member) bool { return m.pool == old.pool }) {
				old.pool.Close()
			}
		}
		g.members = members[service]
		g.primary = ident.Upstream(primaries[string(service)])
	}
}

// limit returns how many connections to an upstream this host may open: the gateway keeps them for all hosts.
func (t *Table) limit(target upstream.Target) int {
	service := t.Catalog().Service(target.Service)
	if service == nil || gatewayOf(t.hosts, target) != t.self() {
		return strayConnections
	}
	return max(strayConnections, service.Connections-reservedConnections)
}

// coldRate returns how many statements a second this host may send to a cold upstream: the gateway sends all that the service
// allows, other hosts none. It is negative where the service sets no limit.
func (t *Table) coldRate(target upstream.Target) float64 {
	service := t.Catalog().Service(target.Service)
	if service == nil || service.ColdRate <= 0 {
		return -1
	}
	if gatewayOf(t.hosts, target) != t.self() {
		return 0
	}
	return service.ColdRate
}

// self returns this host's entry in the directory, or nil.
func (t *Table) self() *fleetpb.EntryHost {
	for _, host := range t.hosts {
		if host.GetHost() == string(t.options.Host) {
			return host
		}
	}
	return nil
}

// gatewayOf selects the host that keeps the connections to an upstream, by rendezvous hashing over the hosts of its
// availability zone; nil when there is none.
func gatewayOf(hosts []*fleetpb.EntryHost, target upstream.Target) *fleetpb.EntryHost {
	var best *fleetpb.EntryHost
	var most uint64
	for _, host := range hosts {
		if ident.Zone(host.GetZone()) != target.Zone {
			continue
		}
		if weight := xxhash.Sum64String(host.GetHost() + "/" + string(target.Upstream)); best == nil || weight > most {
			best, most = host, weight
		}
	}
	return best
}

// Line returns a way to an upstream: over this host's own connections where it is the gateway or reaches none, otherwise
// through the gateway.
func (t *Table) Line(pool *upstream.Pool, team ident.Team, priority int) upstream.Line {
	now := steady.Now()
	t.mu.RLock()
	chosen := gatewayOf(t.hosts, pool.Target())
	if chosen != nil && now < t.avoided[chosen.GetHost()] {
		chosen = nil
	}
	t.mu.RUnlock()
	line := &counted{pool: pool}
	if chosen == nil || chosen.GetHost() == string(t.options.Host) {
		line.Line = pool.Line(team, priority)
		return line
	}
	line.Line = t.options.Gateways.Line(chosen.GetPeer(), pool.Target(), team, priority, func() {
		line.gatewayLost = true
		t.mu.Lock()
		defer t.mu.Unlock()
		t.avoided[chosen.GetHost()] = steady.Now().Add(avoidGateway)
	})
	return line
}

// Pool returns the connections to an upstream, or nil for one that is not known. It implements gateway.Pools.
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

// counted notes in the pool of the upstream how its lines fare.
type counted struct {
	upstream.Line
	pool        *upstream.Pool
	gatewayLost bool
}

// Do implements upstream.Line.
func (c *counted) Do(ctx context.Context, use upstream.Use) (upstream.Outcome, error) {
	c.pool.Enter()
	defer c.pool.Leave()
	c.gatewayLost = false
	outcome, err := c.Line.Do(ctx, use)
	if seen := outcome.Result.Position; seen != (ident.Position{}) {
		c.pool.Saw(steady.Now(), seen)
	}
	var broken *upstream.BrokenError
	var unreachable *upstream.UnreachableError
	switch {
	case err == nil:
		c.pool.Answered(steady.Now())
	case !c.gatewayLost && (errors.As(err, &broken) || errors.As(err, &unreachable)):
		c.pool.Failed(steady.Now())
	}
	return outcome, err
}

// pool returns the pool of an upstream, kept as long as the upstream is the same; the caller holds the lock.
func (t *Table) pool(target upstream.Target, limit int) *upstream.Pool {
	if g := t.groups[target.Service]; g != nil {
		for _, m := range g.members {
			if m.pool.Target() == target {
				m.pool.SetLimit(limit)
				return m.pool
			}
		}
	}
	return upstream.NewPool(target, limit)
}

func (t *Table) group(service ident.Service) *group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.groups[service]
}

// Candidate is an upstream that may run a statement.
type Candidate struct {
	Pool    *upstream.Pool
	Primary bool
	cost    int
}

// Candidates returns the upstreams that may run reads of a route for a team on a log that holds a position, the best first.
func (t *Table) Candidates(route *catalog.Route, team *catalog.Team, since ident.Position) []Candidate {
	now := steady.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	g := t.groups[route.Service]
	if g == nil {
		return nil
	}
	list := make([]Candidate, 0, len(g.members))
	for _, m := range g.members {
		target := m.pool.Target()
		if m.leaving || m.evacuated || !t.Catalog().Allows(route, team, target.Region) || m.pool.Lacks(now, since) {
			continue
		}
		list = append(list, Candidate{Pool: m.pool, Primary: target.Upstream == g.primary, cost: t.cost(m.pool, now)})
	}
	slices.SortStableFunc(list, func(x, y Candidate) int { return cmp.Compare(x.cost, y.cost) })
	return list
}

func (t *Table) cost(pool *upstream.Pool, now ident.Time) int {
	target, load := pool.Target(), pool.Load(now)
	cost := load.Busy * costBusy
	switch {
	case target.Zone == t.options.Zone:
	case target.Region == t.options.Region:
		cost += costZone
	default:
		cost += costRegion
	}
	if load.Avoid {
		cost += costAvoid
	}
	return cost
}

// Primary returns the upstream that is held for the primary of a route's service, or nil while there is none to use.
func (t *Table) Primary(route *catalog.Route, team *catalog.Team) *upstream.Pool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	g := t.groups[route.Service]
	if g == nil {
		return nil
	}
	for _, m := range g.members {
		target := m.pool.Target()
		if target.Upstream == g.primary && !m.leaving && !m.evacuated && t.Catalog().Allows(route, team, target.Region) {
			return m.pool
		}
	}
	return nil
}

// Learn takes a position from an answer that proves its upstream to have been the primary; asOf is before the question
// was sent.
func (t *Table) Learn(service ident.Service, position ident.Position, asOf ident.Time) {
	if g := t.group(service); g != nil && position != (ident.Position{}) {
		g.cover.Learn(position, asOf)
	}
}

// NoPositionError reports that no position is known that is new enough for a read.
type NoPositionError struct{ Cause error }

// Error implements error.
func (e *NoPositionError) Error() string {
	return "no recent position of the primary: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoPositionError) Unwrap() error { return e.Cause }

// Since returns a position that holds everything acknowledged before a time, and asks the primary for one when none is
// known. It asks ahead of need when the known ones get old, so that reads rarely wait.
func (t *Table) Since(ctx context.Context, route *catalog.Route, team *catalog.Team, at ident.Time) (ident.Position, error) {
	g := t.group(route.Service)
	if g == nil {
		return ident.Position{}, &NoPositionError{errors.New("the service has no upstreams")}
	}
	position, found := g.cover.Since(at)
	if latest, _ := g.cover.Latest(); found && latest >= at.Add(route.Staleness/2) {
		return position, nil
	}
	done := t.probe(g, route, team)
	if found {
		return position, nil
	}
	select {
	case <-done:
	case <-ctx.Done():
		return ident.Position{}, &NoPositionError{ctx.Err()}
	}
	if position, found := g.cover.Since(at); found {
		return position, nil
	}
	return ident.Position{}, &NoPositionError{errors.New("the primary did not answer")}
}

// probe asks the primary for its position; reads that need it at the same time share the question.
func (t *Table) probe(g *group, route *catalog.Route, team *catalog.Team) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.probing != nil {
		return g.probing
	}
	done := make(chan struct{})
	g.probing = done
	go func() {
		defer func() {
			g.mu.Lock()
			g.probing = nil
			g.mu.Unlock()
			close(done)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		pool := t.Primary(route, team)
		if pool == nil {
			t.Suspect()
			return
		}
		var name ident.Team
		if team != nil {
			name = team.Name
		}
		if err := t.ask(ctx, pool, name); err != nil {
			t.Suspect()
		}
	}()
	return done
}

// ask opens a transaction, which only a primary does, and so learns a position that holds everything acknowledged before.
func (t *Table) ask(ctx context.Context, pool *upstream.Pool, team ident.Team) error {
	asOf := steady.Now()
	outcome, err := t.Line(pool, team, 0).Do(ctx, upstream.Use{Opening: upstream.OpenPrimary})
	if err != nil {
		return err
	}
	t.Learn(pool.Target().Service, outcome.Opened, asOf)
	return nil
}

// Reports returns what the host has seen of the primaries.
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
			answered, failures := m.pool.Contact()
			report := &fleetpb.PrimaryReport{Service: string(service), Upstream: string(target.Upstream), Failures: uint32(failures)}
			if answered != 0 {
				age := uint32(max(0, now.Sub(answered)/time.Millisecond))
				report.AnsweredMs = &age
			}
			reports = append(reports, report)
		}
	}
	return reports
}

// Run closes idle connections until ctx ends, and then all.
func (t *Table) Run(ctx context.Context) {
	ticker := time.NewTicker(trimEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
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
