package routing

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

const (
	// nonGatewayConnections is the number of connections to an upstream that a host other than its gateway may open while there are
	// enough for all hosts.
	nonGatewayConnections = 1
	// askedTime is how long after a request for an upstream's connections a host still checks the hosts before it.
	askedTime = 2 * time.Second
	// maxChecked is the number of hosts before this one that are checked unless they are known to be gone. With more than two of them
	// this host has no role.
	maxChecked = 3
	// notHolderTime is how long a host that holds no connections to an upstream is not asked for them again. Directories of hosts differ
	// for some hundred milliseconds, and the account of the host that is asked meanwhile may be small.
	notHolderTime = 100 * time.Millisecond
)

var notHolders = metrics.NewCounter("tamarack_connections_not_holder_total")

// account is what the table knows of the connections to one upstream.
type account struct {
	// order lists the hosts in the order in which they hold the connections.
	order []*fleetpb.EntryHost
	// accepted is the number of connections that the upstream accepts from all hosts; 0 if it is unknown.
	accepted int
	scarce   bool
	role     connections.Role
	// asked is the time of the last request for this host's connections, or 0.
	asked ident.Time
	// warmupEnd is when the upstream has warmed up, or 0.
	warmupEnd ident.Time
	// avoided has the hosts that hold no connections to the upstream by their own account, and until when they are not asked.
	avoided map[string]ident.Time
}

// orderOf returns the hosts in the order in which they hold the connections to an upstream.
func (t *Table) orderOf(hosts []*fleetpb.EntryHost, target upstream.Target) []*fleetpb.EntryHost {
	return listed(hosts, connections.Order(t.connectionHosts(hosts), connectionUpstream(target)))
}

// connectionHosts returns hosts as package connections has them.
func (t *Table) connectionHosts(hosts []*fleetpb.EntryHost) []connections.Host {
	list := make([]connections.Host, len(hosts))
	for i, host := range hosts {
		list[i] = connections.Host{ID: ident.Host(host.GetHost()), Zone: ident.Zone(host.GetZone()), Region: t.regionOf(host)}
	}
	return list
}

// connectionUpstream returns an upstream as package connections has it.
func connectionUpstream(target upstream.Target) connections.Upstream {
	return connections.Upstream{ID: target.Upstream, Zone: target.Zone, Region: target.Region}
}

// regionOf returns the region of a host, or "" if its availability zone is unknown.
func (t *Table) regionOf(host *fleetpb.EntryHost) ident.Region {
	return t.options.Regions[ident.Zone(host.GetZone())]
}

// listed returns the hosts at indexes.
func listed(hosts []*fleetpb.EntryHost, indexes []int) []*fleetpb.EntryHost {
	list := make([]*fleetpb.EntryHost, len(indexes))
	for i, at := range indexes {
		list[i] = hosts[at]
	}
	return list
}

// updateAccounts updates what is known of the upstreams' connections from the directory and the configuration. The caller must hold mu.
func (t *Table) updateAccounts(now ident.Time) {
	catalog := t.Catalog()
	var scarce []connections.Upstream
	for _, g := range t.groups {
		for _, m := range g.members {
			m.account.accepted, m.account.scarce = 0, false
			sharing := 0
			target := m.pool.Target()
			if service := catalog.Service(target.Service); service != nil {
				m.account.accepted = service.Connections
				m.account.scarce = len(t.hosts) > 0 && connections.Scarce(service.Connections, len(catalog.Teams), len(t.hosts))
			}
			if m.account.scarce {
				sharing = len(catalog.Teams)
				scarce = append(scarce, connectionUpstream(target))
			}
			m.pool.SetTeams(sharing)
		}
	}
	orders := connections.Orders(t.connectionHosts(t.hosts), scarce)
	for _, g := range t.groups {
		for _, m := range g.members {
			if m.account.scarce {
				m.account.order = listed(t.hosts, orders[m.pool.Target().Upstream])
			} else {
				m.account.order = t.orderOf(t.hosts, m.pool.Target())
			}
			t.applyLimit(now, m)
		}
	}
}

// applyLimit sets the number of connections to an upstream that this host may open. The caller must hold mu.
func (t *Table) applyLimit(now ident.Time, m *member) {
	a := &m.account
	role := t.role(now, m.pool.Target(), a)
	size := nonGatewayConnections
	switch {
	case a.scarce:
		size = role.Size(a.accepted, true)
	case a.accepted > 0 && role == connections.RoleGateway:
		size = max(nonGatewayConnections, role.Size(a.accepted, false))
	}
	// A host that stands in for hosts that are gone has the whole account at once; other changes may overlap with an earlier holder.
	standsIn := role == connections.RoleGateway && t.position(a.order) > 0
	m.pool.SetLimit(size, a.scarce && !standsIn)
	if role != a.role {
		klog.InfoS("Connection account changed", "upstream", m.pool.Target().Upstream, "role", role, "account", size)
		a.role = role
		t.applyWarmup(now, m)
	}
}

// role returns this host's part in holding an upstream's connections. The caller must hold mu.
func (t *Table) role(now ident.Time, target upstream.Target, a *account) connections.Role {
	self := t.position(a.order)
	switch {
	case a.scarce && self < 0:
		return connections.RoleNone
	case a.scarce:
		before := make([]connections.Standing, self)
		for i, host := range a.order[:self] {
			if t.peers[host.GetHost()].Gone(now) {
				before[i] = connections.StandingGone
			}
		}
		return connections.RoleAfter(before)
	}
	// Without a host in the upstream's availability zone, a host that is not listed itself is on its own.
	gateway := gatewayIn(a.order, target)
	if (gateway == nil && self < 0) || (gateway != nil && gateway.GetHost() == string(t.options.Host)) {
		return connections.RoleGateway
	}
	return connections.RoleNone
}

// position returns this host's index in an order, or -1.
func (t *Table) position(order []*fleetpb.EntryHost) int {
	return slices.IndexFunc(order, func(host *fleetpb.EntryHost) bool { return host.GetHost() == string(t.options.Host) })
}

// chooseHolder returns the host whose connections to an upstream are to be used for the operations of a scope, or nil if there is none.
// direct is set if this host is to use its own, whatever the holder.
func (t *Table) chooseHolder(now ident.Time, m *member, s scope) (holder *fleetpb.EntryHost, direct bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	a := &m.account
	if !a.scarce {
		gateway := gatewayIn(a.order, m.pool.Target())
		direct = gateway == nil || gateway.GetHost() == string(t.options.Host) || !t.admits(s, gateway) ||
			t.standing(now, a, gateway) != connections.StandingUsable
		return gateway, direct
	}
	standings := make([]connections.Standing, len(a.order))
	for i, host := range a.order {
		standings[i] = t.standing(now, a, host).For(t.admits(s, host))
		if standings[i] == connections.StandingUsable {
			standings = standings[:i+1]
			break
		}
	}
	i := connections.Choose(standings)
	if i < 0 {
		return nil, false
	}
	return a.order[i], a.order[i].GetHost() == string(t.options.Host)
}

// admits reports whether a host may get the statements of a scope. This host may in any case, as the caller has sent them to it.
func (t *Table) admits(s scope, host *fleetpb.EntryHost) bool {
	return host.GetHost() == string(t.options.Host) || s.allows(t.regionOf(host))
}

// standing returns whether a host is to be asked for the connections to an upstream. The caller must hold mu.
func (t *Table) standing(now ident.Time, a *account, host *fleetpb.EntryHost) connections.Standing {
	if now < a.avoided[host.GetHost()] {
		return connections.StandingSilent
	}
	return t.peers[host.GetHost()].Standing(now)
}

// recordNotHolder records that a host holds no connections to an upstream by its own account.
func (t *Table) recordNotHolder(pool *upstream.Pool, host *fleetpb.EntryHost) {
	notHolders.Inc()
	m := t.memberOf(pool)
	if m == nil {
		return
	}
	now := steady.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.account.avoided == nil {
		m.account.avoided = map[string]ident.Time{}
	}
	maps.DeleteFunc(m.account.avoided, func(_ string, until ident.Time) bool { return now >= until })
	m.account.avoided[host.GetHost()] = now.Add(notHolderTime)
}

// memberOf returns the listed upstream of a pool, or nil.
func (t *Table) memberOf(pool *upstream.Pool) *member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if g := t.groups[pool.Target().Service]; g != nil {
		for _, m := range g.members {
			if m.pool == pool {
				return m
			}
		}
	}
	return nil
}

// gatewayIn returns the first host of an order if it is in the upstream's availability zone, or nil.
func gatewayIn(order []*fleetpb.EntryHost, target upstream.Target) *fleetpb.EntryHost {
	if len(order) == 0 || ident.Zone(order[0].GetZone()) != target.Zone {
		return nil
	}
	return order[0]
}

// recordFailure records a call that a host did not answer.
func (t *Table) recordFailure(host *fleetpb.EntryHost, closed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, p := steady.Now(), t.peer(host.GetHost())
	if p.Standing(now) == connections.StandingUsable {
		klog.InfoS("Host not asked for connections, a call failed", "host", host.GetHost(), "zone", host.GetZone(), "closed", closed)
	}
	p.Failed(now, closed)
}

// peer returns what is known of a host. The caller must hold mu for writing.
func (t *Table) peer(host string) *connections.Peer {
	p := t.peers[host]
	if p == nil {
		p = &connections.Peer{}
		t.peers[host] = p
	}
	return p
}

// recordAsked records a request for this host's connections to an upstream. If other hosts come before this one, it checks whether
// they are gone.
func (t *Table) recordAsked(m *member) {
	now := steady.Now()
	t.mu.Lock()
	m.account.asked = now
	due := t.dueChecks(now, &m.account)
	t.mu.Unlock()
	t.check(due)
}

// dueChecks returns the hosts before this one whose port is to be checked. The caller must hold mu for writing.
func (t *Table) dueChecks(now ident.Time, a *account) []*fleetpb.EntryHost {
	if !a.scarce || a.asked == 0 || now.Sub(a.asked) > askedTime {
		return nil
	}
	var due []*fleetpb.EntryHost
	present := 0
	for _, host := range a.order[:max(0, t.position(a.order))] {
		p := t.peer(host.GetHost())
		if !p.Gone(now) {
			present++
		}
		if present > maxChecked {
			break
		}
		if p.CheckDue(now) {
			due = append(due, host)
		}
	}
	return due
}

// check finds out in the background whether the ports of hosts are closed.
func (t *Table) check(hosts []*fleetpb.EntryHost) {
	for _, host := range hosts {
		go func() {
			closed, err := t.options.Gateways.PortClosed(context.Background(), host.GetPeer())
			if err != nil {
				return
			}
			now := steady.Now()
			t.mu.Lock()
			defer t.mu.Unlock()
			if closed {
				t.peer(host.GetHost()).Failed(now, true)
			} else {
				t.peer(host.GetHost()).Checked(now)
			}
			t.updateLimits(now)
		}()
	}
}

// updateLimits applies what has become known of other hosts to the limits of all pools. The caller must hold mu for writing.
func (t *Table) updateLimits(now ident.Time) {
	for _, g := range t.groups {
		for _, m := range g.members {
			if m.account.scarce {
				t.applyLimit(now, m)
			}
		}
	}
}

// maintain checks the hosts before this one, updates limits and closes idle connections.
func (t *Table) maintain(now ident.Time) {
	t.mu.Lock()
	t.updateLimits(now)
	var due []*fleetpb.EntryHost
	roles, accounts, open := map[connections.Role]int{}, 0, 0
	for _, g := range t.groups {
		for _, m := range g.members {
			due = append(due, t.dueChecks(now, &m.account)...)
			roles[m.account.role]++
			accounts += m.pool.Limit()
			open += m.pool.Connections()
			m.pool.Trim(now)
		}
	}
	t.mu.Unlock()
	t.check(due)
	publishConnections(roles, accounts, open)
}

// publishConnections sets the gauges of the roles of this host, the sum of its limits and its open connections.
func publishConnections(roles map[connections.Role]int, accounts, open int) {
	for _, role := range []connections.Role{connections.RoleGateway, connections.RoleSuccessor, connections.RoleLastResort} {
		metrics.GetOrCreateGauge(fmt.Sprintf("tamarack_connections_role{role=%q}", role), nil).Set(float64(roles[role]))
	}
	metrics.GetOrCreateGauge("tamarack_connections_account", nil).Set(float64(accounts))
	metrics.GetOrCreateGauge("tamarack_connections_open", nil).Set(float64(open))
}
