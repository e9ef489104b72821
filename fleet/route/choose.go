package route

import (
	"cmp"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// MaxWait is the longest wait of a read for a replica before it goes to the primary.
const MaxWait = 50 * time.Millisecond

// Cause is the reason why a statement goes to the primary, waits or is rejected.
type Cause int

// Causes.
const (
	// CauseWrite means that only the primary may run the statement.
	CauseWrite Cause = iota
	// CauseUnknownPosition means that no keeper, a host that stores session positions, returned that of the read's session.
	CauseUnknownPosition
	// CauseNoReplica means that the group has no replica in service.
	CauseNoReplica
	// CauseLag means that no replica can serve the read, and at least one of them lacks the session's position.
	CauseLag
	// CauseAge means that all replicas hold older data than the service accepts.
	CauseAge
	// CauseNoPrimary means that the group has no primary.
	CauseNoPrimary
	// CauseUnconfirmed means that the group has not confirmed its primary under the current term.
	CauseUnconfirmed
	// CauseStaleTerm means that the session's position has a later term than the one known to the host.
	CauseStaleTerm
)

//go:generate enumer -type=Cause -trimprefix=Cause -transform=snake

// Candidate is one member of a group as the host knows it.
type Candidate struct {
	Upstream ident.Upstream
	Zone     ident.Zone
	Region   ident.Region
	// Position is the last position that the member reported.
	Position ident.Position
	// Age is the time since the member's data was current, as of the call of Choose.
	Age time.Duration
	// Reachable is set if observers can reach the member.
	Reachable bool
	// Announced is set if the member's announcement has not expired.
	Announced bool
	// Leaving is set if the member is leaving; it gets no new work.
	Leaving bool
	// ZoneOut is set if the member's availability zone is out of service.
	ZoneOut bool
	// Outstanding is the number of statements that this host has sent to the member or queued for it.
	Outstanding int
}

// Group is a database group as the host knows it.
type Group struct {
	Term    ident.Term
	Primary ident.Upstream
	// Confirmed is set if a majority of the group has confirmed the primary under Term.
	Confirmed bool
	Members   []Candidate
}

// Need contains the requirements of a statement on its upstream.
type Need struct {
	// Primary is set if only the primary may run the statement: for writes, and for reads without a session position.
	Primary bool
	// Cause is the reason for Primary.
	Cause Cause
	// Position is the log position up to which the read must see all writes.
	Position ident.Position
	// MaxAge is the maximum age of data that the service accepts.
	MaxAge time.Duration
	// Zone and Region are those of the host.
	Zone   ident.Zone
	Region ident.Region
	// Since is the time at which the search for an upstream began; at Deadline the statement is given up.
	Since    ident.Time
	Deadline ident.Time
	// BusyThreshold is the number of outstanding statements at which a replica counts as busy; 0 disables the threshold. A
	// replica that is not busy is preferred to a busy one, whatever its zone. Without the threshold, the hosts of the zone with
	// most callers would use only the replica of their own zone.
	BusyThreshold int
	// Turn selects between equal replicas; the user of this package increments it for each statement.
	Turn uint64
}

// Decision is the result of Choose: ToReplica, Wait, ToPrimary or Reject.
type Decision interface{ decision() }

// ToReplica sends the statement to a replica.
type ToReplica struct{ Upstream ident.Upstream }

// Wait means that Choose must be called again at Until, or as soon as the group's positions, primary or members change.
type Wait struct {
	Until ident.Time
	Cause Cause
}

// ToPrimary sends the statement to the confirmed primary.
type ToPrimary struct {
	Upstream ident.Upstream
	Cause    Cause
}

// Reject rejects the statement, which was not run.
type Reject struct{ Cause Cause }

func (ToReplica) decision() {}
func (Wait) decision()      {}
func (ToPrimary) decision() {}
func (Reject) decision()    {}

// Choose decides at now to which upstream a statement is sent.
func Choose(now ident.Time, need Need, group Group) Decision {
	if need.Primary {
		return choosePrimary(now, need, group, need.Cause)
	}
	best, cause, waitMayHelp := chooseReplica(need, group)
	if best != nil {
		return ToReplica{best.Upstream}
	}
	until := min(need.Since.Add(MaxWait), need.Deadline)
	if waitMayHelp && now < until {
		return Wait{Until: until, Cause: cause}
	}
	return choosePrimary(now, need, group, cause)
}

// chooseReplica returns the best replica that may serve the read. If there is none, it returns the cause and whether waiting
// may help.
func chooseReplica(need Need, group Group) (best *Candidate, cause Cause, waitMayHelp bool) {
	cause = CauseNoReplica
	for i := range group.Members {
		// The first one of several equal replicas is chosen, and each turn starts with another member.
		c := &group.Members[(uint64(i)+need.Turn)%uint64(len(group.Members))]
		if c.Upstream == group.Primary || !c.inService() {
			continue
		}
		waitMayHelp = true
		switch {
		case !c.Position.Covers(need.Position):
			cause = CauseLag
		case c.Age > need.MaxAge:
			if cause == CauseNoReplica {
				cause = CauseAge
			}
		case best == nil || need.better(c, best):
			best = c
		}
	}
	return best, cause, waitMayHelp
}

func (c *Candidate) inService() bool {
	return c.Reachable && c.Announced && !c.Leaving && !c.ZoneOut
}

// better reports whether c is preferred to d: by distance, then by outstanding work.
func (n Need) better(c, d *Candidate) bool {
	order := cmp.Or(cmp.Compare(n.distance(c), n.distance(d)), cmp.Compare(c.Outstanding, d.Outstanding))
	return order < 0
}

// distance returns 0 for the host's zone, 1 for its region and 2 for other regions, plus 3 for a busy replica.
func (n Need) distance(c *Candidate) int {
	d := 2
	switch {
	case c.Zone == n.Zone:
		d = 0
	case c.Region == n.Region:
		d = 1
	}
	if n.BusyThreshold > 0 && c.Outstanding >= n.BusyThreshold {
		d += 3
	}
	return d
}

// choosePrimary sends the statement to the primary, also if it is leaving or its zone is out of service: it serves until a
// planned switchover has replaced it. Without a confirmed primary the statement waits, since it was not run and a failover is
// in progress. At its deadline it is rejected.
func choosePrimary(now ident.Time, need Need, group Group, cause Cause) Decision {
	unavailableCause := CauseNoPrimary
	switch {
	case group.Term == 0 || group.Primary == "":
	case group.Term < need.Position.Term:
		unavailableCause = CauseStaleTerm
	case !group.Confirmed:
		unavailableCause = CauseUnconfirmed
	default:
		return ToPrimary{Upstream: group.Primary, Cause: cause}
	}
	if now < need.Deadline {
		return Wait{Until: need.Deadline, Cause: unavailableCause}
	}
	return Reject{Cause: unavailableCause}
}
