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
	// forgetSilent is the time without announcements after which an upstream is forgotten. A crashed upstream stays known
	// for longer than it usually takes to come back.
	forgetSilent = time.Minute
	// forgetGone is the time for which the end of an upstream is remembered; no announcement is delayed for longer.
	forgetGone = 2 * time.Minute
)

// Directory is the memory of one host. Its methods may be called from several goroutines.
type Directory struct {
	mu      sync.Mutex
	records map[ident.Upstream]*record
}

type record struct {
	announcement *fleetpb.Announcement
	at           ident.Time
}

// New returns a directory that knows no upstream.
func New() *Directory {
	return &Directory{records: map[ident.Upstream]*record{}}
}

// Take takes an announcement that arrived at a time. It returns false for one that says nothing newer: an older number of
// the same start, an older start, or a start at an address that a later one has taken over.
func (d *Directory) Take(now ident.Time, a *fleetpb.Announcement) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := ident.Upstream(a.GetUpstream())
	known := d.records[id]
	if a.GetGone() && a.GetService() == "" {
		return d.end(now, known, a)
	}
	if known != nil && !newer(a, known.announcement) {
		return false
	}
	for other, r := range d.records {
		if other == id || r.announcement.GetAddress() != a.GetAddress() || r.announcement.GetGone() {
			continue
		}
		if r.announcement.GetBorn() > a.GetBorn() {
			return false
		}
		r.announcement = proto.CloneOf(r.announcement)
		r.announcement.Gone, r.announcement.Leaving = true, true
		r.at = now
	}
	d.records[id] = &record{proto.CloneOf(a), now}
	return true
}

// end takes the last call of an upstream, which need not repeat what it said before.
func (d *Directory) end(now ident.Time, known *record, a *fleetpb.Announcement) bool {
	if known == nil || known.announcement.GetGone() || (a.GetBorn() != 0 && a.GetBorn() < known.announcement.GetBorn()) {
		return false
	}
	ended := proto.CloneOf(known.announcement)
	ended.Gone, ended.Leaving = true, true
	ended.Seq = max(ended.GetSeq(), a.GetSeq())
	d.records[ident.Upstream(a.GetUpstream())] = &record{ended, now}
	return true
}

// newer orders the announcements of one upstream: by its start, then by the number since the start. Nothing follows the
// end of a start.
func newer(a, known *fleetpb.Announcement) bool {
	if a.GetBorn() != known.GetBorn() {
		return a.GetBorn() > known.GetBorn()
	}
	if known.GetGone() {
		return false
	}
	return a.GetSeq() > known.GetSeq()
}

// List returns the upstreams that have not ended, by service and id, with the age of what they said.
func (d *Directory) List(now ident.Time) []*fleetpb.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*fleetpb.Announcement, 0, len(d.records))
	for id, r := range d.records {
		age := now.Sub(r.at)
		if age > forgetGone || (age > forgetSilent && !r.announcement.GetGone()) {
			delete(d.records, id)
			continue
		}
		if r.announcement.GetGone() {
			continue
		}
		a := proto.CloneOf(r.announcement)
		a.AgeMs = uint32(max(0, age/time.Millisecond))
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y *fleetpb.Announcement) int {
		return cmp.Or(cmp.Compare(x.GetService(), y.GetService()), cmp.Compare(x.GetUpstream(), y.GetUpstream()))
	})
	return list
}
