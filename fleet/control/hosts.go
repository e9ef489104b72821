package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// host is what the leader knows of one host's latest incarnation.
type host struct {
	alive       *fleetpb.Alive
	controlOnly bool
	known       ident.Version
	text        ident.Version
	adopted     ident.Epoch
	seen        ident.Time
	expires     ident.Time
	// live is set from the first lease until its end was noticed.
	live bool
	gone bool
	// counted is set once the host has reported counts to this leader.
	counted bool
	counts  map[ident.Team]burn.Counts
}

// ghost is the lease of an ended incarnation.
type ghost struct {
	host        ident.Host
	incarnation ident.Incarnation
	expires     ident.Time
}

// lists are the parts of a SyncResponse that are the same for all hosts.
type lists struct {
	hosts     []*fleetpb.Alive
	upstreams []string
	digest    uint64
}

// Sync answers a host's sync: what changed, and a lease for the time from sending the request. Leases are granted only
// while no other host can lead, so that a new leader that waits a Lease has outlived all of them.
func (l *Leader) Sync(now ident.Time, request *fleetpb.SyncRequest) (*fleetpb.SyncResponse, []Action, error) {
	if err := l.serving(now); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if known := ident.Version(request.GetKnown()); known > l.machine.Version() {
		return nil, nil, trace.Wrap(&AheadError{Known: known, Version: l.machine.Version()})
	}
	h, err := l.admit(now, request)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	l.heard(now, h, request)
	l.count(now, h, request.GetTallies())
	l.reject(now, ident.Host(request.GetHost()), request.GetRejections())
	l.observe(now, request)
	if request.GetGone() {
		l.dismiss(now, h)
		l.decideEpoch(now)
		return &fleetpb.SyncResponse{}, l.take(), nil
	}
	l.extend(now, h)
	l.decideEpoch(now)
	response := &fleetpb.SyncResponse{
		State:   l.machine.Delta(ident.Version(request.GetKnown())),
		LeaseMs: uint32(Lease / time.Millisecond),
	}
	l.list(now, request, response)
	return response, l.take(), nil
}

// admit returns the entry of the host that sent a request, a new one for a new incarnation.
func (l *Leader) admit(now ident.Time, request *fleetpb.SyncRequest) (*host, error) {
	name, incarnation := ident.Host(request.GetHost()), ident.Incarnation(request.GetIncarnation())
	refuse := func(cause string) error {
		return &HostError{Host: name, Incarnation: incarnation, Cause: cause}
	}
	h := l.hosts[name]
	latest := ident.Incarnation(h.getAlive().GetIncarnation())
	switch {
	case name == "":
		return nil, refuse("the sync names no host")
	case h != nil && incarnation < latest:
		return nil, refuse(fmt.Sprintf("incarnation %d has taken its place", latest))
	case h != nil && incarnation == latest && h.gone:
		return nil, refuse("it has said that it is gone")
	case h != nil && incarnation == latest:
		return h, nil
	}
	if h != nil && h.expires > now {
		l.ghosts = append(l.ghosts, ghost{host: name, incarnation: latest, expires: h.expires})
	}
	h = &host{counts: map[ident.Team]burn.Counts{}}
	l.hosts[name] = h
	return h, nil
}

func (h *host) getAlive() *fleetpb.Alive {
	if h == nil {
		return nil
	}
	return h.alive
}

// heard takes over what a request says; requests may arrive out of order.
func (l *Leader) heard(now ident.Time, h *host, request *fleetpb.SyncRequest) {
	alive := &fleetpb.Alive{
		Host:        request.GetHost(),
		Incarnation: request.GetIncarnation(),
		Zone:        request.GetZone(),
		Region:      request.GetRegion(),
		Peer:        request.GetPeer(),
		Leaving:     request.GetLeaving() || h.getAlive().GetLeaving(),
	}
	if !proto.Equal(alive, h.alive) {
		if alive.GetLeaving() && !h.getAlive().GetLeaving() {
			l.record(now, KindHost, request.GetHost(), "is leaving")
		}
		h.alive = alive
		l.lists = nil
	}
	h.controlOnly = request.GetControlOnly()
	h.known = max(h.known, ident.Version(request.GetKnown()))
	h.adopted = max(h.adopted, ident.Epoch(request.GetAdoptedEpoch()))
	h.seen = now
	if h.known >= l.machine.TextChanged() {
		h.text = l.machine.TextVersion()
	}
}

func (l *Leader) extend(now ident.Time, h *host) {
	h.expires = now.Add(Lease)
	if !h.live {
		h.live = true
		l.lists = nil
		l.record(now, KindHost, h.alive.GetHost(),
			fmt.Sprintf("got a lease, incarnation %d in zone %s", h.alive.GetIncarnation(), h.alive.GetZone()))
	}
}

// dismiss ends the lease of a host that serves nobody any more.
func (l *Leader) dismiss(now ident.Time, h *host) {
	h.expires, h.live, h.gone = now, false, true
	l.lists = nil
	l.record(now, KindHost, h.alive.GetHost(), "left and needs no lease")
}

func (l *Leader) expireHosts(now ident.Time) {
	for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
		h := l.hosts[name]
		if h.live && now >= h.expires {
			h.live = false
			l.lists = nil
			l.record(now, KindHost, string(name), fmt.Sprintf("lease ended, silent for %s", now.Sub(h.seen).Truncate(time.Millisecond)))
		}
		if !h.live && now.Sub(h.seen) >= forgetHost {
			delete(l.hosts, name)
		}
	}
	l.ghosts = slices.DeleteFunc(l.ghosts, func(g ghost) bool { return now >= g.expires })
}

// count passes on what a host counted since its last report. What a host counted before this leader heard of it is left
// out, since an earlier leader counted it.
func (l *Leader) count(now ident.Time, h *host, tallies []*fleetpb.Tally) {
	counted := h.counted
	h.counted = true
	for _, t := range tallies {
		team := ident.Team(t.GetTeam())
		counts := burn.Counts{
			Asked:        t.GetAsked(),
			Served:       t.GetServed(),
			RefusedRate:  t.GetRefusedRate(),
			RefusedOther: t.GetRefusedOther(),
			Unknown:      t.GetUnknown(),
			ReadsReplica: t.GetReadsReplica(),
			ReadsPrimary: t.GetReadsPrimary(),
			Writes:       t.GetWrites(),
		}
		before := h.counts[team]
		if counts.Asked < before.Asked {
			continue // an older report that arrived late
		}
		h.counts[team] = counts
		if counted {
			l.meter.Count(now, team, counts.Since(before))
		}
	}
}

// list adds the hosts and upstreams alive, unless the request shows that the host holds the same.
func (l *Leader) list(now ident.Time, request *fleetpb.SyncRequest, response *fleetpb.SyncResponse) {
	if l.lists == nil {
		l.lists = l.build(now)
	}
	response.Digest = l.lists.digest
	if request.GetDigest() != l.lists.digest {
		response.Hosts = l.lists.hosts
		response.Upstreams = l.lists.upstreams
	}
}

func (l *Leader) build(now ident.Time) *lists {
	built := &lists{hosts: l.Live(), upstreams: l.aliveUpstreams(now)}
	// Marshal fails only for invalid UTF-8, which decoded messages do not hold.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(&fleetpb.SyncResponse{
		Hosts: built.hosts, Upstreams: built.upstreams,
	})
	built.digest = max(xxhash.Sum64(data), 1)
	return built
}

// Live returns the hosts with a lease, by name. A leader that has not yet outlived the leases of the one before counts
// the keepers in as well, because it cannot know that they are gone.
func (l *Leader) Live() []*fleetpb.Alive {
	var alive []*fleetpb.Alive
	for _, h := range l.hosts {
		if h.live {
			alive = append(alive, h.alive)
		}
	}
	if !l.matured {
		for _, k := range l.machine.Keepers().GetCurrent() {
			if _, heard := l.hosts[ident.Host(k.GetHost())]; !heard {
				alive = append(alive, &fleetpb.Alive{
					Host: k.GetHost(), Incarnation: k.GetIncarnation(), Zone: k.GetZone(), Region: l.region(k.GetZone()), Peer: k.GetPeer(),
				})
			}
		}
	}
	slices.SortFunc(alive, func(a, b *fleetpb.Alive) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	return alive
}

func (l *Leader) region(zone string) string {
	for _, z := range l.machine.Text().GetZones() {
		if z.GetName() == zone {
			return z.GetRegion()
		}
	}
	return ""
}
