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
	// learnTime is the time that a new leader waits for announcements before it judges.
	learnTime = 2500 * time.Millisecond
)

// Member is an upstream as the directory has it.
type Member struct {
	Upstream ident.Upstream
	// Primary says that it sees itself as the primary.
	Primary bool
	// Leaving says that it must get no new work.
	Leaving bool
	// Heard is when its last announcement arrived.
	Heard ident.Time
}

// Judge follows one service. It is not safe for concurrent use.
type Judge struct {
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

// New returns the judge of a leader that took office at now; successor is the upstream of the latest order, if any.
func New(now ident.Time, successor ident.Upstream) *Judge {
	return &Judge{began: now, primary: successor, since: now, answered: now}
}

// Primary returns the upstream that is held for the primary, or nothing.
func (j *Judge) Primary() ident.Upstream {
	return j.primary
}

// SetMembers takes the upstreams that have not ended.
func (j *Judge) SetMembers(now ident.Time, members []Member) {
	j.members = members
	claims := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		return !m.Primary || now.Sub(m.Heard) > silentAfter
	})
	if j.claims(claims, j.primary) {
		j.leaderless = 0
		return
	}
	if j.primary != "" && now.Sub(j.since) < settleTime {
		// The order may still be on its way to the announcements.
		return
	}
	if len(claims) > 0 {
		// The latest announcement is the likeliest: a change of the role is announced at once.
		latest := slices.MaxFunc(claims, func(x, y Member) int { return int(x.Heard - y.Heard) })
		j.take(now, latest.Upstream)
		j.leaderless = 0
		return
	}
	if j.leaderless == 0 {
		j.leaderless = now
	}
}

func (j *Judge) claims(claims []Member, id ident.Upstream) bool {
	return slices.ContainsFunc(claims, func(m Member) bool { return m.Upstream == id })
}

func (j *Judge) take(now ident.Time, id ident.Upstream) {
	j.primary, j.since, j.answered, j.failures = id, now, now, 0
}

func (j *Judge) member(id ident.Upstream) *Member {
	for i := range j.members {
		if j.members[i].Upstream == id {
			return &j.members[i]
		}
	}
	return nil
}

// ProbeDue reports whether the primary should be asked, and counts it as asked.
func (j *Judge) ProbeDue(now ident.Time) bool {
	if now.Sub(j.probed) < ProbeEvery {
		return false
	}
	j.probed = now
	return true
}

// Answered takes an answer of an upstream to any host; at is a time before the answer.
func (j *Judge) Answered(id ident.Upstream, at ident.Time) {
	if id == j.primary && at > j.answered {
		j.answered, j.failures = at, 0
	}
}

// Failed takes a question to the primary that was asked at a time and got no answer.
func (j *Judge) Failed(id ident.Upstream, at ident.Time) {
	if id == j.primary && at > j.answered {
		j.failures++
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
func (j *Judge) Decide(now ident.Time) *Decision {
	if now < j.retry || now.Sub(j.began) < learnTime || now.Sub(j.since) < settleTime && j.since != j.began {
		return nil
	}
	decision := &Decision{Primary: j.primary}
	for _, m := range j.members {
		if m.Upstream != j.primary && !m.Leaving && now.Sub(m.Heard) < silentAfter {
			decision.Candidates = append(decision.Candidates, m.Upstream)
		}
	}
	decision.Replicas = len(j.members) - 1
	if len(decision.Candidates) == 0 {
		return nil
	}
	primary := j.member(j.primary)
	switch {
	case j.leaderless != 0 && now.Sub(j.leaderless) > leaderlessAfter:
		decision.Cause = "no upstream is the primary"
		if primary != nil && !primary.Leaving && now.Sub(primary.Heard) < silentAfter {
			decision.Candidates = append(decision.Candidates, j.primary)
		}
	case j.primary == "":
		return nil
	case primary == nil:
		decision.Cause = "the primary has ended"
	case j.dead(now, primary):
		decision.Cause = "the primary does not answer"
	case primary.Leaving:
		decision.Cause, decision.Planned = "the primary must get no new work", true
	default:
		return nil
	}
	return decision
}

// dead reports a primary that neither answers any host nor announces itself.
func (j *Judge) dead(now ident.Time, primary *Member) bool {
	return j.failures >= minFailures && now.Sub(j.answered) > deadAfter && now.Sub(primary.Heard) > deadAfter
}

// RefusedError reports an order to promote that was not carried out and will not be.
type RefusedError struct {
	// Text is what the other side said, for operators.
	Text string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Text }

// Promoted takes an order that was carried out.
func (j *Judge) Promoted(now ident.Time, id ident.Upstream) {
	j.take(now, id)
	j.leaderless = 0
}

// NotPromoted takes a promotion that came to nothing.
func (j *Judge) NotPromoted(now ident.Time) {
	j.retry = now.Add(retryAfter)
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
