package control

import (
	"cmp"
	"slices"
	"strconv"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// decideEpoch proposes to settle the current keeper epoch, or to start the next one when the set of keepers has to
// change. It waits until the leases of an earlier leader have ended, because hosts that this leader does not know may
// hold them.
func (l *Leader) decideEpoch(now ident.Time) {
	if !l.leadership.Leads || !l.earlierLeasesEnded {
		return
	}
	current := l.machine.Keepers()
	if !current.GetSettled() {
		if l.allAdopted(now, ident.Epoch(current.GetEpoch())) {
			l.propose(now, "settle/"+strconv.FormatUint(current.GetEpoch(), 10), keepersChange(&fleetpb.KeeperSet{
				Epoch: current.GetEpoch(), Settled: true,
			}))
		}
		return
	}
	wanted := l.wantedKeepers(now)
	if len(wanted) == 0 || slices.EqualFunc(wanted, current.GetCurrent(), sameKeeper) {
		return
	}
	l.propose(now, "epoch/"+strconv.FormatUint(current.GetEpoch()+1, 10), keepersChange(&fleetpb.KeeperSet{
		Epoch: current.GetEpoch() + 1, Current: wanted,
	}))
}

// allAdopted reports whether every host that may serve callers has adopted an epoch. Hosts with a lease report the
// epoch that they have adopted, and the leases of all others must have ended. Replaced incarnations adopt nothing, so
// their leases must have ended too.
func (l *Leader) allAdopted(now ident.Time, epoch ident.Epoch) bool {
	for _, h := range l.hosts {
		if now < h.expires && !h.controlOnly && h.adopted < epoch {
			return false
		}
	}
	return !slices.ContainsFunc(l.replacedLeases, func(lease replacedLease) bool { return now < lease.expires })
}

// wantedKeepers returns the hosts that should be keepers: those with a lease that are not control hosts only. Hosts that
// are leaving, or whose zone is out of service, are left out, so that they hand over their sessions while they still
// can. If that leaves no host, all of them are returned.
func (l *Leader) wantedKeepers(now ident.Time) []*fleetpb.Keeper {
	var staying, all []*fleetpb.Keeper
	for _, h := range l.hosts {
		if now >= h.expires || h.controlOnly {
			continue
		}
		k := &fleetpb.Keeper{
			Host:        h.alive.GetHost(),
			Incarnation: h.alive.GetIncarnation(),
			Zone:        h.alive.GetZone(),
			Peer:        h.alive.GetPeer(),
		}
		all = append(all, k)
		if !h.alive.GetLeaving() && !l.zoneOut(h.alive.GetZone()) {
			staying = append(staying, k)
		}
	}
	if len(staying) == 0 {
		staying = all
	}
	slices.SortFunc(staying, func(a, b *fleetpb.Keeper) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	return staying
}

func sameKeeper(a, b *fleetpb.Keeper) bool {
	return a.GetHost() == b.GetHost() && a.GetIncarnation() == b.GetIncarnation() &&
		a.GetZone() == b.GetZone() && a.GetPeer() == b.GetPeer()
}

func keepersChange(set *fleetpb.KeeperSet) *fleetpb.Change {
	return &fleetpb.Change{Kind: &fleetpb.Change_Keepers{Keepers: set}}
}

// zoneOut reports whether the text takes a zone out of service.
func (l *Leader) zoneOut(zone string) bool {
	for _, z := range l.machine.Text().GetZones() {
		if z.GetName() == zone {
			return z.GetOut()
		}
	}
	return false
}
