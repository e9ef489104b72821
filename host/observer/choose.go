package observer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackshunt.dev/fleet/ident"
)

// observers is the number of hosts that observe a group.
const observers = 3

// Host is a live host of the fleet.
type Host struct {
	ID   ident.Host
	Zone ident.Zone
	// Peer is the address at which the host answers.
	Peer string
}

// Choose returns the hosts that observe a service: the first of the rendezvous order in each of three availability
// zones, then further hosts in that order while there are fewer zones.
func Choose(service ident.Service, hosts []Host) []Host {
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b Host) int {
		return cmp.Or(cmp.Compare(score(service, b.ID), score(service, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	var chosen, rest []Host
	zones := map[ident.Zone]bool{}
	for _, h := range order {
		if len(chosen) < observers && !zones[h.Zone] {
			zones[h.Zone] = true
			chosen = append(chosen, h)
		} else {
			rest = append(rest, h)
		}
	}
	missing := min(observers-len(chosen), len(rest))
	return append(chosen, rest[:missing]...)
}

func score(service ident.Service, host ident.Host) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + string(host))
}
