package route

import (
	"cmp"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// MaxWait is the longest wait of a read for a replica before it goes to the primary.
const MaxWait = 50 * time.Millisecond

// Cause says why a statement goes to the primary or nowhere.
type Cause int

// Causes.
const (
	// CauseWrite is a statement that only the primary may run.
	CauseWrite Cause = iota
	// CauseUnknownPosition is a read of a session whose position no keeper told.
	CauseUnknownPosition
	// CauseNoReplica is a group without a replica in service.
	CauseNoReplica
	// CauseLag is a group whose replicas do not cover the session's position in time.
	CauseLag
	// CauseAge is a group whose replicas hold older data than the service accepts.
	CauseAge
	// CauseNoPrimary is a group without a primary.
	CauseNoPrimary
	// CauseUnconfirmed is a primary that its group has not confirmed under the current term.
	CauseUnconfirmed
	// CauseStaleTerm is a session position under a later term than the host knows of.
	CauseStaleTerm
)

//go:generate enumer -type=Cause -trimprefix=Cause -transform=snake

// Candidate is what a host knows of one member of a group.
type Candidate struct {
	Upstream ident.Upstream
	Zone     ident.Zone
	Region   ident.Region
	// Position is the last one that the member reported.
	Position ident.Position
	// Age is the time since the member's data was current, counted up to now.
	Age time.Duration
	// Reachable says that observers have contact with the member.
	Reachable bool
	// Announced says that the member's announcement has not expired.
	Announced bool
	// Leaving members get no new work.
	Leaving bool
	// ZoneOut says that the member's availability zone is out of service.
	ZoneOut bool
	// Outstanding is the number of statements that this host has sent or queued there.
	Outstanding int
}

// Group is what a host knows of a database group.
type Group struct {
	Term    ident.Term
	Primary ident.Upstream
	// Confirmed says that a majority of the group has confirmed the primary under Term.
	Confirmed bool
	Members   []Candidate
}

// Need is what a statement asks of an upstream.
type Need struct {
	// Primary says that only the primary will do: writes, and reads without a session position.
	Primary bool
	// Cause is the reason for Primary.
	Cause Cause
	// Position is the one that the read must see.
	Position ident.Position
	// Age is the greatest age of data that the service accepts.
	Age time.Duration
	// Zone and Region are those of the host.
	Zone   ident.Zone
	Region ident.Region
	// Since is when the statement began to look for an upstream, and Deadline when it is given up.
	Since    ident.Time
	Deadline ident.Time
	// Busy is the outstanding work from which a replica comes after those of other zones; 0 for never. Without it the
	// hosts of one zone with most callers would load their own replica only.
	Busy int
	// Turn breaks ties; callers count it up.
	Turn uint64
}

// Decision is the choice for a statement: ToReplica, Wait, ToPrimary or Reject.
type Decision interface{ decision() }

// ToReplica sends the statement to a replica.
type ToReplica struct{ Upstream ident.Upstream }

// Wait asks again at Until, or as soon as the group's positions, primary or members change.
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

// Choose decides where a statement goes at now.
func Choose(now ident.Time, need Need, group Group) Decision {
	if need.Primary {
		return primary(now, need, group, need.Cause)
	}
	best, cause, hope := replica(need, group)
	if best != nil {
		return ToReplica{best.Upstream}
	}
	until := min(need.Since.Add(MaxWait), need.Deadline)
	if hope && now < until {
		return Wait{Until: until, Cause: cause}
	}
	return primary(now, need, group, cause)
}

// replica returns the best replica that may serve the read, or why there is none and whether waiting may help.
func replica(need Need, group Group) (best *Candidate, cause Cause, hope bool) {
	cause = CauseNoReplica
	for i := range group.Members {
		// The first one of several equals wins, and each turn starts at another one.
		c := &group.Members[(uint64(i)+need.Turn)%uint64(len(group.Members))]
		if c.Upstream == group.Primary || !c.inService() {
			continue
		}
		hope = true
		switch {
		case !c.Position.Covers(need.Position):
			cause = CauseLag
		case c.Age > need.Age:
			if cause == CauseNoReplica {
				cause = CauseAge
			}
		case best == nil || need.better(c, best):
			best = c
		}
	}
	return best, cause, hope
}

func (c *Candidate) inService() bool {
	return c.Reachable && c.Announced && !c.Leaving && !c.ZoneOut
}

// better orders replicas by zone and then by outstanding work.
func (n Need) better(c, d *Candidate) bool {
	order := cmp.Or(cmp.Compare(n.distance(c), n.distance(d)), cmp.Compare(c.Outstanding, d.Outstanding))
	return order < 0
}

// distance is 0 in the own zone, 1 in the region and 2 elsewhere, and 3 more for a busy replica.
func (n Need) distance(c *Candidate) int {
	d := 2
	switch {
	case c.Zone == n.Zone:
		d = 0
	case c.Region == n.Region:
		d = 1
	}
	if n.Busy > 0 && c.Outstanding >= n.Busy {
		d += 3
	}
	return d
}

// primary sends the statement to the primary. Zones out of service and leaving do not matter here: the primary serves
// until a planned switchover has replaced it. Without a confirmed primary the statement waits, since it was not run and
// a failover is under way; at its deadline it is rejected.
func primary(now ident.Time, need Need, group Group, cause Cause) Decision {
	missing := CauseNoPrimary
	switch {
	case group.Term == 0 || group.Primary == "":
	case group.Term < need.Position.Term:
		missing = CauseStaleTerm
	case !group.Confirmed:
		missing = CauseUnconfirmed
	default:
		return ToPrimary{Upstream: group.Primary, Cause: cause}
	}
	if now < need.Deadline {
		return Wait{Until: need.Deadline, Cause: missing}
	}
	return Reject{Cause: missing}
}
