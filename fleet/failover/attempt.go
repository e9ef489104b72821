package failover

import (
	"fmt"
	"strings"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// reserveLimit and recordLimit bound the wait for the control log; an election takes about a second.
	reserveLimit = 2 * time.Second
	recordLimit  = 2 * time.Second
	// recordTries is the number of times that a promotion is proposed.
	recordTries = 3
	// drainLimit is the time that running write transactions have, and that the answer takes.
	drainLimit = 2500 * time.Millisecond
	// catchLimit is the time that the target of a planned switchover has to hold the last position.
	catchLimit = time.Second
	// settleTime is the time between the point at which a majority holds the last position of a drained primary and the
	// fence. Observers poll every 5 ms while writes wait, so that the last writes are acknowledged under their own term.
	settleTime = 100 * time.Millisecond
	catchPoll  = 20 * time.Millisecond
	// fenceLimit bounds the wait for a majority; fenceResend is the time between requests to one member.
	fenceLimit  = 1500 * time.Millisecond
	fenceResend = 400 * time.Millisecond
	// fenceGrace is the time that further members have to answer once a majority is fenced, so that the choice is wider.
	fenceGrace = 100 * time.Millisecond
	// wantedGrace is the same time for the target of a planned switchover.
	wantedGrace = 300 * time.Millisecond
	// promoteLimit bounds the wait for the answer of the new primary.
	promoteLimit = time.Second
)

type phase int

const (
	reserving phase = iota
	draining
	catching
	settling
	fencing
	promoting
	recording
)

// attempt is the work under one reserved term.
type attempt struct {
	term    ident.Term
	cause   string
	planned bool
	// from is the primary that a planned switchover drains, wanted the member that should take over.
	from, wanted ident.Upstream

	phase phase
	since ident.Time
	sent  map[ident.Upstream]ident.Time
	// drained is the last position of the drained primary, caught are the replicas that hold it.
	drained ident.Position
	caught  map[ident.Upstream]bool
	fenced  map[ident.Upstream]State
	refused map[ident.Upstream]string
	// enough is the time at which a majority was fenced.
	enough ident.Time
	target ident.Upstream
	tries  int
}

// start proposes to reserve the next term.
func (g *Group) start(a *attempt) {
	a.term = max(g.control.Attempt, g.control.Term, g.floor) + 1
	a.sent = map[ident.Upstream]ident.Time{}
	a.fenced = map[ident.Upstream]State{}
	a.caught = map[ident.Upstream]bool{}
	a.refused = map[ident.Upstream]string{}
	a.since = g.now
	g.attempt = a
	g.act(ProposeAttempt{a.term, a.cause})
}

func (g *Group) enter(p phase) {
	g.attempt.phase, g.attempt.since = p, g.now
	clear(g.attempt.sent)
}

// reserved continues an attempt whose term is in the log.
func (g *Group) reserved(term ident.Term) {
	a := g.attempt
	g.control.Attempt = max(g.control.Attempt, term)
	if a == nil || a.term != term || a.phase != reserving {
		return
	}
	primary, known := g.member(a.from)
	if a.planned && known {
		g.enter(draining)
		g.act(Drain{primary.Upstream, primary.Address, a.term})
		return
	}
	g.enter(fencing)
}

// giveUp ends an attempt; its term is never used again, and the next attempt follows after a pause.
func (g *Group) giveUp(cause string) {
	pause := min(backoffLeast<<min(g.failures, 10), backoffMost)
	pause += time.Duration(g.random.Int64N(int64(pause)))
	g.failures++
	g.retry = g.now.Add(pause)
	g.act(GiveUp{g.attempt.term, cause})
	g.attempt = nil
}

func (g *Group) answer(e Answer) {
	if e.Failure != "" {
		g.floor = max(g.floor, e.State.Term)
	}
	g.followAnswer(e)
	g.changeAnswer(e)
	a := g.attempt
	if a == nil || e.Kind != KindQuery && e.Term != a.term {
		return
	}
	switch {
	case e.Kind == KindDrain && a.phase == draining && e.Upstream == a.from:
		if e.Failure != "" {
			g.enter(fencing)
			return
		}
		a.drained = e.State.Last
		g.enter(catching)
	case e.Kind == KindQuery && a.phase == catching:
		g.catchAnswer(e)
	case e.Kind == KindFence && a.phase == fencing:
		g.fenceAnswer(e)
	case e.Kind == KindPromote && a.phase == promoting && e.Upstream == a.target:
		if e.Failure != "" {
			g.giveUp(fmt.Sprintf("%s could not be promoted: %s", a.target, e.Failure))
			return
		}
		g.enter(recording)
		g.act(ProposePromoted{a.term, a.target, a.fenced[a.target].Last})
	}
}

func (g *Group) fenceAnswer(e Answer) {
	a := g.attempt
	if e.Failure == "" && e.State.Term == a.term {
		a.fenced[e.Upstream] = e.State
		delete(a.refused, e.Upstream)
		return
	}
	a.refused[e.Upstream] = e.Failure
	if e.State.Term > a.term {
		g.giveUp(fmt.Sprintf("%s knows the later term %d", e.Upstream, e.State.Term))
	}
}

func (g *Group) advanceAttempt() {
	a := g.attempt
	waited := g.now.Sub(a.since)
	switch a.phase {
	case reserving:
		if waited >= reserveLimit {
			g.giveUp("the control log did not reserve the term in time")
		}
	case draining:
		if waited >= drainLimit {
			g.enter(fencing)
			g.fence()
		}
	case catching:
		if waited >= catchLimit {
			g.enter(fencing)
			g.fence()
			return
		}
		g.queryReplicas()
	case settling:
		if waited >= settleTime {
			g.enter(fencing)
			g.fence()
		}
	case fencing:
		g.fence()
	case promoting:
		if waited >= promoteLimit {
			g.giveUp(fmt.Sprintf("%s did not answer its promotion in time", a.target))
		}
	case recording:
		g.record(waited)
	}
}

func (g *Group) queryReplicas() {
	a := g.attempt
	for _, m := range g.control.Members {
		sent, asked := a.sent[m.Upstream]
		if m.Upstream == a.from || a.caught[m.Upstream] || asked && g.now.Sub(sent) < catchPoll {
			continue
		}
		a.sent[m.Upstream] = g.now
		g.act(Query{m.Upstream, m.Address})
	}
}

// catchAnswer continues once the target and a majority hold the last position of the drained primary.
func (g *Group) catchAnswer(e Answer) {
	a := g.attempt
	if e.Failure != "" || e.State.Term != g.control.Term || !e.State.Following || e.State.Last.Less(a.drained) {
		return
	}
	a.caught[e.Upstream] = true
	if a.caught[a.wanted] && len(a.caught)+1 >= g.majority() {
		g.enter(settling)
	}
}

func (g *Group) record(waited time.Duration) {
	a := g.attempt
	if waited < recordLimit {
		return
	}
	a.tries++
	if a.tries >= recordTries {
		g.giveUp("the control log did not record the promotion in time")
		return
	}
	// The same primary under the same term may be recorded again without harm.
	a.since = g.now
	g.act(ProposePromoted{a.term, a.target, a.fenced[a.target].Last})
}

// fence asks the members that have not answered, and chooses the new primary once enough have.
func (g *Group) fence() {
	a := g.attempt
	n, all := 0, true
	for _, m := range g.control.Members {
		if _, fenced := a.fenced[m.Upstream]; fenced {
			n++
			continue
		}
		all = false
		if sent, asked := a.sent[m.Upstream]; asked && g.now.Sub(sent) < fenceResend {
			continue
		}
		a.sent[m.Upstream] = g.now
		g.act(Fence{m.Upstream, m.Address, a.term})
	}
	if n < g.majority() {
		a.enough = 0
		if g.now.Sub(a.since) >= fenceLimit {
			g.giveUp(g.missing(n))
		}
		return
	}
	if a.enough == 0 {
		a.enough = g.now
	}
	grace := fenceGrace
	if _, fenced := a.fenced[a.wanted]; a.planned && !fenced {
		grace = wantedGrace
	}
	if all || g.now.Sub(a.enough) >= grace {
		g.promote()
	}
}

func (g *Group) missing(n int) string {
	var names []string
	for _, m := range g.control.Members {
		if _, fenced := g.attempt.fenced[m.Upstream]; fenced {
			continue
		}
		reason := g.attempt.refused[m.Upstream]
		if reason == "" {
			reason = "no answer"
		}
		names = append(names, string(m.Upstream)+": "+reason)
	}
	return fmt.Sprintf("%d of %d members fenced, %d needed (%s)", n, g.count(), g.majority(), strings.Join(names, ", "))
}

// promote chooses the most advanced fenced member; among equals one that may get new work, and among these the wanted one.
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
	g.enter(promoting)
	g.act(Promote{best.Upstream, best.Address, a.term})
}

// Ranks of members with equal logs.
const (
	rankServing = 4
	rankWanted  = 2
	rankAlive   = 1
)

func (g *Group) rank(m Member) int {
	rank := 0
	if g.serving(m) {
		rank += rankServing
	}
	if m.Upstream == g.attempt.wanted {
		rank += rankWanted
	}
	if g.isAlive(m.Upstream) {
		rank += rankAlive
	}
	return rank
}
