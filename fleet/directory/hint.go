package directory

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// confirmTimeout is the time in which a restored upstream must announce itself. Upstreams announce themselves about every second,
	// and hosts that were restarted count as in touch again only later, so an upstream that has left gets no work from then on.
	confirmTimeout = 3 * time.Second
	// maxEnded bounds the ended upstreams that are saved.
	maxEnded = 256
	// maxSaved bounds the others, whatever announces itself. It is far above the upstreams of one fleet.
	maxSaved = 4096
)

// Confirmation counts the upstreams that Restore has added.
type Confirmation struct {
	// Restored is the number of all of them, Confirmed of those that have announced themselves, and Dropped of those that have not
	// done so in time or whose address another upstream has taken over.
	Restored, Confirmed, Dropped int
}

// Open returns the number of restored upstreams that may still announce themselves.
func (c Confirmation) Open() int { return c.Restored - c.Confirmed - c.Dropped }

// Restore adds saved upstreams of which this host has no newer announcement. Each stands until it announces itself or confirmTimeout
// has passed; one that had ended stays ended.
func (d *Directory) Restore(now ident.Time, saved []*fleetpb.Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range saved {
		if Check(a) != nil || d.newer(a) != nil {
			continue
		}
		id := ident.Upstream(a.GetUpstream())
		if a.GetGone() {
			d.depart(now, a, true)
		} else {
			d.succeed(a)
		}
		d.settle(d.records[id], false)
		d.records[id] = &record{announcement: proto.CloneOf(a), updatedAt: now, unconfirmed: !a.GetGone()}
		if !a.GetGone() {
			d.endOthersAt(now, a)
			d.confirmation.Restored++
		}
	}
}

// Confirmation returns what has become of restored upstreams.
func (d *Directory) Confirmation(now ident.Time) Confirmation {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	return d.confirmation
}

// Unconfirmed returns the upstreams that were restored and have not announced themselves since.
func (d *Directory) Unconfirmed() map[ident.Upstream]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.confirmation.Open() == 0 {
		return nil
	}
	list := map[ident.Upstream]bool{}
	for id, r := range d.records {
		if r.unconfirmed {
			list[id] = true
		}
	}
	return list
}

// settle counts what has become of a restored upstream whose record is replaced or removed.
func (d *Directory) settle(r *record, confirmed bool) {
	switch {
	case r == nil || !r.unconfirmed:
		return
	case confirmed:
		d.confirmation.Confirmed++
	default:
		d.confirmation.Dropped++
	}
	r.unconfirmed = false
}

// Snapshot returns what is worth saving of all upstreams, sorted by id, with those that have ended lately.
func (d *Directory) Snapshot(now ident.Time) []*fleetpb.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	var list, ended []*fleetpb.Announcement
	for _, r := range d.records {
		a := r.announcement
		saved := &fleetpb.Announcement{
			Upstream: a.GetUpstream(), Service: a.GetService(), Address: a.GetAddress(), Zone: a.GetZone(), Born: a.GetBorn(), Seq: a.GetSeq(),
			Leaving: a.GetLeaving(), Gone: a.GetGone(), Primary: a.GetPrimary(), Capacity: a.GetCapacity(),
		}
		if saved.GetGone() {
			ended = append(ended, saved)
		} else {
			list = append(list, saved)
		}
	}
	slices.SortFunc(ended, func(x, y *fleetpb.Announcement) int {
		return cmp.Or(cmp.Compare(y.GetBorn(), x.GetBorn()), cmp.Compare(x.GetUpstream(), y.GetUpstream()))
	})
	sortBy(list, upstreamKey)
	list = append(list[:min(len(list), maxSaved)], ended[:min(len(ended), maxEnded)]...)
	sortBy(list, upstreamKey)
	return list
}

// Urgency says how soon a difference between the saved directory and the present one is worth an entry in the log.
type Urgency int

//go:generate enumer -type=Urgency -transform=lower

// Urgencies, in ascending order.
const (
	// Same means that there is no difference.
	Same Urgency = iota
	// Lazy means that an entry is worth little: only hosts have gone, or ended upstreams were forgotten.
	Lazy
	// Due means that a leader without the difference would start with a directory that is wrong or not whole.
	Due
	// Urgent means that an upstream has ended or begun to leave.
	Urgent
)

// DiffSaved returns the change from the saved upstreams and hosts to the present ones, and its urgency. Numbers of announcements alone
// are no difference, since each announcement has the next one. All lists are sorted.
func DiffSaved(saved *fleetpb.SavedRecovery, upstreams []*fleetpb.Announcement, hosts []*fleetpb.EntryHost) (*fleetpb.Recovery, Urgency) {
	change, urgency := &fleetpb.Recovery{}, Same
	before := map[string]*fleetpb.Announcement{}
	for _, a := range saved.GetUpstreams() {
		before[a.GetUpstream()] = a
	}
	for _, a := range upstreams {
		old := before[a.GetUpstream()]
		delete(before, a.GetUpstream())
		if old != nil && sameButSeq(old, a) {
			continue
		}
		change.Upstreams = append(change.Upstreams, a)
		urgency = max(urgency, urgencyOf(old, a))
	}
	for id, old := range before {
		change.RemovedUpstreams = append(change.RemovedUpstreams, id)
		if old.GetGone() {
			urgency = max(urgency, Lazy)
		} else {
			urgency = max(urgency, Due)
		}
	}
	slices.Sort(change.RemovedUpstreams)
	change.Hosts, change.RemovedHosts = diffLists(saved.GetHosts(), hosts, hostKey)
	switch {
	case len(change.Hosts) > 0:
		urgency = max(urgency, Due)
	case len(change.RemovedHosts) > 0:
		urgency = max(urgency, Lazy)
	}
	return change, urgency
}

func urgencyOf(old, a *fleetpb.Announcement) Urgency {
	switch {
	case a.GetGone() && !old.GetGone():
		return Urgent
	case a.GetLeaving() && old != nil && !old.GetLeaving():
		return Urgent
	}
	return Due
}

// sameButSeq reports whether two announcements differ at most in their number.
func sameButSeq(x, y *fleetpb.Announcement) bool {
	if x.GetSeq() == y.GetSeq() {
		return proto.Equal(x, y)
	}
	y = proto.CloneOf(y)
	y.Seq = x.GetSeq()
	return proto.Equal(x, y)
}

// ApplySaved returns the saved state that results from a change at an index of the log; from is not changed.
func ApplySaved(from *fleetpb.SavedRecovery, index uint64, change *fleetpb.Recovery) *fleetpb.SavedRecovery {
	to := &fleetpb.SavedRecovery{
		Upstreams:     applyList(from.GetUpstreams(), change.GetUpstreams(), change.GetRemovedUpstreams(), upstreamKey),
		Hosts:         applyList(from.GetHosts(), change.GetHosts(), change.GetRemovedHosts(), hostKey),
		Advanced:      from.GetAdvanced(),
		AdvancedIndex: from.GetAdvancedIndex(),
	}
	if back := change.GetAdvanceBack(); back != 0 && back >= from.GetAdvancedIndex() {
		to.Advanced = 0
	}
	if change.GetAdvance() > 0 {
		to.Advanced, to.AdvancedIndex = to.Advanced+change.GetAdvance(), index
	}
	return to
}
