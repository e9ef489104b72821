package failover

import (
	"math/rand/v2"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// silence is the time without an answer after which an observer counts the primary as unreachable. A primary that
	// says it is not one is given the same time, because a report may be older than its promotion.
	silence = time.Second
	// viewAge is the time for which a report counts; hosts report every 250 ms.
	viewAge = 1500 * time.Millisecond
	// defaultObservers is the number of availability zones from which a group is observed.
	defaultObservers = 3
	// backoffLeast and backoffMost bound the pause between attempts.
	backoffLeast = 100 * time.Millisecond
	backoffMost  = 2 * time.Second
	// bootstrapGrace is the time that the last members have to announce themselves before the first promotion.
	bootstrapGrace = time.Second
	// switchPause is the pause after a planned switchover that ended with another member than its target.
	switchPause = 5 * time.Second
	// followRetry is the time after which a replica that does not follow is told again.
	followRetry = 500 * time.Millisecond
	// followGrace is the time that a replica has to start its stream.
	followGrace = time.Second
)

// Options say which group is decided on.
type Options struct {
	Service ident.Service
	// Seed varies the pauses between attempts.
	Seed uint64
}

// view is the latest report of one observer on one upstream.
type view struct {
	zone     ident.Zone
	received ident.Time
	silent   time.Duration
	refused  bool
	state    State
	// replicaSince is the time since which the reports say without a break that the upstream is not primary.
	replicaSince ident.Time
}

type announcement struct {
	member Member
	until  ident.Time
}

type follow struct {
	sent, acked ident.Time
	done        bool
}

// Group decides for one database group.
type Group struct {
	service ident.Service
	random  *rand.Rand

	now     ident.Time
	actions []Action

	known   bool
	control Control
	// changed is the time of the last change of the member list that this Group saw.
	changed ident.Time
	out     []ident.Zone
	alive   map[ident.Upstream]announcement
	views   map[ident.Upstream]map[ident.Host]view
	follows map[ident.Upstream]*follow

	attempt *attempt
	// retry is the earliest time of the next attempt, failures the number of attempts that failed in a row.
	retry    ident.Time
	failures int
	// gathered is the time since which a majority is announced in a group without a primary.
	gathered ident.Time
	// floor is the highest term that an upstream reported.
	floor ident.Term
	// cause is why the latest attempt was made.
	cause  string
	change memberChange
}

// New returns a group that waits for its first Control event.
func New(options Options) *Group {
	return &Group{
		service: options.Service,
		random:  rand.New(rand.NewPCG(options.Seed, uint64(len(options.Service)))),
		alive:   map[ident.Upstream]announcement{},
		views:   map[ident.Upstream]map[ident.Host]view{},
		follows: map[ident.Upstream]*follow{},
	}
}

// Step handles an event and returns the actions to carry out, in order.
func (g *Group) Step(now ident.Time, event Event) []Action {
	g.now, g.actions = now, nil
	switch e := event.(type) {
	case Control:
		g.adopt(e)
	case Observed:
		g.observe(e)
	case Announced:
		g.alive[e.Member.Upstream] = announcement{e.Member, now.Add(e.Lease)}
	case Zones:
		g.out = slices.Clone(e.Out)
	case AttemptCommitted:
		g.reserved(e.Term)
	case PromotionCommitted:
		g.promoted(e.Term, e.Upstream)
	case Answer:
		g.answer(e)
	case Tick:
	}
	if g.known {
		g.advance()
	}
	return g.actions
}

func (g *Group) act(a Action) {
	g.actions = append(g.actions, a)
}

func (g *Group) advance() {
	g.announcedMembers()
	if g.attempt == nil {
		g.consider()
	}
	if g.attempt != nil {
		g.advanceAttempt()
		return
	}
	if g.control.Term > 0 && g.control.Attempt == g.control.Term {
		g.keepFollowing()
		g.changeMembers()
	}
}

// adopt takes over a change of the control state.
func (g *Group) adopt(c Control) {
	c.Members = slices.Clone(c.Members)
	names := func(members []Member) []ident.Upstream {
		var all []ident.Upstream
		for _, m := range members {
			all = append(all, m.Upstream)
		}
		return all
	}
	if !g.known || g.control.Size != c.Size || !slices.Equal(names(g.control.Members), names(c.Members)) {
		g.changed = g.now
		g.change = memberChange{}
	}
	if !g.known || g.control.Term != c.Term {
		clear(g.views)
		clear(g.follows)
		g.change = memberChange{}
	}
	g.known, g.control = true, c
	a := g.attempt
	if a == nil {
		return
	}
	if c.Term == a.term && c.Primary == a.target {
		g.promoted(c.Term, c.Primary)
	} else if c.Attempt > a.term {
		g.giveUp("a later term was reserved meanwhile")
	}
}

// promoted ends an attempt whose primary is in the log.
func (g *Group) promoted(term ident.Term, upstream ident.Upstream) {
	a := g.attempt
	if a == nil || a.term != term || a.target != upstream {
		return
	}
	g.attempt = nil
	g.failures = 0
	g.retry = g.now
	if a.planned && a.wanted != upstream {
		// The target could not take over; writes must not be drained again and again.
		g.retry = g.now.Add(switchPause)
	}
	if g.control.Term != term {
		g.control.Term, g.control.Primary = term, upstream
		g.control.Attempt = max(g.control.Attempt, term)
		clear(g.views)
		clear(g.follows)
		g.change = memberChange{}
	}
}

// count is the number against which majorities are counted.
func (g *Group) count() int {
	return max(g.control.Size, len(g.control.Members))
}

func (g *Group) majority() int {
	return g.count()/2 + 1
}

func (g *Group) member(u ident.Upstream) (Member, bool) {
	i := slices.IndexFunc(g.control.Members, func(m Member) bool { return m.Upstream == u })
	if i < 0 {
		return Member{}, false
	}
	return g.control.Members[i], true
}

// serving reports whether a member may be the target of new work.
func (g *Group) serving(m Member) bool {
	return !g.leaving(m) && !slices.Contains(g.out, m.Zone)
}

func (g *Group) leaving(m Member) bool {
	return m.Leaving || g.alive[m.Upstream].member.Leaving
}

func (g *Group) isAlive(u ident.Upstream) bool {
	a, announced := g.alive[u]
	return announced && g.now < a.until
}

// keepFollowing tells members that do not follow the primary to do so.
func (g *Group) keepFollowing() {
	for _, m := range g.control.Members {
		if m.Upstream != g.control.Primary {
			g.tellFollow(m)
		}
	}
}

func (g *Group) tellFollow(m Member) {
	primary, known := g.member(g.control.Primary)
	if !known {
		return
	}
	f := g.follows[m.Upstream]
	if f == nil {
		f = &follow{}
		g.follows[m.Upstream] = f
	} else if g.now.Sub(f.sent) < followRetry {
		return
	}
	state, seen := g.latest(m.Upstream)
	follows := seen && state.Following && state.Term == g.control.Term
	if follows || f.done && (!seen || g.now.Sub(f.acked) < followGrace) {
		return
	}
	f.sent = g.now
	g.act(Follow{m.Upstream, m.Address, primary.Address, g.control.Term})
}
