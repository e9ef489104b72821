package admission

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/decay"
	"tamarackshunt.dev/fleet/ident"
)

// Default bounds, in waiting statements.
const (
	DefaultTotal   = 1024
	DefaultPerTeam = 256
)

// minDue is the shortest time until Decide is called without another event.
const minDue = 5 * time.Millisecond

const (
	// connectTime is the time in which a free connection is taken, or opened. A reservation that takes longer waits for one that is held.
	connectTime = 60 * time.Millisecond
	// reservedPerSlot bounds the reservations of a priority, those included that wait for long.
	reservedPerSlot = 2
)

// forgetInterval is the interval between sweeps of idle teams.
const forgetInterval = 10 * time.Second

// Options configure a Scheduler.
type Options struct {
	// Limit is the number of statements that the upstream gets at a time.
	Limit int
	// Total bounds the waiting statements, and PerTeam those of a team and priority; 0 means the default.
	Total, PerTeam int
}

// ID identifies a statement from its arrival to its end.
type ID uint64

// Request describes a statement.
type Request struct {
	Team ident.Team
	// Priority orders waiting statements; 0 goes first.
	Priority int
	// Deadline is when the statement should have ended.
	Deadline ident.Time
	// Late is set if the objective has passed: the statement goes after those of its team that can still be in time.
	Late bool
	// Holding is set for a statement of an open transaction, which holds a connection that others wait for.
	Holding bool
}

// Decision grants a statement what it asked for last, or refuses it.
type Decision struct {
	ID ID
	// Refused is nil for a grant. A refused statement has ended.
	Refused *Refused
}

// state is how far a statement has come.
type state int

const (
	// stateWaiting means waiting for a reservation.
	stateWaiting state = iota
	// stateReserved means that a slot is reserved while the statement takes a connection.
	stateReserved
	// stateReady means waiting for a slot with a connection.
	stateReady
	// stateRunning means running in a slot.
	stateRunning
)

// item is a statement between its arrival and its end.
type item struct {
	Request
	id    ID
	state state
	since ident.Time
	// grantedAt is when it got its reservation, or its slot if it had no reservation.
	grantedAt ident.Time
}

// Scheduler decides about the statements to one upstream. It isn't safe for concurrent use.
type Scheduler struct {
	limit   int
	total   int
	perTeam int
	lastID  ID
	items   map[ID]*item
	running int
	waiting int
	// levels is ordered by priority.
	levels []*level
	// ready holds the statements that hold a connection and wait for a slot. Those of open transactions come first.
	ready []*item
	// held measures the statements of open transactions.
	held       decay.Sum
	warmup     warmup
	holdTime   time.Duration
	measuredAt ident.Time
	// progressAt is when a statement last ended, or when the first one of those that run got its slot.
	progressAt ident.Time
	forgotAt   ident.Time
	decisions  []Decision
}

// New returns a scheduler without statements.
func New(options Options) *Scheduler {
	s := &Scheduler{limit: options.Limit, total: options.Total, perTeam: options.PerTeam, items: map[ID]*item{}}
	if s.total == 0 {
		s.total = DefaultTotal
	}
	if s.perTeam == 0 {
		s.perTeam = DefaultPerTeam
	}
	return s
}

// SetLimit changes the number of statements that the upstream gets at a time.
func (s *Scheduler) SetLimit(now ident.Time, limit int) []Decision {
	s.limit = limit
	return s.decide(now)
}

// SetWarmup limits the statements per second until a time; a rate of 0 refuses all.
func (s *Scheduler) SetWarmup(now, end ident.Time, rate float64) []Decision {
	s.warmup.set(now, end, rate)
	return s.decide(now)
}

// Waiting returns the number of statements that wait for a reservation or a slot.
func (s *Scheduler) Waiting() int {
	return s.waiting + len(s.ready)
}

// Reserved returns the number of statements that have a reservation and take a connection.
func (s *Scheduler) Reserved() int {
	reserved := 0
	for _, l := range s.levels {
		reserved += len(l.reserved)
	}
	return reserved
}

// Running returns the number of statements that have a slot.
func (s *Scheduler) Running() int {
	return s.running
}

// Limit returns the number of statements that the upstream gets at a time.
func (s *Scheduler) Limit() int {
	return s.limit
}

// WarmupRate returns the statements per second to which a warm-up limits the upstream, or 0 unless it warms up.
func (s *Scheduler) WarmupRate(now ident.Time) float64 {
	if now < s.warmup.end {
		return s.warmup.rate
	}
	return 0
}

// Arrive adds a statement. A statement that holds a connection gets a slot, any other one a reservation, now or by a later decision;
// or it is refused. The decisions may concern other statements as well.
func (s *Scheduler) Arrive(now ident.Time, request Request) (ID, []Decision) {
	s.lastID++
	it := &item{Request: request, id: s.lastID, since: now}
	s.items[it.id] = it
	if request.Holding {
		s.held.Add(now, rateWindow, 1)
		s.join(now, it)
		return it.id, s.decide(now)
	}
	s.expire(now)
	l := s.level(request.Priority)
	ahead := s.aheadOf(now, l, it)
	switch {
	case s.warmup.closed(now):
		s.refuse(now, it, ReasonWarmup, ahead)
	case ahead == 0 && s.hasRoom(now, l):
		s.reserve(now, it, l)
	case s.stalled(now):
		s.refuse(now, it, ReasonStalled, ahead)
	case s.misses(now, request.Priority, ahead, request.Deadline):
		s.refuse(now, it, ReasonHopeless, ahead)
	default:
		s.push(now, it, l, ahead)
	}
	return it.id, s.decide(now)
}

// Start gives a statement with a reservation a slot, now or by a later decision, once it has its connection.
func (s *Scheduler) Start(now ident.Time, id ID) []Decision {
	it := s.items[id]
	s.level(it.Priority).unreserve(it)
	s.join(now, it)
	return s.decide(now)
}

// Finish ends a statement that had a slot.
func (s *Scheduler) Finish(now ident.Time, id ID) []Decision {
	s.recordHold(now, now.Sub(s.items[id].grantedAt))
	s.progressAt = now
	return s.Cancel(now, id)
}

// Cancel ends a statement that did not run, or whose outcome says nothing about the upstream's rate. It does nothing if the statement has
// ended.
func (s *Scheduler) Cancel(now ident.Time, id ID) []Decision {
	if it := s.items[id]; it != nil {
		s.drop(it)
	}
	return s.decide(now)
}

// Expire refuses a statement that still waits although its time has ended. It does nothing if the statement has been granted or has
// ended.
func (s *Scheduler) Expire(now ident.Time, id ID) []Decision {
	if it := s.items[id]; it != nil && (it.state == stateWaiting || it.state == stateReady) {
		s.refuse(now, it, ReasonDeadline, s.aheadOf(now, s.level(it.Priority), it))
	}
	return s.decide(now)
}

// Abandon refuses a statement that has a reservation but got no connection.
func (s *Scheduler) Abandon(now ident.Time, id ID) []Decision {
	if it := s.items[id]; it != nil && it.state == stateReserved {
		s.refuse(now, it, ReasonConnection, s.aheadOf(now, s.level(it.Priority), it))
	}
	return s.decide(now)
}

// push queues a statement. If too many wait, one of the least urgent gives way, or the statement is refused.
func (s *Scheduler) push(now ident.Time, it *item, l *level, ahead int) {
	if t := l.teams[it.Team]; t != nil && len(t.items) >= s.perTeam {
		s.refuse(now, it, ReasonTeamFull, ahead)
		return
	}
	if s.waiting >= s.total {
		loser := s.displaceable(l, it.Team)
		if loser == nil {
			s.refuse(now, it, ReasonFull, ahead)
			return
		}
		s.refuse(now, loser, ReasonDisplaced, s.waiting)
	}
	l.insert(it)
	s.waiting++
}

// displaceable returns the statement that gives way to a new one of a team, or nil: the last one of the team with the most waiting
// statements of the least urgent priority. Within one priority, only a team that would still have as many gives way.
func (s *Scheduler) displaceable(l *level, name ident.Team) *item {
	for _, other := range slices.Backward(s.levels) {
		if other.waiting == 0 || other.priority < l.priority {
			continue
		}
		longest := other.longest()
		if other == l && len(longest.items) <= len(l.team(name).items)+1 {
			return nil
		}
		return longest.items[len(longest.items)-1]
	}
	return nil
}

// refuseHopeless refuses waiting statements that can't end by their deadlines any more, because more urgent ones came or the upstream
// has become slower. The last one of the team with the most goes first.
func (s *Scheduler) refuseHopeless(now ident.Time) {
	for _, l := range slices.Backward(s.levels) {
		for l.waiting > 0 {
			longest := l.longest()
			last := longest.items[len(longest.items)-1]
			ahead := s.aheadOfLevel(l) + l.waiting - 1
			if !s.misses(now, l.priority, ahead, last.Deadline) {
				break
			}
			s.refuse(now, last, ReasonHopeless, ahead)
		}
	}
}

// expire refuses the waiting statements that could not end by their deadlines if they were next.
func (s *Scheduler) expire(now ident.Time) {
	if s.waiting == 0 {
		return
	}
	latest := now.Add(s.hold(now))
	for _, l := range s.levels {
		for _, t := range l.order {
			for len(t.items) > 0 && t.items[0].Deadline < latest {
				s.refuse(now, t.items[0], ReasonDeadline, s.aheadOf(now, l, t.items[0]))
			}
		}
	}
}

// refuseStalled refuses all waiting statements if the upstream has stalled, so that they can run elsewhere.
func (s *Scheduler) refuseStalled(now ident.Time) {
	if !s.stalled(now) {
		return
	}
	for _, l := range s.levels {
		for _, t := range l.order {
			for len(t.items) > 0 {
				s.refuse(now, t.items[0], ReasonStalled, s.running)
			}
		}
	}
}

// join queues a statement that has a connection for a slot, those of open transactions first. It refuses the statement if the warm-up admits
// none.
func (s *Scheduler) join(now ident.Time, it *item) {
	it.state = stateReady
	if s.warmup.closed(now) {
		s.refuse(now, it, ReasonWarmup, 0)
		return
	}
	at := len(s.ready)
	if it.Holding {
		for at > 0 && !s.ready[at-1].Holding {
			at--
		}
	}
	s.ready = slices.Insert(s.ready, at, it)
}

// decide grants what there is room for and returns all decisions since the last call.
func (s *Scheduler) decide(now ident.Time) []Decision {
	for s.running < s.limit && len(s.ready) > 0 && s.warmup.take(now) {
		it := s.ready[0]
		s.ready = slices.Delete(s.ready, 0, 1)
		if s.running == 0 {
			s.progressAt = now
		}
		s.running++
		it.state = stateRunning
		if it.Holding {
			it.grantedAt = now
		}
		s.decisions = append(s.decisions, Decision{ID: it.id})
	}
	s.expire(now)
	for _, l := range s.levels {
		for l.waiting > 0 && s.hasRoom(now, l) {
			it := l.next(now)
			l.remove(it)
			s.waiting--
			s.reserve(now, it, l)
		}
	}
	if s.waiting > 0 {
		s.refuseStalled(now)
		s.refuseHopeless(now)
	}
	s.forget(now)
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

// hasRoom reports whether a slot is left for a reservation of a priority. Reservations of less urgent statements don't count, nor do
// those that have waited for a connection for long: other teams may have a free one. Their number is bounded.
func (s *Scheduler) hasRoom(now ident.Time, l *level) bool {
	taken := s.running + len(s.ready)
	for _, other := range s.levels {
		if other.priority <= l.priority {
			taken += other.connecting(now.Add(-connectTime))
		}
	}
	return taken < s.limit && len(l.reserved) < reservedPerSlot*s.limit && s.warmup.covers(now, taken-s.running+1)
}

// Due returns the time after which Decide may grant something without another event, if there is one: a reservation then no longer
// counts, or the warm-up rate admits the next statement.
func (s *Scheduler) Due(now ident.Time) (time.Duration, bool) {
	if s.Waiting() == 0 || s.running >= s.limit {
		return 0, false
	}
	due, found := s.connectDue(now)
	if now < s.warmup.end {
		due, found = max(due, s.warmup.wait(now)), true
	}
	return max(due, minDue), found
}

// connectDue returns the time until the first reservation no longer counts.
func (s *Scheduler) connectDue(now ident.Time) (due time.Duration, found bool) {
	for _, l := range s.levels {
		count := l.connecting(now.Add(-connectTime))
		if count == 0 || len(l.reserved) >= reservedPerSlot*s.limit {
			continue
		}
		left := l.reserved[len(l.reserved)-count].grantedAt.Add(connectTime).Sub(now)
		if !found || left < due {
			due, found = left, true
		}
	}
	return due, found
}

// Decide grants what there is room for.
func (s *Scheduler) Decide(now ident.Time) []Decision {
	return s.decide(now)
}

func (s *Scheduler) reserve(now ident.Time, it *item, l *level) {
	it.state, it.grantedAt = stateReserved, now
	l.reserved = append(l.reserved, it)
	l.recordGrant(now, it.Team)
	s.decisions = append(s.decisions, Decision{ID: it.id})
}

// refuse ends a statement that has not run.
func (s *Scheduler) refuse(now ident.Time, it *item, reason Reason, ahead int) {
	l := s.level(it.Priority)
	s.drop(it)
	refused := &Refused{Reason: reason, Waited: now.Sub(it.since), Ahead: ahead}
	if reason != ReasonWarmup && reason != ReasonStalled {
		refused.Retry = s.returnTime(now, l, it, ahead)
	}
	s.decisions = append(s.decisions, Decision{ID: it.id, Refused: refused})
}

// drop ends a statement in any state.
func (s *Scheduler) drop(it *item) {
	delete(s.items, it.id)
	l := s.level(it.Priority)
	switch it.state {
	case stateWaiting:
		if t := l.teams[it.Team]; t != nil && slices.Contains(t.items, it) {
			l.remove(it)
			s.waiting--
		}
	case stateReserved:
		l.unreserve(it)
	case stateReady:
		s.ready = slices.DeleteFunc(s.ready, func(x *item) bool { return x == it })
	case stateRunning:
		s.running--
	}
}

// level returns the statements of a priority.
func (s *Scheduler) level(priority int) *level {
	at, found := slices.BinarySearchFunc(s.levels, priority, func(l *level, priority int) int { return l.priority - priority })
	if !found {
		s.levels = slices.Insert(s.levels, at, &level{priority: priority, teams: map[ident.Team]*team{}})
	}
	return s.levels[at]
}

// forget drops idle teams from time to time.
func (s *Scheduler) forget(now ident.Time) {
	if now.Sub(s.forgotAt) < forgetInterval {
		return
	}
	s.forgotAt = now
	for _, l := range s.levels {
		for _, t := range l.order {
			t.decay(now)
		}
		l.forget()
	}
}
