package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// announcementTimeout is the time without announcements after which an upstream is removed. It is longer than a
	// crashed upstream usually takes to return.
	announcementTimeout = time.Minute
	// endedRetention is the time for which an ended upstream is remembered, so that a delayed announcement does not restore
	// it; no announcement is delayed for longer.
	endedRetention = 2 * time.Minute
)

// Directory is the set of upstreams that one host knows. Its methods are safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	records map[ident.Upstream]*record
	// confirmation counts what became of restored upstreams.
	confirmation Confirmation
	departures   []Departure
}

type record struct {
	announcement *fleetpb.Announcement
	updatedAt    ident.Time
	// unconfirmed is set while an upstream that was restored has not announced itself.
	unconfirmed bool
	// succeeds is the upstream that left as the primary and whose log this start has taken over, or empty.
	succeeds ident.Upstream
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{records: map[ident.Upstream]*record{}}
}

// Record records an announcement that arrived at now; one with gone set is the end of its upstream. It returns false for an
// announcement that is not newer: with the same or a lower number (seq) of the same start (born), of an older start, or of a
// start at an address that a later start has taken over. Taking over an address ends the upstream that had it. It also returns false
// for an announcement that fails Check, whichever way it came.
func (d *Directory) Record(now ident.Time, a *fleetpb.Announcement) bool {
	if Check(a) != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	id := ident.Upstream(a.GetUpstream())
	known := d.records[id]
	if a.GetGone() && a.GetService() == "" {
		return d.recordEnd(now, known, a)
	}
	if d.newer(a) != nil {
		return false
	}
	d.endOthersAt(now, a)
	next := &record{announcement: proto.CloneOf(a), updatedAt: now}
	switch {
	case a.GetGone():
		d.depart(now, a, true)
	case known == nil:
		next.succeeds = d.succeed(a)
	case known.announcement.GetBorn() != a.GetBorn():
		d.depart(now, known.announcement, known.announcement.GetLeaving())
		next.succeeds = d.succeed(a)
	default:
		next.succeeds = known.succeeds
	}
	d.settle(known, true)
	d.records[id] = next
	return true
}

// endOthersAt ends the other upstreams at the address of an announcement, which has taken it over.
func (d *Directory) endOthersAt(now ident.Time, a *fleetpb.Announcement) {
	for other, r := range d.records {
		if other == ident.Upstream(a.GetUpstream()) || r.announcement.GetAddress() != a.GetAddress() || r.announcement.GetGone() {
			continue
		}
		d.settle(r, false)
		d.depart(now, r.announcement, r.announcement.GetLeaving())
		r.announcement = proto.CloneOf(r.announcement)
		r.announcement.Gone, r.announcement.Leaving = true, true
		r.updatedAt = now
	}
}

// Newer returns the announcement because of which Record refuses an announcement, or nil if it would not refuse it. It tells a host
// that was down at the time about the end or the later start of an upstream.
func (d *Directory) Newer(a *fleetpb.Announcement) *fleetpb.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return proto.CloneOf(d.newer(a))
}

func (d *Directory) newer(a *fleetpb.Announcement) *fleetpb.Announcement {
	id := ident.Upstream(a.GetUpstream())
	if known := d.records[id]; known != nil && !newer(a, known.announcement) {
		return known.announcement
	}
	for other, r := range d.records {
		if other != id && r.announcement.GetAddress() == a.GetAddress() && !r.announcement.GetGone() && r.announcement.GetBorn() > a.GetBorn() {
			return r.announcement
		}
	}
	return nil
}

// recordEnd records the end of an upstream from an announcement without a service. Fields that such an announcement omits
// are kept from the earlier one of the same start.
func (d *Directory) recordEnd(now ident.Time, known *record, a *fleetpb.Announcement) bool {
	if known == nil && a.GetBorn() == 0 {
		return false
	}
	if known == nil || a.GetBorn() > known.announcement.GetBorn() {
		// The end has overtaken the first announcement of its start, or this host was down when that arrived. Nothing is kept from an
		// earlier start, whose address may belong to another upstream by now.
		if known != nil {
			d.depart(now, known.announcement, true)
		}
		d.settle(known, true)
		d.records[ident.Upstream(a.GetUpstream())] = &record{announcement: proto.CloneOf(a), updatedAt: now}
		return known != nil && !known.announcement.GetGone()
	}
	if known.announcement.GetGone() || (a.GetBorn() != 0 && a.GetBorn() < known.announcement.GetBorn()) {
		return false
	}
	ended := proto.CloneOf(known.announcement)
	ended.Gone, ended.Leaving = true, true
	ended.Seq = max(ended.GetSeq(), a.GetSeq())
	d.depart(now, ended, true)
	d.settle(known, true)
	d.records[ident.Upstream(a.GetUpstream())] = &record{announcement: ended, updatedAt: now}
	return true
}

// newer reports whether a follows known. Announcements of one upstream are ordered by start, then by their number
// since the start. Nothing follows the end of a start.
func newer(a, known *fleetpb.Announcement) bool {
	if a.GetBorn() != known.GetBorn() {
		return a.GetBorn() > known.GetBorn()
	}
	if known.GetGone() {
		return false
	}
	if a.GetGone() {
		return true
	}
	return a.GetSeq() > known.GetSeq()
}

// List returns the upstreams that have not ended, sorted by service and id, with the age of their announcements.
func (d *Directory) List(now ident.Time) []*fleetpb.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	list := make([]*fleetpb.Announcement, 0, len(d.records))
	for _, r := range d.records {
		if r.announcement.GetGone() {
			continue
		}
		a := proto.CloneOf(r.announcement)
		a.AgeMs = uint32(max(0, now.Sub(r.updatedAt)/time.Millisecond))
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y *fleetpb.Announcement) int {
		return cmp.Or(cmp.Compare(x.GetService(), y.GetService()), cmp.Compare(x.GetUpstream(), y.GetUpstream()))
	})
	return list
}

// expire removes the upstreams that have not announced themselves for too long, and forgets the end of those that ended long ago.
func (d *Directory) expire(now ident.Time) {
	for id, r := range d.records {
		if now.Sub(r.updatedAt) > r.retention() {
			d.depart(now, r.announcement, r.announcement.GetLeaving())
			d.settle(r, false)
			delete(d.records, id)
		}
	}
}

// retention returns the time for which a record is kept after its last announcement.
func (r *record) retention() time.Duration {
	switch {
	case r.announcement.GetGone():
		return endedRetention
	case r.unconfirmed:
		return confirmTimeout
	}
	return announcementTimeout
}
