package takeover

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// ProbeEvery is the interval of questions to a primary.
	ProbeEvery = 500 * time.Millisecond
	// ProbeTimeout is the time that a question may take.
	ProbeTimeout = 800 * time.Millisecond
	// deadAfter is the time without an answer to any host after which a primary counts as dead. It exceeds the interval of
	// announcements, so that a primary that is cut off from the leader only is still heard of.
	deadAfter = 1500 * time.Millisecond
	// minFailures is the number of failed questions in a row that it takes besides.
	minFailures = 2
	// leaderlessAfter is the time for which no upstream claims to be the primary before one is promoted.
	leaderlessAfter = 1500 * time.Millisecond
	// settleTime is the time that a promoted upstream has to announce itself as the primary; the platform takes some hundred
	// milliseconds and announces changes at once.
	settleTime = 3 * time.Second
	// retryAfter is the pause after a promotion that was not carried out.
	retryAfter = 400 * time.Millisecond
	// silentAfter is the time without announcements after which an upstream is no candidate.
	silentAfter = 4 * time.Second
	// learnTime is the time that a new leader waits for announcements before it decides.
	learnTime = 2500 * time.Millisecond
)

// Member is an upstream as the directory has it.
type Member struct {
	Upstream ident.Upstream
	// Primary says that it sees itself as the primary.
	Primary bool
	// Leaving says that it must get no new work.
	Leaving bool
	// LastAnnounced is when its last announcement arrived.
	LastAnnounced ident.Time
}

// Decider follows one service. It is not safe for concurrent use.
type Decider struct {
	began   ident.Time
	members []Member
	primary ident.Upstream
	// since is when the primary was taken for it.
	since    ident.Time
	answered ident.Time
	failures int
	probed   ident.Time
	// leaderless is when the last claim to be the primary ended, 0 while there is one.
	leaderless ident.Time
	retry      ident.Time
}

// New returns the Decider of a host that became the leader at now; successor is the upstream of the latest order, if any.
func New(now ident.Time, successor ident.Upstream) *Decider {
	return &Decider{began: now, primary: successor, since: now, answered: now}
}

// Primary returns the upstream that is held for the primary, or nothing.
func (d *Decider) Primary() ident.Upstream {
	return d.primary
}

// SetMembers takes the upstreams that have not ended.
func (d *Decider) SetMembers(now ident.Time, members []Member) {
	d.members = members
	claims := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		return !m.Primary || now.Sub(m.LastAnnounced) > silentAfter
	})
	if d.claims(claims, d.primary) {
		d.leaderless = 0
		return
	}
	if d.primary != "" && now.Sub(d.since) < settleTime {
		// The order may still be on its way to the announcements.
		return
	}
	if len(claims) > 0 {
		// The latest announcement is the likeliest: a change of the role is announced at once.
		latest := slices.MaxFunc(claims, func(x, y Member) int { return int(x.LastAnnounced - y.LastAnnounced) })
		d.take(now, latest.Upstream)
		d.leaderless = 0
		return
	}
	if d.leaderless == 0 {
		d.leaderless = now
	}
}

func (d *Decider) claims(claims []Member, id ident.Upstream) bool {
	return slices.ContainsFunc(claims, func(m Member) bool { return m.Upstream == id })
}

func (d *Decider) take(now ident.Time, id ident.Upstream) {
	d.primary, d.since, d.answered, d.failures = id, now, now, 0
}

func (d *Decider) member(id ident.Upstream) *Member {
	for i := range d.members {
		if d.members[i].Upstream == id {
			return &d.members[i]
		}
	}
	return nil
}

// ProbeDue reports whether the primary should be asked, and counts it as asked.
func (d *Decider) ProbeDue(now ident.Time) bool {
	if now.Sub(d.probed) < ProbeEvery {
		return false
	}
	d.probed = now
	return true
}

// Answered takes an answer of an upstream to any host; at is a time before the answer.
func (d *Decider) Answered(id ident.Upstream, at ident.Time) {
	if id == d.primary && at > d.answered {
		d.answered, d.failures = at, 0
	}
}

// Failed takes a question to the primary that was asked at a time and got no answer.
func (d *Decider) Failed(id ident.Upstream, at ident.Time) {
	if id == d.primary && at > d.answered {
		d.failures++
	}
}

// Decision says that a service needs another primary.
type Decision struct {
	Cause string
	// Primary is the upstream to be replaced.
	Primary ident.Upstream
	// Planned is set when the primary is alive and has to be replaced.
	Planned bool
	// Candidates are those that could take over.
	Candidates []ident.Upstream
	// Replicas is the number of replicas that the service should have.
	Replicas int
}

// Decide returns what is due, or nil.
func (d *Decider) Decide(now ident.Time) *Decision {
	if now < d.retry || now.Sub(d.began) < learnTime || now.Sub(d.since) < settleTime && d.since != d.began {
		return nil
	}
	decision := &Decision{Primary: d.primary}
	for _, m := range d.members {
		if m.Upstream != d.primary && !m.Leaving && now.Sub(m.LastAnnounced) < silentAfter {
			decision.Candidates = append(decision.Candidates, m.Upstream)
		}
	}
	decision.Replicas = len(d.members) - 1
	if len(decision.Candidates) == 0 {
		return nil
	}
	primary := d.member(d.primary)
	switch {
	case d.leaderless != 0 && now.Sub(d.leaderless) > leaderlessAfter:
		decision.Cause = "no upstream is the primary"
		if primary != nil && !primary.Leaving && now.Sub(primary.LastAnnounced) < silentAfter {
			decision.Candidates = append(decision.Candidates, d.primary)
		}
	case d.primary == "":
		return nil
	case primary == nil:
		decision.Cause = "the primary has ended"
	case d.dead(now, primary):
		decision.Cause = "the primary does not answer"
	case primary.Leaving:
		decision.Cause, decision.Planned = "the primary must get no new work", true
	default:
		return nil
	}
	return decision
}

// dead reports a primary that neither answers any host nor announces itself.
func (d *Decider) dead(now ident.Time, primary *Member) bool {
	return d.failures >= minFailures && now.Sub(d.answered) > deadAfter && now.Sub(primary.LastAnnounced) > deadAfter
}

// RefusedError reports an order to promote that was not carried out and will not be.
type RefusedError struct {
	// Text is what the other side said, for operators.
	Text string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Text }

// Promoted takes an order that was carried out.
func (d *Decider) Promoted(now ident.Time, id ident.Upstream) {
	d.take(now, id)
	d.leaderless = 0
}

// NotPromoted takes a promotion that came to nothing.
func (d *Decider) NotPromoted(now ident.Time) {
	d.retry = now.Add(retryAfter)
}

// Choose returns the candidate whose log reaches furthest. With synced replicas an acknowledged write is on at least that
// many of them, so enough of them must have told their position that one holds it.
func Choose(d *Decision, positions map[ident.Upstream]ident.Position, synced int) (ident.Upstream, bool) {
	needed := 1
	if synced > 0 {
		needed = max(1, d.Replicas-synced+1)
	}
	if len(positions) < needed {
		return "", false
	}
	var best ident.Upstream
	for _, candidate := range d.Candidates {
		position, told := positions[candidate]
		if told && (best == "" || positions[best].Less(position)) {
			best = candidate
		}
	}
	return best, best != ""
}
