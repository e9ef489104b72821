package directory

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// departureRetention is the time for which a departure is kept. It is far longer than an upstream usually needs to return, or a leaving
// one until its successor starts.
const departureRetention = time.Hour

// Departure is a start of an upstream that is not listed any more and whose log no listed upstream has taken over.
type Departure struct {
	Service  ident.Service
	Upstream ident.Upstream
	// Primary is set if it announced itself as the primary last.
	Primary bool
	// At is when this host recorded it.
	At ident.Time

	address string
	born    int64
	// handsOver is set if it has left as planned, so that its log goes to an upstream that starts at its address.
	handsOver bool
}

// Departures returns the departures in the order in which they were recorded.
func (d *Directory) Departures(now ident.Time) []Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	d.departures = slices.DeleteFunc(d.departures, func(left Departure) bool { return now.Sub(left.At) > departureRetention })
	return slices.Clone(d.departures)
}

// depart records that the start of an upstream which has announced itself with a is not listed any more, unless that is known. The caller
// holds the lock.
func (d *Directory) depart(now ident.Time, a *fleetpb.Announcement, handsOver bool) {
	if a.GetService() == "" || d.hasDeparted(a) {
		return
	}
	d.departures = append(d.departures, Departure{
		Service: ident.Service(a.GetService()), Upstream: ident.Upstream(a.GetUpstream()), Primary: a.GetPrimary(), At: now,
		address: a.GetAddress(), born: a.GetBorn(), handsOver: handsOver,
	})
}

// hasDeparted reports whether the departure of a start is recorded, or its record says that it has ended.
func (d *Directory) hasDeparted(a *fleetpb.Announcement) bool {
	known := d.records[ident.Upstream(a.GetUpstream())]
	if known != nil && known.announcement.GetGone() && known.announcement.GetBorn() == a.GetBorn() {
		return true
	}
	return slices.ContainsFunc(d.departures, func(left Departure) bool {
		return string(left.Upstream) == a.GetUpstream() && left.born == a.GetBorn()
	})
}

// succeed forgets the departures of upstreams whose log the start of a has taken over, and that of the start itself. It returns the one of
// them that left as the primary, or an empty name. The caller holds the lock.
func (d *Directory) succeed(a *fleetpb.Announcement) (primary ident.Upstream) {
	d.departures = slices.DeleteFunc(d.departures, func(left Departure) bool {
		same := string(left.Upstream) == a.GetUpstream() && left.born == a.GetBorn()
		takesOver := left.handsOver && left.address == a.GetAddress() && string(left.Service) == a.GetService() && left.born < a.GetBorn()
		if takesOver && left.Primary {
			primary = left.Upstream
		}
		return same || takesOver
	})
	return primary
}

// Successors returns the upstreams that have taken over the log of one that left as the primary, with the id of that one.
func (d *Directory) Successors() map[ident.Upstream]ident.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := map[ident.Upstream]ident.Upstream{}
	for id, r := range d.records {
		if r.succeeds != "" && !r.announcement.GetGone() {
			list[id] = r.succeeds
		}
	}
	return list
}
