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

// host is the leader's record of the latest incarnation of a host.
type host struct {
	alive       *fleetpb.Alive
	controlOnly bool
	// Versions of the control state and of the text that the host has, and the keeper epoch that it has adopted.
	known       ident.Version
	textVersion ident.Version
	adopted     ident.Epoch
	lastSync    ident.Time
	expires     ident.Time
	// leased is set from the first lease until the leader has noticed its end.
	leased  bool
	stopped bool
	// replaced holds the earlier incarnations of the host that this leader knows; none of them gets a lease again.
	replaced map[ident.Incarnation]bool
	// reported is set once the host has reported counts to this leader.
	reported bool
	counts   map[ident.Team]burn.Counts
}

// replacedLease is the lease of an incarnation that a later one has replaced.
type replacedLease struct {
	host        ident.Host
	incarnation ident.Incarnation
	expires     ident.Time
}

// lists holds the parts of a SyncResponse that are the same for all hosts.
type lists struct {
	hosts     []*fleetpb.Alive
	upstreams []string
	digest    uint64
}

// Sync answers a host's sync with the changes since the version that it knows, and with a lease that runs from the
// time at which the request was sent. Leases are granted only while no other host can lead, so all of them have ended
// once a new leader has waited for one Lease.
func (l *Leader) Sync(now ident.Time, request *fleetpb.SyncRequest) (*fleetpb.SyncResponse, []Action, error) {
	if err := l.checkServing(now); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if known := ident.Version(request.GetKnown()); known > l.machine.Version() {
		return nil, nil, trace.Wrap(&AheadError{Known: known, Version: l.machine.Version()})
	}
	h, err := l.findOrAddHost(now, request)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	l.updateHost(now, h, request)
	l.countTallies(now, h, request.GetTallies())
	l.recordRejections(now, ident.Host(request.GetHost()), request.GetRejections())
	l.recordObservations(now, request)
	if request.GetGone() {
		l.endLease(now, h)
		l.decideEpoch(now)
		return &fleetpb.SyncResponse{}, l.takeActions(), nil
	}
	l.extendLease(now, h)
	l.decideEpoch(now)
	response := &fleetpb.SyncResponse{
		State:   l.machine.Delta(ident.Version(request.GetKnown())),
		LeaseMs: uint32(Lease / time.Millisecond),
	}
	l.addLists(now, request, response)
	return response, l.takeActions(), nil
}

// findOrAddHost returns the record of the host that sent a request. A new incarnation gets a new record, which replaces
// that of the previous one; requests of replaced incarnations are refused.
func (l *Leader) findOrAddHost(now ident.Time, request *fleetpb.SyncRequest) (*host, error) {
	name, incarnation := ident.Host(request.GetHost()), ident.Incarnation(request.GetIncarnation())
	refuse := func(cause string) error {
		return &HostError{Host: name, Incarnation: incarnation, Cause: cause}
	}
	h := l.hosts[name]
	latest := ident.Incarnation(h.getAlive().GetIncarnation())
	switch {
	case name == "":
		return nil, refuse("the sync names no host")
	case h == nil:
		return l.addHost(name, map[ident.Incarnation]bool{}), nil
	case incarnation == latest && h.stopped:
		return nil, refuse("it has said that it is gone")
	case incarnation == latest:
		return h, nil
	case l.mayBeReplaced(now, h, incarnation):
		return nil, refuse(fmt.Sprintf("incarnation %d has taken its place", latest))
	}
	if h.expires > now {
		l.replacedLeases = append(l.replacedLeases, replacedLease{host: name, incarnation: latest, expires: h.expires})
	}
	h.replaced[latest] = true
	return l.addHost(name, h.replaced), nil
}

func (l *Leader) addHost(name ident.Host, replaced map[ident.Incarnation]bool) *host {
	h := &host{replaced: replaced, counts: map[ident.Team]burn.Counts{}}
	l.hosts[name] = h
	return h
}

// mayBeReplaced reports whether an incarnation other than the latest one of a host may have started before it. The clock of a host
// may be stepped back before a restart, so a lower number alone does not show that: it counts while the latest incarnation has a
// lease, and for a keeper, which had a lease from an earlier leader.
func (l *Leader) mayBeReplaced(now ident.Time, h *host, incarnation ident.Incarnation) bool {
	if h.replaced[incarnation] {
		return true
	}
	if incarnation > ident.Incarnation(h.alive.GetIncarnation()) {
		return false
	}
	wasKeeper := slices.ContainsFunc(l.machine.Keepers().GetCurrent(), func(k *fleetpb.Keeper) bool {
		return k.GetHost() == h.alive.GetHost() && ident.Incarnation(k.GetIncarnation()) == incarnation
	})
	return wasKeeper || now < h.expires
}

func (h *host) getAlive() *fleetpb.Alive {
	if h == nil {
		return nil
	}
	return h.alive
}

// updateHost updates a host's record from its request. Requests may arrive out of order.
func (l *Leader) updateHost(now ident.Time, h *host, request *fleetpb.SyncRequest) {
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
	h.lastSync = now
	if h.known >= l.machine.TextChanged() {
		h.textVersion = l.machine.TextVersion()
	}
}

func (l *Leader) extendLease(now ident.Time, h *host) {
	h.expires = now.Add(Lease)
	if !h.leased {
		h.leased = true
		l.lists = nil
		l.record(now, KindHost, h.alive.GetHost(),
			fmt.Sprintf("got a lease, incarnation %d in zone %s", h.alive.GetIncarnation(), h.alive.GetZone()))
	}
}

// endLease ends the lease of a host that no longer serves callers.
func (l *Leader) endLease(now ident.Time, h *host) {
	h.expires, h.leased, h.stopped = now, false, true
	l.lists = nil
	l.record(now, KindHost, h.alive.GetHost(), "left and needs no lease")
}

func (l *Leader) expireHosts(now ident.Time) {
	for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
		h := l.hosts[name]
		if h.leased && now >= h.expires {
			h.leased = false
			l.lists = nil
			l.record(now, KindHost, string(name), fmt.Sprintf("lease ended, silent for %s", now.Sub(h.lastSync).Truncate(time.Millisecond)))
		}
		if !h.leased && now.Sub(h.lastSync) >= hostRetention {
			delete(l.hosts, name)
		}
	}
	l.replacedLeases = slices.DeleteFunc(l.replacedLeases, func(lease replacedLease) bool { return now >= lease.expires })
}

// countTallies adds to the meter what a host has counted since its last report. The first report of an incarnation to
// this leader is only the baseline, since an earlier leader may have added those requests.
func (l *Leader) countTallies(now ident.Time, h *host, tallies []*fleetpb.Tally) {
	hadReported := h.reported
	h.reported = true
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
		if hadReported {
			l.meter.Count(now, team, counts.Since(before))
		}
	}
}

// addLists adds the live hosts and upstreams, unless the digest in the request shows that the host has the same
// lists.
func (l *Leader) addLists(now ident.Time, request *fleetpb.SyncRequest, response *fleetpb.SyncResponse) {
	if l.lists == nil {
		l.lists = l.buildLists(now)
	}
	response.Digest = l.lists.digest
	if request.GetDigest() != l.lists.digest {
		response.Hosts = l.lists.hosts
		response.Upstreams = l.lists.upstreams
	}
}

func (l *Leader) buildLists(now ident.Time) *lists {
	built := &lists{hosts: l.Live(), upstreams: l.aliveUpstreams(now)}
	// Marshal fails only for invalid UTF-8, which decoded messages do not contain.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(&fleetpb.SyncResponse{
		Hosts: built.hosts, Upstreams: built.upstreams,
	})
	built.digest = max(xxhash.Sum64(data), 1)
	return built
}

// Live returns the hosts with a lease, by name. Until the leases of earlier leaders have ended, it includes the
// keepers that have not synced with this leader, because they may still be alive.
func (l *Leader) Live() []*fleetpb.Alive {
	var alive []*fleetpb.Alive
	for _, h := range l.hosts {
		if h.leased {
			alive = append(alive, h.alive)
		}
	}
	if !l.earlierLeasesEnded {
		for _, k := range l.machine.Keepers().GetCurrent() {
			if _, known := l.hosts[ident.Host(k.GetHost())]; !known {
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
