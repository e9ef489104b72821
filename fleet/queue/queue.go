package queue

import (
	"container/heap"
	"container/list"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Default bounds, in queued statements.
const (
	DefaultTotal   = 4096
	DefaultPerTeam = 1024
)

// serviceWeightDivisor is the inverse weight of one measurement in the mean service time. With 16, the mean follows a
// change of load within a few dozen statements, and a single slow statement has little effect.
const serviceWeightDivisor = 16

// serviceHalfLife is the time in which the service time is halved without a new measurement. Otherwise the
// measurements of a stalled upstream would cause all later work to be dropped, and there would be no new measurement.
const serviceHalfLife = 500 * time.Millisecond

// Options configure a queue.
type Options struct {
	// Total bounds the work of all teams, and PerTeam that of each team; 0 means the default.
	Total   int
	PerTeam int
}

// ID identifies queued work.
type ID uint64

// Work is a statement that waits for a connection.
type Work struct {
	ID       ID
	Team     ident.Team
	Since    ident.Time
	Deadline ident.Time
}

// Cause is the reason why work left the queue without a connection, or was not queued.
type Cause int

// Causes of a drop.
const (
	// CauseFull means that the queue is at its total bound, of which the team already has its share.
	CauseFull Cause = iota
	// CauseTeamFull means that the team is at its own bound.
	CauseTeamFull
	// CauseDisplaced means that the work was dropped to make room for another team: it was the newest work of the
	// team with the most work for its weight.
	CauseDisplaced
	// CauseDeadline means that the work could not finish by its deadline, given the measured service time.
	CauseDeadline
)

//go:generate enumer -type=Cause -trimprefix=Cause -transform=snake

// Dropped is the error of work that was dropped and not run.
type Dropped struct {
	Work  Work
	Cause Cause
	// Waited is the time in the queue, and Queued the amount of work in the queue.
	Waited time.Duration
	Queued int
	// Service is the measured service time.
	Service time.Duration
}

// Error names the team and the cause.
func (d *Dropped) Error() string {
	return fmt.Sprintf("work of team %s left the queue after %v: %s (%d queued, service time %v)",
		d.Work.Team, d.Waited, d.Cause, d.Queued, d.Service)
}

// Queue is the queue of one upstream on one host. Its methods are safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	total   int
	perTeam int
	lastID  ID
	items   map[ID]*item
	teams   map[ident.Team]*teamQueue
	// active holds the teams with work in the order of their turns.
	active     list.List
	byDeadline deadlineHeap
	// serviceTime is the mean time from sending a statement to its response, as of measuredAt.
	serviceTime time.Duration
	measuredAt  ident.Time
}

type item struct {
	work Work
	// index is the position in the heap by deadline.
	index int
}

// teamQueue is the work of one team in order.
type teamQueue struct {
	team   ident.Team
	weight int
	// deficit is the number of turns that the team has left in the current round, as in deficit round robin.
	deficit int
	items   []*item
	// element is the position in the list of active teams, valid only while the team has work.
	element *list.Element
}

// New returns an empty queue.
func New(opts Options) *Queue {
	q := &Queue{total: opts.Total, perTeam: opts.PerTeam, items: map[ID]*item{}, teams: map[ident.Team]*teamQueue{}}
	if q.total == 0 {
		q.total = DefaultTotal
	}
	if q.perTeam == 0 {
		q.perTeam = DefaultPerTeam
	}
	return q
}

// SetWeights replaces the weights of teams; a team without an entry has weight 1.
func (q *Queue) SetWeights(weights map[ident.Team]uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for team, tq := range q.teams {
		tq.weight = max(1, int(weights[team]))
	}
	for team, weight := range weights {
		q.teamQueue(team).weight = max(1, int(weight))
	}
}

func (q *Queue) teamQueue(team ident.Team) *teamQueue {
	tq, found := q.teams[team]
	if !found {
		tq = &teamQueue{team: team, weight: 1}
		q.teams[team] = tq
	}
	return tq
}

// Push adds work, or returns a *Dropped error when it does not queue it. The list contains the other work that it dropped:
// work that cannot meet its deadline any more, and work that was displaced.
func (q *Queue) Push(now ident.Time, team ident.Team, deadline ident.Time) (ID, []*Dropped, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	work := Work{ID: q.lastID, Team: team, Since: now, Deadline: deadline}
	tq := q.teamQueue(team)
	dropped := q.expire(now)
	switch {
	case q.missesDeadline(now, work):
		return 0, dropped, q.dropped(now, work, CauseDeadline)
	case len(tq.items) >= q.perTeam:
		return 0, dropped, q.dropped(now, work, CauseTeamFull)
	case len(q.items) >= q.total:
		longest := q.longest()
		if longest == tq || longest.load() <= float64(len(tq.items)+1)/float64(tq.weight) {
			return 0, dropped, q.dropped(now, work, CauseFull)
		}
		newest := longest.items[len(longest.items)-1]
		q.remove(newest)
		dropped = append(dropped, q.dropped(now, newest.work, CauseDisplaced))
	}
	it := &item{work: work}
	q.items[work.ID] = it
	heap.Push(&q.byDeadline, it)
	tq.items = append(tq.items, it)
	if len(tq.items) == 1 {
		tq.element = q.active.PushBack(tq)
	}
	return work.ID, dropped, nil
}

// longest returns the queue of the team with the most work for its weight.
func (q *Queue) longest() *teamQueue {
	var longest *teamQueue
	for e := q.active.Front(); e != nil; e = e.Next() {
		if tq := e.Value.(*teamQueue); longest == nil || tq.load() > longest.load() {
			longest = tq
		}
	}
	return longest
}

func (tq *teamQueue) load() float64 {
	return float64(len(tq.items)) / float64(tq.weight)
}

// Next removes and returns the work whose turn it is, for a connection that is free at now. Each team gets as many
// turns in a round as its weight. Work that cannot meet its deadline any more is dropped first.
func (q *Queue) Next(now ident.Time) (work Work, found bool, dropped []*Dropped) {
	q.mu.Lock()
	defer q.mu.Unlock()
	dropped = q.expire(now)
	if q.active.Len() == 0 {
		return Work{}, false, dropped
	}
	tq := q.active.Front().Value.(*teamQueue)
	if tq.deficit < 1 {
		tq.deficit += tq.weight
	}
	tq.deficit--
	it := tq.items[0]
	if tq.deficit < 1 {
		q.active.MoveToBack(tq.element)
	}
	q.remove(it)
	return it.work, true, dropped
}

// Cancel removes queued work; it returns false when the work has already left the queue.
func (q *Queue) Cancel(id ID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	it, found := q.items[id]
	if found {
		q.remove(it)
	}
	return found
}

// Expire drops the work that cannot meet its deadline any more.
func (q *Queue) Expire(now ident.Time) []*Dropped {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expire(now)
}

// Due returns the earliest time after Expire(now) at which another Expire may drop something; the far future for an
// empty queue.
func (q *Queue) Due(now ident.Time) ident.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.byDeadline) == 0 {
		return math.MaxInt64
	}
	return q.byDeadline[0].work.Deadline.Add(1 - q.estimate(now))
}

// RecordServiceTime records the time from sending a statement to its complete response.
func (q *Queue) RecordServiceTime(now ident.Time, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	mean := q.estimate(now)
	if mean == 0 {
		mean = took
	}
	q.serviceTime, q.measuredAt = mean+(took-mean)/serviceWeightDivisor, now
}

// estimate returns the service time to expect at now.
func (q *Queue) estimate(now ident.Time) time.Duration {
	halvings := max(0, now.Sub(q.measuredAt)) / serviceHalfLife
	return q.serviceTime >> min(halvings, 62)
}

// Len returns the amount of queued work.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

func (q *Queue) missesDeadline(now ident.Time, work Work) bool {
	return now.Add(q.estimate(now)) > work.Deadline
}

func (q *Queue) expire(now ident.Time) []*Dropped {
	var dropped []*Dropped
	for len(q.byDeadline) > 0 && q.missesDeadline(now, q.byDeadline[0].work) {
		it := q.byDeadline[0]
		q.remove(it)
		dropped = append(dropped, q.dropped(now, it.work, CauseDeadline))
	}
	return dropped
}

func (q *Queue) dropped(now ident.Time, work Work, cause Cause) *Dropped {
	return &Dropped{Work: work, Cause: cause, Waited: now.Sub(work.Since), Queued: len(q.items), Service: q.estimate(now)}
}

func (q *Queue) remove(it *item) {
	delete(q.items, it.work.ID)
	heap.Remove(&q.byDeadline, it.index)
	tq := q.teams[it.work.Team]
	if tq.items[0] == it {
		tq.items[0] = nil
		tq.items = tq.items[1:]
	} else if i := slices.Index(tq.items, it); i >= 0 {
		tq.items = slices.Delete(tq.items, i, i+1)
	}
	if len(tq.items) == 0 {
		tq.items, tq.deficit = nil, 0
		q.active.Remove(tq.element)
	}
}

// deadlineHeap is a heap of queued work, the earliest deadline first.
type deadlineHeap []*item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].work.Deadline < h[j].work.Deadline }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
