package connections

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// minReserve is the least number of connections of an upstream that its gateway leaves to the core and to other holders.
	minReserve = 4
	// reserveDivisor makes the reserve a part of the connections that an upstream accepts.
	reserveDivisor = 8
	// coreConnections is the part of the reserve with which the core probes the upstream.
	coreConnections = 2
	// lastResortConnections is the part of the reserve of the host that is asked when gateway and successor are silent.
	lastResortConnections = 1
	// maxSilent is the number of silent hosts in an order after which no further host opens connections.
	maxSilent = 2
)

// Host is a host that may hold connections for others.
type Host struct {
	ID     ident.Host
	Zone   ident.Zone
	Region ident.Region
}

// Upstream is an upstream whose connections are held by one of the hosts.
type Upstream struct {
	ID     ident.Upstream
	Zone   ident.Zone
	Region ident.Region
}

// distance returns 0 for a host of the upstream's availability zone, 1 for another one of its region and 2 for one of other regions.
func (u Upstream) distance(host Host) int {
	switch {
	case host.Zone == u.Zone:
		return 0
	case host.Region == u.Region:
		return 1
	}
	return 2
}

// Order returns the indexes of hosts in the order in which they hold the connections to an upstream: those of its availability zone, then
// those of its region, then the others, each by rendezvous hashing. Hosts of the region may serve requests that must not leave it. The
// order of two hosts depends on no third host.
func Order(hosts []Host, upstream Upstream) []int {
	weights := make([]uint64, len(hosts))
	order := make([]int, len(hosts))
	for i, host := range hosts {
		order[i], weights[i] = i, xxhash.Sum64String(string(host.ID)+"/"+string(upstream.ID))
	}
	slices.SortFunc(order, func(x, y int) int {
		return cmp.Or(cmp.Compare(upstream.distance(hosts[x]), upstream.distance(hosts[y])),
			cmp.Compare(weights[y], weights[x]), cmp.Compare(hosts[x].ID, hosts[y].ID))
	})
	return order
}

// Orders returns the order of the hosts for each of several upstreams. It is that of Order, except that a host is the first one for no
// more upstreams of its zone than an even division needs: the link of a small host can't carry the statements of several busy upstreams.
func Orders(hosts []Host, upstreams []Upstream) map[ident.Upstream][]int {
	inZone, perZone := map[ident.Zone]int{}, map[ident.Zone]int{}
	for _, host := range hosts {
		inZone[host.Zone]++
	}
	for _, upstream := range upstreams {
		perZone[upstream.Zone]++
	}
	orders, held := map[ident.Upstream][]int{}, make([]int, len(hosts))
	sorted := slices.SortedFunc(slices.Values(upstreams), func(x, y Upstream) int { return cmp.Compare(x.ID, y.ID) })
	for _, upstream := range sorted {
		order := Order(hosts, upstream)
		orders[upstream.ID] = order
		near := inZone[upstream.Zone]
		if near == 0 {
			continue
		}
		most := (perZone[upstream.Zone] + near - 1) / near
		first := slices.IndexFunc(order[:near], func(i int) bool { return held[i] < most })
		chosen := order[first]
		held[chosen]++
		copy(order[1:], order[:first])
		order[0] = chosen
	}
	return orders
}

// Reserve returns how many of an upstream's connections its gateway leaves to others.
func Reserve(accepted int, scarce bool) int {
	if !scarce {
		return minReserve
	}
	return max(minReserve, accepted/reserveDivisor)
}

// Scarce reports whether a gateway's connections to an upstream are fewer than the teams that need one, or than the hosts that would
// each open one of their own if the gateway failed.
func Scarce(accepted, teams, hosts int) bool {
	account := accepted - minReserve
	return teams > account || hosts > account
}

// Standing is a host's view of another one that may hold connections.
type Standing int

//go:generate enumer -type=Standing -trimprefix=Standing -transform=snake

// Standings.
const (
	// StandingUsable is the standing of a host that has not failed lately.
	StandingUsable Standing = iota
	// StandingSilent is the standing of a host that did not answer, or not as a holder. It may still hold connections.
	StandingSilent
	// StandingGone is the standing of a host whose process has ended, and with it all its connections.
	StandingGone
)

// For returns the standing of a host for statements that it may or may not get. A host that may not get them is like a silent one: it may
// hold connections.
func (i Standing) For(admitted bool) Standing {
	if i == StandingUsable && !admitted {
		return StandingSilent
	}
	return i
}

// Choose returns the index of the first host in an order that may be asked for connections, given the standing of each, or -1.
func Choose(order []Standing) int {
	silent := 0
	for i, standing := range order {
		switch {
		case silent > maxSilent:
			return -1
		case standing == StandingUsable:
			return i
		case standing == StandingSilent:
			silent++
		}
	}
	return -1
}

// Role is the part of a host in holding an upstream's connections.
type Role int

//go:generate enumer -type=Role -trimprefix=Role -transform=snake

// Roles.
const (
	// RoleNone is the role of a host that holds no connections.
	RoleNone Role = iota
	// RoleGateway is the role of the host that holds the connections for all hosts.
	RoleGateway
	// RoleSuccessor is the role of the host that is asked when the gateway fails.
	RoleSuccessor
	// RoleLastResort is the role of the host that is asked when the successor fails too.
	RoleLastResort
)

// RoleAfter returns the role of a host given the standing of each host before it in the order. A host that is gone holds no
// connections, any other one may.
func RoleAfter(before []Standing) Role {
	holders := 0
	for _, standing := range before {
		if standing != StandingGone {
			holders++
		}
	}
	if holders > maxSilent {
		return RoleNone
	}
	return RoleGateway + Role(holders)
}

// Size returns the size of a role's account of the connections that an upstream accepts.
func (i Role) Size(accepted int, scarce bool) int {
	reserve := Reserve(accepted, scarce)
	switch i {
	case RoleGateway:
		return max(1, accepted-reserve)
	case RoleSuccessor:
		return max(1, reserve-coreConnections-lastResortConnections)
	case RoleLastResort:
		return lastResortConnections
	}
	return 0
}
