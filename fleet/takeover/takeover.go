package takeover

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// ProbeInterval is the interval between probes of a primary.
	ProbeInterval = 500 * time.Millisecond
	// ProbeTimeout is the timeout of one probe.
	ProbeTimeout = 800 * time.Millisecond
	// deadAfter is the time without an answer to any host after which a primary counts as dead. It exceeds the announcement
	// interval, so that announcements still arrive in time from a primary that only the leader cannot reach.
	deadAfter = 1500 * time.Millisecond
	// minFailedProbes is the number of consecutive failed probes that a primary must have in addition to count as dead.
	minFailedProbes = 2
	// noPrimaryAfter is the time without an upstream that announces itself as the primary, after which one is promoted.
	noPrimaryAfter = 1500 * time.Millisecond
	// settleDelay is the time that a promoted upstream has to announce itself as the primary. The platform takes a few
	// hundred milliseconds and announces changes at once.
	settleDelay = 3 * time.Second
	// retryDelay is the pause after a promotion that was not executed.
	retryDelay = 400 * time.Millisecond
	// announcementMaxAge is the time without announcements after which an upstream is no candidate, and its claim to be the
	// primary no longer counts.
	announcementMaxAge = 4 * time.Second
	// startupDelay is the time for which a new leader collects announcements before it decides. One that has followed the announcements
	// needs it for all decisions but the replacement of a dead primary, which takes deadAfter at least: in that time each upstream that
	// runs announces itself.
	startupDelay = 2500 * time.Millisecond
)

// Member is an upstream's entry in the directory.
type Member struct {
	Upstream ident.Upstream
	// Primary is set when the upstream announces itself as the primary.
	Primary bool
	// Leaving is set when the upstream must get no new work, and Ending if that is because it is about to end.
	Leaving, Ending bool
	// Restored is set when the entry was saved before a restart of the core and the upstream has not announced itself since.
	Restored bool
	// LastAnnounced is the time at which its last announcement arrived.
	LastAnnounced ident.Time
	// Born is its start time in Unix milliseconds, by its own clock.
	Born int64
	// Succeeds is the upstream that left as the primary and whose log this one has taken over, or empty.
	Succeeds ident.Upstream
}

// Decider decides on the primary of one service. It is not safe for concurrent use.
type Decider struct {
	startedAt ident.Time
	// followed is set if this host had the announcements of the service lately when it became the leader.
	followed bool
	members  []Member
	// departures are former members; floor says which of them still matter.
	departures []Departure
	floor      floor
	primary    ident.Upstream
	// primaryBorn is the start time of the primary when it last announced itself as such.
	primaryBorn int64
	// assumed is set while the primary is known from a restored entry only.
	assumed bool
	// primarySince is the time at which the current primary was set.
	primarySince ident.Time
	lastAnswer   ident.Time
	failedProbes int
	lastProbe    ident.Time
	// noPrimarySince is the time since which no upstream announces itself as the primary, or 0 while one does.
	noPrimarySince ident.Time
	// notBefore is the earliest time of the next decision after a failed promotion.
	notBefore ident.Time
	// unfinished is set while a replacement has to be completed, because an order may still be executed or replicas are paused;
	// replaced is the primary that it replaces.
	unfinished bool
	replaced   ident.Upstream
}

// New returns the Decider of a host that became the leader at now; successor is the upstream of the latest promotion order,
// if any, and position the one that it had then.
func New(now ident.Time, successor ident.Upstream, position ident.Position) *Decider {
	return &Decider{
		startedAt: now, primary: successor, primarySince: now, lastAnswer: now, floor: floor{successor: successor, ordered: position},
	}
}

// Primary returns the upstream that is assumed to be the primary, or an empty name.
func (d *Decider) Primary() ident.Upstream {
	return d.primary
}

// SetMembers sets the upstreams that have not been removed, and updates the primary from their announcements.
func (d *Decider) SetMembers(now ident.Time, members []Member) {
	d.members = members
	if now == d.startedAt {
		d.followed = hasFollowed(now, members)
	}
	claims := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		return !m.Primary || now.Sub(m.LastAnnounced) > announcementMaxAge
	})
	if announced := slices.DeleteFunc(slices.Clone(claims), restored); len(announced) > 0 {
		claims = announced
	}
	if d.contains(claims, d.primary) {
		d.noPrimarySince = 0
		d.primaryBorn = d.member(d.primary).Born
		d.confirmOrder()
		d.assumed = d.assumed && slices.ContainsFunc(claims, restored)
		return
	}
	if d.primary != "" && !d.assumed && now.Sub(d.primarySince) < settleDelay {
		// The announcements may not show the latest order yet.
		return
	}
	if len(claims) > 0 {
		// The latest announcement is the most reliable one, because a change of the role is announced at once.
		latest := slices.MaxFunc(claims, func(x, y Member) int { return int(x.LastAnnounced - y.LastAnnounced) })
		d.setPrimary(now, latest.Upstream)
		d.assumed = latest.Restored
		d.noPrimarySince = 0
		return
	}
	if d.noPrimarySince == 0 {
		d.noPrimarySince = now
	}
}

// hasFollowed reports whether a host that becomes the leader has received the members' announcements until lately. Restored entries show
// that it has missed some.
func hasFollowed(now ident.Time, members []Member) bool {
	return !slices.ContainsFunc(members, restored) && slices.ContainsFunc(members, func(m Member) bool {
		return !m.Primary && now.Sub(m.LastAnnounced) <= deadAfter
	})
}

// restored reports whether a member has not announced itself since the core was restarted.
func restored(m Member) bool { return m.Restored }

func (d *Decider) contains(members []Member, id ident.Upstream) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Upstream == id })
}

func (d *Decider) setPrimary(now ident.Time, id ident.Upstream) {
	d.primary, d.assumed, d.primarySince, d.lastAnswer, d.failedProbes = id, false, now, now, 0
	if m := d.member(id); m != nil {
		d.primaryBorn = m.Born
	}
}

func (d *Decider) member(id ident.Upstream) *Member {
	for i := range d.members {
		if d.members[i].Upstream == id {
			return &d.members[i]
		}
	}
	return nil
}

// ProbeDue reports whether the primary should be probed now, and records the probe if so.
func (d *Decider) ProbeDue(now ident.Time) bool {
	if now.Sub(d.lastProbe) < ProbeInterval {
		return false
	}
	d.lastProbe = now
	return true
}

// Answered records an answer of an upstream to any host; at is a time before the answer. It reports whether this is the latest answer
// of the primary.
func (d *Decider) Answered(id ident.Upstream, at ident.Time) bool {
	if id != d.primary || at <= d.lastAnswer {
		return false
	}
	d.lastAnswer, d.failedProbes = at, 0
	return true
}

// Failed records a probe of the primary that was sent at the time at and got no answer.
func (d *Decider) Failed(id ident.Upstream, at ident.Time) {
	if id == d.primary && at > d.lastAnswer {
		d.failedProbes++
	}
}

// Decide returns a Decision if the service needs another primary now, or nil.
func (d *Decider) Decide(now ident.Time) *Decision {
	if now < d.notBefore || d.starts(now) || d.settles(now) {
		return nil
	}
	decision := &Decision{Primary: d.primary}
	if d.unfinished {
		decision.Primary = d.replaced
	}
	for _, m := range d.members {
		switch {
		case m.Upstream == decision.Primary || now.Sub(m.LastAnnounced) >= announcementMaxAge:
		case m.Ending:
			decision.Ending = append(decision.Ending, m.Upstream)
		case m.Leaving:
			decision.Evacuated = append(decision.Evacuated, m.Upstream)
		default:
			decision.Candidates = append(decision.Candidates, m.Upstream)
		}
	}
	decision.Complete = d.heir()
	decision.Departed, decision.Floor = d.departedReplicas(decision.Primary), d.floor.position
	decision.Replicas = d.replicas(now, decision.Primary) + decision.Departed
	if len(decision.Candidates) == 0 {
		return nil
	}
	primary := d.member(d.primary)
	switch {
	case d.unfinished:
		decision.Cause = "an earlier replacement is not finished"
	case d.noPrimarySince != 0 && now.Sub(d.noPrimarySince) > noPrimaryAfter && d.serves(now, primary):
		decision.Cause, decision.Planned, decision.Serving = "the announcements of the primary do not arrive", true, true
	case d.noPrimarySince != 0 && now.Sub(d.noPrimarySince) > noPrimaryAfter:
		decision.Cause = "no upstream is the primary"
		if primary != nil && !primary.Leaving && now.Sub(primary.LastAnnounced) < announcementMaxAge {
			decision.Candidates = append(decision.Candidates, d.primary)
			if primary.Born == d.primaryBorn {
				decision.Complete = d.primary
			}
		}
	case d.primary == "":
		return nil
	case primary == nil:
		decision.Cause = "the primary has ended"
	case d.primaryDead(now, primary):
		decision.Cause = "the primary does not answer"
	case primary.Leaving:
		decision.Cause, decision.Planned = "the primary must get no new work", true
	default:
		return nil
	}
	return decision
}

// starts reports whether this leader still has to collect announcements.
func (d *Decider) starts(now ident.Time) bool {
	if now.Sub(d.startedAt) >= startupDelay {
		return false
	}
	primary := d.member(d.primary)
	// A primary that does not announce its role may have been promoted by the earlier leader, whose order may still be under way.
	dead := primary != nil && primary.Primary && d.noPrimarySince == 0 && d.primaryDead(now, primary)
	return !d.followed || !dead
}

// settles reports whether a new primary still has time to announce itself.
func (d *Decider) settles(now ident.Time) bool {
	return !d.unfinished && now.Sub(d.primarySince) < settleDelay && d.primarySince != d.startedAt
}

// serves reports whether the primary has lately answered a host and has not announced itself as a replica since it became the primary.
func (d *Decider) serves(now ident.Time, primary *Member) bool {
	return primary != nil && now.Sub(d.lastAnswer) <= deadAfter && (primary.Primary || primary.LastAnnounced <= d.primarySince)
}

// replicas returns the number of members other than the primary. A primary that is not a member any more was none of them. If the
// primary is unknown, a member that has stopped announcing itself is taken for it.
func (d *Decider) replicas(now ident.Time, primary ident.Upstream) int {
	primaryListed := d.member(primary) != nil
	if primary == "" {
		primaryListed = slices.ContainsFunc(d.members, func(m Member) bool { return now.Sub(m.LastAnnounced) >= announcementMaxAge })
	}
	if primaryListed {
		return len(d.members) - 1
	}
	return len(d.members)
}

// primaryDead reports whether the primary neither answers any host nor announces itself.
func (d *Decider) primaryDead(now ident.Time, primary *Member) bool {
	return d.failedProbes >= minFailedProbes && now.Sub(d.lastAnswer) > deadAfter && now.Sub(primary.LastAnnounced) > deadAfter
}

// Promoted records an executed promotion order. The upstream's position at the order contains every write acknowledged before.
func (d *Decider) Promoted(now ident.Time, id ident.Upstream, position ident.Position) {
	d.setPrimary(now, id)
	d.floor = floor{position: position, at: now, ordered: position, successor: id}
	d.noPrimarySince, d.unfinished, d.replaced = 0, false, ""
}

// Unfinished records that a replacement must be completed. Until then a Decision is due, also if the primary has returned: it
// can't get its writes acknowledged while replicas are paused, and an order that may still be executed must find the logs as they were.
func (d *Decider) Unfinished(now ident.Time) {
	if !d.unfinished {
		d.unfinished, d.replaced = true, d.primary
	}
	d.NotPromoted(now)
}

// IsUnfinished reports whether a replacement must be completed, also while no Decision is due yet.
func (d *Decider) IsUnfinished() bool {
	return d.unfinished
}

// NotPromoted records a failed promotion; the next decision waits for retryDelay.
func (d *Decider) NotPromoted(now ident.Time) {
	d.notBefore = now.Add(retryDelay)
}
