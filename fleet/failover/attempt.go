package failover

import (
	"fmt"
	"strings"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// reserveTimeout and recordTimeout bound the wait for the control log. An election takes about a second.
	reserveTimeout = 2 * time.Second
	recordTimeout  = 2 * time.Second
	// maxRecordAttempts is the number of times that a promotion is proposed before the attempt is given up.
	maxRecordAttempts = 3
	// drainTimeout bounds the wait for running write transactions to finish and for the primary's answer.
	drainTimeout = 2500 * time.Millisecond
	// catchUpTimeout bounds the wait for the target of a planned switchover to reach the primary's last position.
	catchUpTimeout = time.Second
	// settleDelay is the delay between the time at which a majority holds the last position of a drained primary and the
	// fence. Observers poll every 5 ms while writes wait, so the last writes are acknowledged under their own term.
	settleDelay         = 100 * time.Millisecond
	catchUpPollInterval = 20 * time.Millisecond
	// fenceTimeout bounds the wait for a majority; fenceRetryInterval is the time between requests to one member.
	fenceTimeout       = 1500 * time.Millisecond
	fenceRetryInterval = 400 * time.Millisecond
	// fenceGrace is the extra wait for the remaining members once a majority is fenced, to have more candidates.
	fenceGrace = 100 * time.Millisecond
	// targetGrace replaces fenceGrace while the target of a planned switchover has not been fenced.
	targetGrace = 300 * time.Millisecond
	// promoteTimeout bounds the wait for the answer of the new primary.
	promoteTimeout = time.Second
)

type phase int

const (
	reserving phase = iota
	draining
	catchingUp
	settling
	fencing
	promoting
	recording
)

// attempt is the state of one promotion attempt under its reserved term.
type attempt struct {
	term    ident.Term
	cause   string
	planned bool
	// oldPrimary is the primary that a planned switchover drains; preferred is the member that should take over.
	oldPrimary, preferred ident.Upstream

	phase      phase
	phaseStart ident.Time
	lastSent   map[ident.Upstream]ident.Time
	// drainedPosition is the last position of the drained primary; caughtUp contains the replicas that hold it.
	drainedPosition ident.Position
	caughtUp        map[ident.Upstream]bool
	fenced          map[ident.Upstream]State
	fenceErrors     map[ident.Upstream]string
	// majoritySince is the time since which a majority is fenced, or 0.
	majoritySince  ident.Time
	target         ident.Upstream
	recordAttempts int
}

// startAttempt begins an attempt by proposing to reserve the next term.
func (g *Group) startAttempt(a *attempt) {
	a.term = max(g.control.Attempt, g.control.Term, g.highestTerm) + 1
	a.lastSent = map[ident.Upstream]ident.Time{}
	a.fenced = map[ident.Upstream]State{}
	a.caughtUp = map[ident.Upstream]bool{}
	a.fenceErrors = map[ident.Upstream]string{}
	a.phaseStart = g.now
	g.attempt = a
	g.emit(ProposeAttempt{a.term, a.cause})
}

func (g *Group) enterPhase(p phase) {
	g.attempt.phase, g.attempt.phaseStart = p, g.now
	clear(g.attempt.lastSent)
}

// handleReserved continues the attempt once the log holds its term. A planned switchover drains the primary first; any other
// attempt fences at once.
func (g *Group) handleReserved(term ident.Term) {
	a := g.attempt
	g.control.Attempt = max(g.control.Attempt, term)
	if a == nil || a.term != term || a.phase != reserving {
		return
	}
	primary, known := g.member(a.oldPrimary)
	if a.planned && known {
		g.enterPhase(draining)
		g.emit(Drain{primary.Upstream, primary.Address, a.term})
		return
	}
	g.enterPhase(fencing)
}

// giveUp ends the attempt. Its term is never reused, and the next attempt starts after a pause that grows with each failure.
func (g *Group) giveUp(cause string) {
	pause := min(minBackoff<<min(g.failures, 10), maxBackoff)
	pause += time.Duration(g.random.Int64N(int64(pause)))
	g.failures++
	g.nextAttempt = g.now.Add(pause)
	g.emit(GiveUp{g.attempt.term, cause})
	g.attempt = nil
}

func (g *Group) handleAnswer(e Answer) {
	if e.Failure != "" {
		g.highestTerm = max(g.highestTerm, e.State.Term)
	}
	g.handleFollowAnswer(e)
	g.handleChangeAnswer(e)
	a := g.attempt
	if a == nil || e.Kind != KindQuery && e.Term != a.term {
		return
	}
	switch {
	case e.Kind == KindDrain && a.phase == draining && e.Upstream == a.oldPrimary:
		if e.Failure != "" {
			g.enterPhase(fencing)
			return
		}
		a.drainedPosition = e.State.Last
		g.enterPhase(catchingUp)
	case e.Kind == KindQuery && a.phase == catchingUp:
		g.handleCatchUpAnswer(e)
	case e.Kind == KindFence && a.phase == fencing:
		g.handleFenceAnswer(e)
	case e.Kind == KindPromote && a.phase == promoting && e.Upstream == a.target:
		if e.Failure != "" {
			g.giveUp(fmt.Sprintf("%s could not be promoted: %s", a.target, e.Failure))
			return
		}
		g.enterPhase(recording)
		g.emit(ProposePromoted{a.term, a.target, a.fenced[a.target].Last})
	}
}

func (g *Group) handleFenceAnswer(e Answer) {
	a := g.attempt
	if e.Failure == "" && e.State.Term == a.term {
		a.fenced[e.Upstream] = e.State
		delete(a.fenceErrors, e.Upstream)
		return
	}
	a.fenceErrors[e.Upstream] = e.Failure
	if e.State.Term > a.term {
		g.giveUp(fmt.Sprintf("%s knows the later term %d", e.Upstream, e.State.Term))
	}
}

func (g *Group) advanceAttempt() {
	a := g.attempt
	waited := g.now.Sub(a.phaseStart)
	switch a.phase {
	case reserving:
		if waited >= reserveTimeout {
			g.giveUp("the control log did not reserve the term in time")
		}
	case draining:
		if waited >= drainTimeout {
			g.enterPhase(fencing)
			g.sendFences()
		}
	case catchingUp:
		if waited >= catchUpTimeout {
			g.enterPhase(fencing)
			g.sendFences()
			return
		}
		g.queryReplicas()
	case settling:
		if waited >= settleDelay {
			g.enterPhase(fencing)
			g.sendFences()
		}
	case fencing:
		g.sendFences()
	case promoting:
		if waited >= promoteTimeout {
			g.giveUp(fmt.Sprintf("%s did not answer its promotion in time", a.target))
		}
	case recording:
		g.retryRecording(waited)
	}
}

func (g *Group) queryReplicas() {
	a := g.attempt
	for _, m := range g.control.Members {
		sent, asked := a.lastSent[m.Upstream]
		if m.Upstream == a.oldPrimary || a.caughtUp[m.Upstream] || asked && g.now.Sub(sent) < catchUpPollInterval {
			continue
		}
		a.lastSent[m.Upstream] = g.now
		g.emit(Query{m.Upstream, m.Address})
	}
}

// handleCatchUpAnswer continues once the target and a majority hold the last position of the drained primary.
func (g *Group) handleCatchUpAnswer(e Answer) {
	a := g.attempt
	if e.Failure != "" || e.State.Term != g.control.Term || !e.State.Following || e.State.Last.Less(a.drainedPosition) {
		return
	}
	a.caughtUp[e.Upstream] = true
	if a.caughtUp[a.preferred] && len(a.caughtUp)+1 >= g.majority() {
		g.enterPhase(settling)
	}
}

func (g *Group) retryRecording(waited time.Duration) {
	a := g.attempt
	if waited < recordTimeout {
		return
	}
	a.recordAttempts++
	if a.recordAttempts >= maxRecordAttempts {
		g.giveUp("the control log did not record the promotion in time")
		return
	}
	// Recording the same primary under the same term again has no effect.
	a.phaseStart = g.now
	g.emit(ProposePromoted{a.term, a.target, a.fenced[a.target].Last})
}

// sendFences sends fences to the members that are not fenced. It promotes a member once all are fenced, or once a majority is
// and the grace time is over.
func (g *Group) sendFences() {
	a := g.attempt
	n, allFenced := 0, true
	for _, m := range g.control.Members {
		if _, fenced := a.fenced[m.Upstream]; fenced {
			n++
			continue
		}
		allFenced = false
		if sent, asked := a.lastSent[m.Upstream]; asked && g.now.Sub(sent) < fenceRetryInterval {
			continue
		}
		a.lastSent[m.Upstream] = g.now
		g.emit(Fence{m.Upstream, m.Address, a.term})
	}
	if n < g.majority() {
		a.majoritySince = 0
		if g.now.Sub(a.phaseStart) >= fenceTimeout {
			g.giveUp(g.unfencedCause(n))
		}
		return
	}
	if a.majoritySince == 0 {
		a.majoritySince = g.now
	}
	grace := fenceGrace
	if _, fenced := a.fenced[a.preferred]; a.planned && !fenced {
		grace = targetGrace
	}
	if allFenced || g.now.Sub(a.majoritySince) >= grace {
		g.promote()
	}
}

func (g *Group) unfencedCause(n int) string {
	var names []string
	for _, m := range g.control.Members {
		if _, fenced := g.attempt.fenced[m.Upstream]; fenced {
			continue
		}
		reason := g.attempt.fenceErrors[m.Upstream]
		if reason == "" {
			reason = "no answer"
		}
		names = append(names, string(m.Upstream)+": "+reason)
	}
	return fmt.Sprintf("%d of %d members fenced, %d needed (%s)", n, g.memberCount(), g.majority(), strings.Join(names, ", "))
}

// promote chooses the fenced member with the latest position. The rank decides between members with equal positions.
func (g *Group) promote() {
	a := g.attempt
	var best Member
	for _, m := range g.control.Members {
		state, fenced := a.fenced[m.Upstream]
		if !fenced {
			continue
		}
		last := a.fenced[best.Upstream].Last
		if best.Upstream == "" || last.Less(state.Last) || last == state.Last && g.rank(m) > g.rank(best) {
			best = m
		}
	}
	a.target = best.Upstream
	g.enterPhase(promoting)
	g.emit(Promote{best.Upstream, best.Address, a.term})
}

// Weights for the choice between members with equal logs: eligible for new work, then preferred, then announced.
const (
	rankEligible  = 4
	rankPreferred = 2
	rankAnnounced = 1
)

func (g *Group) rank(m Member) int {
	rank := 0
	if g.eligible(m) {
		rank += rankEligible
	}
	if m.Upstream == g.attempt.preferred {
		rank += rankPreferred
	}
	if g.isAnnounced(m.Upstream) {
		rank += rankAnnounced
	}
	return rank
}
