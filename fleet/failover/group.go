package failover

import (
	"math/rand/v2"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// unreachableAfter is the time without an answer after which an observer counts the primary as unreachable. A primary
	// that reports another role is tolerated for the same time, because the report may be older than its promotion.
	unreachableAfter = time.Second
	// reportMaxAge is the time for which a report is valid; hosts report every 250 ms.
	reportMaxAge = 1500 * time.Millisecond
	// defaultObserverZones is the number of availability zones that observe a group if the control state gives none.
	defaultObserverZones = 3
	// minBackoff and maxBackoff bound the pause between attempts, to which a random time of up to the same length is added.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// bootstrapGrace is the extra wait for the remaining announcements before the first promotion.
	bootstrapGrace = time.Second
	// switchoverPause is the pause after a planned switchover that promoted another member than its target.
	switchoverPause = 5 * time.Second
	// followRetryInterval is the time after which the request to follow is repeated.
	followRetryInterval = 500 * time.Millisecond
	// followGrace is the time that a replica has to start its replication stream.
	followGrace = time.Second
)

// Options configure a Group.
type Options struct {
	Service ident.Service
	// Seed seeds the random pauses between attempts.
	Seed uint64
}

// observerReport is the latest report of one observer on one upstream.
type observerReport struct {
	zone     ident.Zone
	received ident.Time
	silent   time.Duration
	refused  bool
	state    State
	// replicaSince is the start of the current run of reports in which the upstream is not primary.
	replicaSince ident.Time
}

type announcement struct {
	member Member
	until  ident.Time
}

// follow is the state of the requests to one upstream to follow the primary: when the last one was sent, when an answer
// last arrived, and whether that answer was a success.
type follow struct {
	sent, acked ident.Time
	accepted    bool
}

// Group makes the failover decisions for one database group. It is not safe for concurrent use.
type Group struct {
	service ident.Service
	random  *rand.Rand

	now     ident.Time
	actions []Action

	hasControl bool
	control    Control
	// membersChanged is the time at which this Group last received a changed member list.
	membersChanged ident.Time
	zonesOut       []ident.Zone
	announcements  map[ident.Upstream]announcement
	reports        map[ident.Upstream]map[ident.Host]observerReport
	follows        map[ident.Upstream]*follow

	attempt *attempt
	// nextAttempt is the earliest time of the next attempt; failures is the number of consecutive failed attempts.
	nextAttempt ident.Time
	failures    int
	// majorityAnnounced is the time since which a majority is announced in a group without a primary, or 0.
	majorityAnnounced ident.Time
	// highestTerm is the highest term that an upstream reported in a failed answer.
	highestTerm ident.Term
	// cause is the reason for the latest attempt, or for the first one in a series of failed attempts.
	cause  string
	change memberChange
}

// New returns a group that waits for its first Control event.
func New(options Options) *Group {
	return &Group{
		service:       options.Service,
		random:        rand.New(rand.NewPCG(options.Seed, uint64(len(options.Service)))),
		announcements: map[ident.Upstream]announcement{},
		reports:       map[ident.Upstream]map[ident.Host]observerReport{},
		follows:       map[ident.Upstream]*follow{},
	}
}

// Step handles an event and returns the actions to execute, in order.
func (g *Group) Step(now ident.Time, event Event) []Action {
	g.now, g.actions = now, nil
	switch e := event.(type) {
	case Control:
		g.adoptControl(e)
	case Observed:
		g.handleObserved(e)
	case Announced:
		g.announcements[e.Member.Upstream] = announcement{e.Member, now.Add(e.Lease)}
	case Zones:
		g.zonesOut = slices.Clone(e.Out)
	case AttemptCommitted:
		g.handleReserved(e.Term)
	case PromotionCommitted:
		g.handlePromoted(e.Term, e.Upstream)
	case Answer:
		g.handleAnswer(e)
	case Tick:
	}
	if g.hasControl {
		g.advance()
	}
	return g.actions
}

func (g *Group) emit(a Action) {
	g.actions = append(g.actions, a)
}

func (g *Group) advance() {
	g.proposeAnnounced()
	if g.attempt == nil {
		g.startAttemptIfNeeded()
	}
	if g.attempt != nil {
		g.advanceAttempt()
		return
	}
	if g.control.Term > 0 && g.control.Attempt == g.control.Term {
		g.requestFollows()
		g.changeMembers()
	}
}

// adoptControl applies a change of the control state.
func (g *Group) adoptControl(c Control) {
	c.Members = slices.Clone(c.Members)
	names := func(members []Member) []ident.Upstream {
		var all []ident.Upstream
		for _, m := range members {
			all = append(all, m.Upstream)
		}
		return all
	}
	if !g.hasControl || g.control.Size != c.Size || !slices.Equal(names(g.control.Members), names(c.Members)) {
		g.membersChanged = g.now
		g.change = memberChange{}
	}
	if !g.hasControl || g.control.Term != c.Term {
		clear(g.reports)
		clear(g.follows)
		g.change = memberChange{}
	}
	g.hasControl, g.control = true, c
	a := g.attempt
	if a == nil {
		return
	}
	if c.Term == a.term && c.Primary == a.target {
		g.handlePromoted(c.Term, c.Primary)
	} else if c.Attempt > a.term {
		g.giveUp("a later term was reserved meanwhile")
	}
}

// handlePromoted ends the attempt once the log holds its primary.
func (g *Group) handlePromoted(term ident.Term, upstream ident.Upstream) {
	a := g.attempt
	if a == nil || a.term != term || a.target != upstream {
		return
	}
	g.attempt = nil
	g.failures = 0
	g.nextAttempt = g.now
	if a.planned && a.preferred != upstream {
		// The target could not take over. Without the pause, writes would be drained again at once.
		g.nextAttempt = g.now.Add(switchoverPause)
	}
	if g.control.Term != term {
		g.control.Term, g.control.Primary = term, upstream
		g.control.Attempt = max(g.control.Attempt, term)
		clear(g.reports)
		clear(g.follows)
		g.change = memberChange{}
	}
}

// memberCount returns the number of members of which a majority is needed.
func (g *Group) memberCount() int {
	return max(g.control.Size, len(g.control.Members))
}

func (g *Group) majority() int {
	return g.memberCount()/2 + 1
}

func (g *Group) member(u ident.Upstream) (Member, bool) {
	i := slices.IndexFunc(g.control.Members, func(m Member) bool { return m.Upstream == u })
	if i < 0 {
		return Member{}, false
	}
	return g.control.Members[i], true
}

// eligible reports whether a member may get new work: it is not leaving and its zone is in service.
func (g *Group) eligible(m Member) bool {
	return !g.leaving(m) && !slices.Contains(g.zonesOut, m.Zone)
}

func (g *Group) leaving(m Member) bool {
	return m.Leaving || g.announcements[m.Upstream].member.Leaving
}

func (g *Group) isAnnounced(u ident.Upstream) bool {
	a, announced := g.announcements[u]
	return announced && g.now < a.until
}

// requestFollows asks the members that do not follow the primary to do so.
func (g *Group) requestFollows() {
	for _, m := range g.control.Members {
		if m.Upstream != g.control.Primary {
			g.requestFollow(m)
		}
	}
}

func (g *Group) requestFollow(m Member) {
	primary, known := g.member(g.control.Primary)
	if !known {
		return
	}
	f := g.follows[m.Upstream]
	if f == nil {
		f = &follow{}
		g.follows[m.Upstream] = f
	} else if g.now.Sub(f.sent) < followRetryInterval {
		return
	}
	state, found := g.latestState(m.Upstream)
	follows := found && state.Following && state.Term == g.control.Term
	if follows || f.accepted && (!found || g.now.Sub(f.acked) < followGrace) {
		return
	}
	f.sent = g.now
	g.emit(Follow{m.Upstream, m.Address, primary.Address, g.control.Term})
}
