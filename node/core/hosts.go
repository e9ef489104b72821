package core

import (
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/metering"
)

// entryHostTimeout is the time after its last request for which an entry host is listed in the directory.
const entryHostTimeout = 3 * time.Second

// restoredHostTimeout is that time for hosts that are known from before a restart of the core. It is several intervals of their
// searches: those that don't return with the core must not stay gateways for long.
const restoredHostTimeout = 1500 * time.Millisecond

// hostStart identifies one start of an entry host.
type hostStart struct {
	host        ident.Host
	incarnation ident.Incarnation
}

// inheritedIncarnation is the incarnation of a host that is known from the directory of an earlier leader only.
const inheritedIncarnation ident.Incarnation = 0

// entryHost is one start of an entry host that has sent Watch requests to this leader.
type entryHost struct {
	zone ident.Zone
	peer string
	// firstRequest orders the starts of a host. Incarnations do not, since they follow a clock that may step back.
	firstRequest ident.Time
	lastRequest  ident.Time
	leaving      bool
}

// entryHosts holds the starts of entry hosts. Starts are kept apart, since a request of an earlier one may arrive late and must not
// change what is known of the running one. It is not safe for concurrent use.
type entryHosts map[hostStart]*entryHost

// record records a request that arrived at now. A start that leaves stays so, whatever arrives later.
func (e entryHosts) record(now ident.Time, request *fleetpb.WatchRequest) {
	id := hostStart{ident.Host(request.GetHost()), ident.Incarnation(request.GetIncarnation())}
	delete(e, hostStart{id.host, inheritedIncarnation})
	start := e[id]
	if start == nil {
		start = &entryHost{firstRequest: now}
		e[id] = start
	}
	start.zone, start.peer, start.lastRequest = ident.Zone(request.GetZone()), request.GetPeer(), now
	start.leaving = start.leaving || request.GetLeaving()
}

// inherit adds the hosts of an earlier leader's directory that are not known. They count as running for the timeout, so that they have
// time to find this leader.
func (e entryHosts) inherit(now ident.Time, hosts []*fleetpb.EntryHost, timeout time.Duration) {
	e.expire(now)
	known := map[ident.Host]bool{}
	for id := range e {
		known[id.host] = true
	}
	for _, h := range hosts {
		if name := ident.Host(h.GetHost()); !known[name] {
			e[hostStart{name, inheritedIncarnation}] = &entryHost{
				zone: ident.Zone(h.GetZone()), peer: h.GetPeer(), firstRequest: now, lastRequest: now.Add(timeout - entryHostTimeout),
			}
		}
	}
}

// expire removes the starts that have sent no request for entryHostTimeout.
func (e entryHosts) expire(now ident.Time) {
	for id, start := range e {
		if now.Sub(start.lastRequest) >= entryHostTimeout {
			delete(e, id)
		}
	}
}

// list returns the hosts that are not leaving, each as its latest start described it.
func (e entryHosts) list(now ident.Time) []*fleetpb.EntryHost {
	latest := e.latest(now)
	hosts := make([]*fleetpb.EntryHost, 0, len(latest))
	for name, id := range latest {
		hosts = append(hosts, &fleetpb.EntryHost{Host: string(name), Zone: string(e[id].zone), Peer: e[id].peer})
	}
	return hosts
}

// live returns the latest start of each host that is not leaving.
func (e entryHosts) live(now ident.Time) []metering.Source {
	latest := e.latest(now)
	sources := make([]metering.Source, 0, len(latest))
	for _, id := range latest {
		sources = append(sources, metering.Source{Host: id.host, Incarnation: id.incarnation})
	}
	return sources
}

// latest returns the latest start of each host that is not leaving.
func (e entryHosts) latest(now ident.Time) map[ident.Host]hostStart {
	e.expire(now)
	latest := map[ident.Host]hostStart{}
	for id, start := range e {
		if other, found := latest[id.host]; !start.leaving && (!found || start.firstRequest > e[other].firstRequest) {
			latest[id.host] = id
		}
	}
	return latest
}
