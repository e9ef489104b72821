package connections

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// maxRun is the number of statements of a team that a connection serves in a row while others wait.
	maxRun = 8
	// joinTime is how long a statement waits for a running connection of its team before another one is opened. It is some two
	// statements long; opening a connection takes about one.
	joinTime = 30 * time.Millisecond
	// maxJoining is the number of statements that wait for each running connection of their team.
	maxJoining = 2
	// handshakeTime is how long a handshake counts as one that takes a slot. One that takes longer waits for a lost packet.
	handshakeTime = 100 * time.Millisecond
	// urgentDivisor is the part of the account that less urgent statements leave to the most urgent route.
	urgentDivisor = 4
	// holdBackTime is how long a less urgent statement waits while that part is all that is left.
	holdBackTime = 100 * time.Millisecond
)

// ConnID identifies a connection of an allocator, from the decision to open it.
type ConnID uint64

// WaiterID identifies a waiting statement of an allocator.
type WaiterID uint64

// Action is a decision of an allocator. It is one of HandOver, Open, Close and Refuse.
type Action interface{ action() }

// HandOver gives an open connection of its team to a waiter.
type HandOver struct {
	Waiter WaiterID
	Conn   ConnID
}

// Open has a waiter open a connection for itself.
type Open struct {
	Waiter WaiterID
	Conn   ConnID
}

// Close closes a connection. It comes before the Open that takes its place.
type Close struct{ Conn ConnID }

// Refuse ends the wait of a statement that is not urgent enough, or of one on a host that may hold no connections.
type Refuse struct {
	Waiter WaiterID
	// NotHolder is set if the host may hold none.
	NotHolder bool
}

func (*HandOver) action() {}
func (*Open) action()     {}
func (*Close) action()    {}
func (*Refuse) action()   {}

type connState int

const (
	connOpening connState = iota
	connRunning
	// connIdleInTransaction is the state of a connection held by a transaction without a running statement.
	connIdleInTransaction
	connIdle
)

type conn struct {
	id       ConnID
	team     ident.Team
	priority int
	state    connState
	// since is when it became idle, or was given to its holder.
	since ident.Time
	// run counts the statements in a row that got it from one another.
	run int
}

type waiter struct {
	id       WaiterID
	team     ident.Team
	priority int
	since    ident.Time
}

// Allocator divides a host's connections to one upstream among waiting statements. While there are at least as many connections as
// teams it opens them as needed and closes the least recently used one; otherwise it weighs teams by demand and urgency.
type Allocator struct {
	// account is the number of connections that the host may have.
	account      Account
	teams, slots int
	conns        map[ConnID]*conn
	// idle is ordered by the time of last use, waiting by priority and then by arrival.
	idle       []*conn
	waiting    []*waiter
	opening    int
	lastConn   ConnID
	lastWaiter WaiterID
	demand     demand
	// wake is the time of the next decision that no event causes, or 0.
	wake ident.Time
}

// NewAllocator returns an allocator without connections.
func NewAllocator() *Allocator {
	return &Allocator{conns: map[ConnID]*conn{}, demand: newDemand()}
}

// Resize sets the number of connections that the host may have in its role. If slowly is set, a larger account grows by degrees.
func (a *Allocator) Resize(now ident.Time, size int, slowly bool) {
	a.account.Resize(now, size, slowly)
}

// Limit returns the number of connections that the host may have now.
func (a *Allocator) Limit(now ident.Time) int { return a.account.Limit(now) }

// SetTeams sets the number of teams that have to share the upstream's connections; 0 if there are enough.
func (a *Allocator) SetTeams(teams int) { a.teams = teams }

// SetSlots sets the number of statements and handshakes that the upstream runs at a time; 0 if it is unknown.
func (a *Allocator) SetSlots(slots int) { a.slots = slots }

// Waiting returns the number of waiting statements.
func (a *Allocator) Waiting() int { return len(a.waiting) }

// Total returns the number of connections that are open or being opened.
func (a *Allocator) Total() int { return len(a.conns) }

// Wake returns the time at which Tick is next needed although nothing happens, or 0.
func (a *Allocator) Wake() ident.Time { return a.wake }

// crowded reports whether teams have to share connections.
func (a *Allocator) crowded(now ident.Time) bool {
	return a.teams > a.account.Limit(now)
}

// Request adds a statement that needs a connection of its team.
func (a *Allocator) Request(now ident.Time, team ident.Team, priority int) (WaiterID, []Action) {
	a.demand.use(now, team, priority)
	return a.request(now, &waiter{team: team, priority: priority, since: now})
}

func (a *Allocator) request(now ident.Time, w *waiter) (WaiterID, []Action) {
	a.lastWaiter++
	w.id = a.lastWaiter
	at, _ := slices.BinarySearchFunc(a.waiting, w, func(x, y *waiter) int {
		if x.priority != y.priority {
			return x.priority - y.priority
		}
		if x.since <= y.since {
			return -1
		}
		return 1
	})
	a.waiting = slices.Insert(a.waiting, at, w)
	return w.id, a.decide(now)
}

// Cancel removes a waiting statement and reports whether it was still waiting.
func (a *Allocator) Cancel(id WaiterID) bool {
	i := slices.IndexFunc(a.waiting, func(w *waiter) bool { return w.id == id })
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return true
}

// Opened records that a connection was opened; the statement that opened it holds it.
func (a *Allocator) Opened(now ident.Time, id ConnID) []Action {
	c := a.conns[id]
	c.state, c.since = connRunning, now
	a.opening--
	a.account.Opened(now)
	return a.decide(now)
}

// OpenFailed records that a connection could not be opened. If the upstream refused it as over its cap, the account shrinks and the
// statement waits again, under the new id.
func (a *Allocator) OpenFailed(now ident.Time, id ConnID, waited ident.Time, atCap bool) (WaiterID, []Action) {
	c := a.conns[id]
	delete(a.conns, id)
	a.opening--
	if !atCap {
		return 0, a.decide(now)
	}
	a.account.Refused(now, len(a.conns)-a.opening)
	return a.request(now, &waiter{team: c.team, priority: c.priority, since: waited})
}

// SetIdleInTransaction records whether the transaction that holds a connection runs no statement.
func (a *Allocator) SetIdleInTransaction(id ConnID, idle bool) {
	c := a.conns[id]
	switch {
	case c == nil || c.state == connIdle || c.state == connOpening:
	case idle:
		c.state = connIdleInTransaction
	default:
		c.state = connRunning
	}
}

// Release takes a connection back. A connection that is not reusable is closed by the caller in any case.
func (a *Allocator) Release(now ident.Time, id ConnID, reusable bool) []Action {
	c := a.conns[id]
	a.demand.hold(now, c.team, now.Sub(c.since))
	if !reusable || len(a.conns) > a.account.Limit(now) {
		delete(a.conns, id)
		actions := a.decide(now)
		if reusable {
			actions = slices.Insert(actions, 0, Action(&Close{id}))
		}
		return actions
	}
	// A connection that is released is not one that less urgent statements hold.
	c.state, c.since = connIdle, now
	if w := a.waiterFor(now, c); w != nil {
		c.run++
		return append(a.give(now, w, c), a.decide(now)...)
	}
	a.idle = append(a.idle, c)
	return a.decide(now)
}

// waiterFor returns the waiting statement that a released connection of its team is handed over to, or nil.
func (a *Allocator) waiterFor(now ident.Time, c *conn) *waiter {
	i := slices.IndexFunc(a.waiting, func(w *waiter) bool { return w.team == c.team })
	if i < 0 {
		return nil
	}
	r, w, first := a.newSnapshot(now), a.waiting[i], a.waiting[0]
	switch {
	case r.heldBack(w):
		return nil
	case w == first:
		return w
	case r.crowded && c.run >= maxRun:
		return nil
	case w.priority == first.priority:
		return w
	case r.crowded && (len(a.idle) > 0 || len(a.conns) < r.limit):
		// The more urgent statements wait for something else than this connection.
		return w
	}
	return nil
}

// give hands a connection over to a waiter.
func (a *Allocator) give(now ident.Time, w *waiter, c *conn) []Action {
	a.Cancel(w.id)
	c.state, c.since, c.priority = connRunning, now, w.priority
	return []Action{&HandOver{w.id, c.id}}
}

// Lost records that a connection was found closed when it was handed over. The statement waits again, under the new id.
func (a *Allocator) Lost(now ident.Time, id ConnID, waited ident.Time) (WaiterID, []Action) {
	c := a.conns[id]
	delete(a.conns, id)
	return a.request(now, &waiter{team: c.team, priority: c.priority, since: waited})
}

// Tick makes the decisions that are due, and closes idle connections unused for a time.
func (a *Allocator) Tick(now ident.Time, maxIdle time.Duration) []Action {
	var actions []Action
	for len(a.idle) > 0 && now.Sub(a.idle[0].since) >= maxIdle {
		actions = append(actions, a.closeIdle(0))
	}
	return append(actions, a.decide(now)...)
}

// Clear closes idle connections and forgets all waiters.
func (a *Allocator) Clear() []Action {
	var actions []Action
	for len(a.idle) > 0 {
		actions = append(actions, a.closeIdle(0))
	}
	a.waiting, a.wake = nil, 0
	return actions
}

func (a *Allocator) closeIdle(i int) Action {
	c := a.idle[i]
	a.idle = slices.Delete(a.idle, i, i+1)
	delete(a.conns, c.id)
	return &Close{c.id}
}

// snapshot is the state of an allocator on which the decisions of one moment rest.
type snapshot struct {
	now     ident.Time
	limit   int
	crowded bool
	// urgent is the priority of the most urgent route, and held the number of connections that less urgent statements hold.
	urgent, held int
	// running counts the connections of each team that run a statement or are being opened.
	running map[ident.Team]int
	// handshakes counts those that take a slot, and handshakeEnd is when the first of them no longer does.
	handshakes   int
	handshakeEnd ident.Time
}

func (a *Allocator) newSnapshot(now ident.Time) *snapshot {
	r := &snapshot{now: now, limit: a.account.Limit(now)}
	if r.crowded = a.crowded(now); !r.crowded {
		return r
	}
	r.urgent, r.running = a.demand.urgent(now), map[ident.Team]int{}
	for _, c := range a.conns {
		if c.state != connIdle && c.priority > r.urgent {
			r.held++
		}
		if c.state == connRunning || c.state == connOpening {
			r.running[c.team]++
		}
		if until := c.since.Add(handshakeTime); c.state == connOpening && now < until {
			if r.handshakes == 0 || until < r.handshakeEnd {
				r.handshakeEnd = until
			}
			r.handshakes++
		}
	}
	return r
}

// heldBack reports whether a statement has to leave what is left of the account to the most urgent route.
func (r *snapshot) heldBack(w *waiter) bool {
	return r.crowded && w.priority > r.urgent && r.held >= r.limit-r.limit/urgentDivisor
}

// joins reports whether a statement should wait for a running connection of its team; ahead counts the waiters of its team before it.
func (r *snapshot) joins(w *waiter, ahead int) bool {
	return r.now < w.since.Add(joinTime) && ahead < r.running[w.team]*maxJoining
}

// decide serves what can be served, in the order of the waiters.
func (a *Allocator) decide(now ident.Time) []Action {
	var actions []Action
	a.wake = 0
	for len(a.conns) > a.account.Limit(now) && len(a.idle) > 0 {
		actions = append(actions, a.closeIdle(a.victim(now)))
	}
	if len(a.waiting) == 0 {
		return actions
	}
	r, ahead := a.newSnapshot(now), map[ident.Team]int{}
	for _, w := range slices.Clone(a.waiting) {
		served := a.serve(r, w, ahead[w.team])
		if served == nil {
			ahead[w.team]++
			continue
		}
		actions = append(actions, served...)
		r = a.newSnapshot(now)
	}
	return actions
}

// serve returns the actions that end the wait of a statement, or nil; ahead counts the waiters of its team before it.
func (a *Allocator) serve(r *snapshot, w *waiter, ahead int) []Action {
	if r.limit == 0 && w.priority >= 0 {
		a.Cancel(w.id)
		return []Action{&Refuse{w.id, true}}
	}
	if r.heldBack(w) {
		return a.holdBack(r.now, w)
	}
	for i := len(a.idle) - 1; i >= 0; i-- {
		if c := a.idle[i]; c.team == w.team {
			a.idle = slices.Delete(a.idle, i, i+1)
			c.run = 0
			return a.give(r.now, w, c)
		}
	}
	if after := a.account.OpenAfter(); r.now < after {
		a.wakeAt(after)
		return nil
	}
	// The core's requests go ahead of all statements.
	if r.crowded && w.priority >= 0 {
		if r.handshakes >= a.maxHandshakes() {
			a.wakeAt(r.handshakeEnd)
			return nil
		}
		if r.joins(w, ahead) {
			a.wakeAt(w.since.Add(joinTime))
			return nil
		}
	}
	return a.open(r, w)
}

// holdBack refuses a statement that has waited for holdBackTime.
func (a *Allocator) holdBack(now ident.Time, w *waiter) []Action {
	if until := w.since.Add(holdBackTime); now < until {
		a.wakeAt(until)
		return nil
	}
	a.Cancel(w.id)
	return []Action{&Refuse{w.id, false}}
}

// open has a statement open a connection, in the place of an idle one if the account is full. It returns nil if there is none.
func (a *Allocator) open(r *snapshot, w *waiter) []Action {
	limit := r.limit
	if w.priority < 0 {
		// The core's requests are served by every host that it asks.
		limit = max(1, limit)
	}
	var actions []Action
	if len(a.conns) >= limit {
		if len(a.idle) == 0 || len(a.conns) > limit {
			if grows := a.account.GrowsAt(r.now); grows != 0 {
				a.wakeAt(grows)
			}
			return nil
		}
		actions = append(actions, a.closeIdle(a.victim(r.now)))
	}
	a.Cancel(w.id)
	a.lastConn++
	a.opening++
	a.conns[a.lastConn] = &conn{id: a.lastConn, team: w.team, priority: w.priority, since: r.now}
	return append(actions, &Open{w.id, a.lastConn})
}

// maxHandshakes returns how many handshakes may run at a time, so that half of the upstream's slots are left to statements.
func (a *Allocator) maxHandshakes() int {
	return max(1, a.slots/2)
}

// victim returns the index of the idle connection to close first: the least recently used one, or the one of the least value while
// teams share connections. The caller makes sure that there is one.
func (a *Allocator) victim(now ident.Time) int {
	if !a.crowded(now) {
		return 0
	}
	counts := map[ident.Team]int{}
	for _, c := range a.conns {
		counts[c.team]++
	}
	best, least := 0, 0.0
	for i, c := range a.idle {
		if value := a.demand.value(now, c.team, counts[c.team]); i == 0 || value < least {
			best, least = i, value
		}
	}
	return best
}

// wakeAt makes sure that Wake is not later than a time.
func (a *Allocator) wakeAt(at ident.Time) {
	if a.wake == 0 || at < a.wake {
		a.wake = at
	}
}
