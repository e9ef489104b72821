package routing

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/cover"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

const (
	// reservedConnections of each upstream are left to the core, which asks for its position.
	reservedConnections = 2
	// lentConnections are those that a host may use beyond its share while others leave them unused; an upstream refuses what
	// is beyond its own limit.
	lentConnections = 3
	// nearbyPart of a replica's connections, in percent, is shared by the hosts of its availability zone.
	nearbyPart = 75
	// trimEvery is the interval at which idle connections are looked through.
	trimEvery = 100 * time.Millisecond
	// probeTimeout bounds the question for a primary's position.
	probeTimeout = 1500 * time.Millisecond
)

// Costs that order the upstreams for a read, in milliseconds of waiting that they stand for.
const (
	costZone    = 3
	costRegion  = 24
	costBusy    = 8
	costWaiting = 25
	costAvoid   = 1000
)

// Options describe the host.
type Options struct {
	Zone    ident.Zone
	Region  ident.Region
	Regions map[ident.Zone]ident.Region
}

// Table is the knowledge of one host. Its methods may be called from several goroutines.
type Table struct {
	options Options
	catalog atomic.Pointer[catalog.Catalog]
	suspect chan struct{}

	mu       sync.RWMutex
	groups   map[ident.Service]*group
	received bool
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
	return &Table{options: options, groups: map[ident.Service]*group{}, suspect: make(chan struct{}, 1)}
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
	hosts, nearby := 0, 0
	for _, z := range d.GetHosts() {
		hosts += int(z.GetHosts())
		if ident.Zone(z.GetZone()) == t.options.Zone {
			nearby = int(z.GetHosts())
		}
	}
	primaries := map[string]string{}
	for _, p := range d.GetPrimaries() {
		primaries[p.GetService()] = p.GetUpstream()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = true
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
		share, limit := t.shares(target, primaries[a.GetService()] == a.GetUpstream(), hosts, nearby)
		members[service] = append(members[service], &member{
			pool:      t.pool(target, share, limit),
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

// shares divides an upstream's connections: all hosts use a primary, and mostly those of its availability zone a replica.
func (t *Table) shares(target upstream.Target, primary bool, hosts, nearby int) (share, limit int) {
	service := t.Catalog().Service(target.Service)
	if service == nil || hosts == 0 {
		return 1, 1 + lentConnections
	}
	usable := max(1, service.Connections-reservedConnections)
	switch {
	case primary:
		share = usable / hosts
	case target.Zone == t.options.Zone:
		share = usable * nearbyPart / 100 / max(1, nearby)
	}
	return share, share + lentConnections
}

// pool returns the pool of an upstream, kept as long as the upstream is the same; the caller holds the lock.
func (t *Table) pool(target upstream.Target, share, limit int) *upstream.Pool {
	if g := t.groups[target.Service]; g != nil {
		for _, m := range g.members {
			if m.pool.Target() == target {
				m.pool.SetLimits(share, limit)
				return m.pool
			}
		}
	}
	return upstream.NewPool(target, share, limit)
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

// Candidates returns the upstreams that may run reads of a route for a team, the best first.
func (t *Table) Candidates(route *catalog.Route, team *catalog.Team) []Candidate {
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
		if m.leaving || m.evacuated || !t.Catalog().Allows(route, team, target.Region) {
			continue
		}
		list = append(list, Candidate{Pool: m.pool, Primary: target.Upstream == g.primary, cost: t.cost(m.pool, now)})
	}
	slices.SortStableFunc(list, func(x, y Candidate) int { return cmp.Compare(x.cost, y.cost) })
	return list
}

func (t *Table) cost(pool *upstream.Pool, now ident.Time) int {
	target, load := pool.Target(), pool.Load(now)
	cost := load.Busy*costBusy + load.Waiting*costWaiting
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
	conn, err := pool.Get(ctx, team, 0)
	if err != nil {
		return err
	}
	asOf := steady.Now()
	result, err := conn.Begin()
	if err != nil {
		var broken *upstream.BrokenError
		if errors.As(err, &broken) {
			pool.Failed(steady.Now())
			conn.Break()
			return err
		}
		conn.Release()
		return err
	}
	pool.Answered(steady.Now())
	t.Learn(pool.Target().Service, result.Position, asOf)
	conn.Release()
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

// Broken notes that a connection broke while a statement ran.
func (t *Table) Broken(conn *upstream.Conn) {
	conn.Pool().Failed(steady.Now())
}

// Answered notes a complete answer on a connection.
func (t *Table) Answered(conn *upstream.Conn) {
	conn.Pool().Answered(steady.Now())
}
