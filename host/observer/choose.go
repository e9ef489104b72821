package observer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackshunt.dev/fleet/ident"
)

// observersPerGroup is the number of hosts that observe a group.
const observersPerGroup = 3

// Host is a live host of the fleet.
type Host struct {
	ID   ident.Host
	Zone ident.Zone
	// Peer is the address at which other hosts reach it.
	Peer string
}

// Choose returns the hosts that observe a service, in the order of rendezvous hashing: the first host of each of three
// availability zones, followed by further hosts if there are fewer zones.
func Choose(service ident.Service, hosts []Host) []Host {
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b Host) int {
		return cmp.Or(cmp.Compare(score(service, b.ID), score(service, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	var chosen, others []Host
	zones := map[ident.Zone]bool{}
	for _, h := range order {
		if len(chosen) < observersPerGroup && !zones[h.Zone] {
			zones[h.Zone] = true
			chosen = append(chosen, h)
		} else {
			others = append(others, h)
		}
	}
	missing := min(observersPerGroup-len(chosen), len(others))
	return append(chosen, others[:missing]...)
}

// score is the weight of a host for a service in rendezvous hashing.
func score(service ident.Service, host ident.Host) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + string(host))
}
