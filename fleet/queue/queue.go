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

// Defaults of the bounds.
const (
	DefaultTotal   = 4096
	DefaultPerTeam = 1024
)

// serviceShare is the weight of one measurement in the mean service time: one sixteenth follows a change of load within
// a few dozen statements and lets a single slow one pass.
const serviceShare = 16

// serviceHalfLife halves a measured service time without a new measurement. Otherwise the measurements of a stalled
// upstream would drop all later work, and nothing would be measured again.
const serviceHalfLife = 500 * time.Millisecond

// Options configure a queue.
type Options struct {
	// Total bounds the work of all teams, PerTeam that of each; 0 means the default.
	Total   int
	PerTeam int
}

// ID names queued work.
type ID uint64

// Work is a statement that waits for a connection.
type Work struct {
	ID       ID
	Team     ident.Team
	Since    ident.Time
	Deadline ident.Time
}

// Cause says why work left the queue without a connection, or never entered it.
type Cause int

// Causes.
const (
	// CauseFull is a queue at its total bound, of which the team has its share already.
	CauseFull Cause = iota
	// CauseTeamFull is a team at its own bound.
	CauseTeamFull
	// CauseDisplaced is the newest work of the team with the most work for its weight, which made room for another team.
	CauseDisplaced
	// CauseDeadline is work that could not finish by its deadline, given the measured service time.
	CauseDeadline
)

//go:generate enumer -type=Cause -trimprefix=Cause -transform=snake

// Dropped is the failure of queued work; it was not run.
type Dropped struct {
	Work  Work
	Cause Cause
	// Waited is the time in the queue, Queued the amount of work in the queue.
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

// Queue is the queue of one upstream on one host. Its methods may be called from several goroutines.
type Queue struct {
	mu      sync.Mutex
	total   int
	perTeam int
	last    ID
	items   map[ID]*item
	teams   map[ident.Team]*line
	// active holds the lines with work in the order of their turns.
	active   list.List
	urgent   byDeadline
	service  time.Duration
	measured ident.Time
}

type item struct {
	work Work
	// index is the place in the heap by deadline.
	index int
}

// line is the work of one team in order.
type line struct {
	team    ident.Team
	weight  int
	deficit int
	items   []*item
	// turn is the place among the active lines, nil without work.
	turn *list.Element
}

// New returns an empty queue.
func New(opts Options) *Queue {
	q := &Queue{total: opts.Total, perTeam: opts.PerTeam, items: map[ID]*item{}, teams: map[ident.Team]*line{}}
	if q.total == 0 {
		q.total = DefaultTotal
	}
	if q.perTeam == 0 {
		q.perTeam = DefaultPerTeam
	}
	return q
}

// SetWeights replaces the weights of teams; a team without one has weight 1.
func (q *Queue) SetWeights(weights map[ident.Team]uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for team, l := range q.teams {
		l.weight = max(1, int(weights[team]))
	}
	for team, weight := range weights {
		q.line(team).weight = max(1, int(weight))
	}
}

func (q *Queue) line(team ident.Team) *line {
	l, found := q.teams[team]
	if !found {
		l = &line{team: team, weight: 1}
		q.teams[team] = l
	}
	return l
}

// Push adds work. Work that the queue does not take is the returned error; work that it dropped to make room is in the
// list.
func (q *Queue) Push(now ident.Time, team ident.Team, deadline ident.Time) (ID, []*Dropped, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.last++
	work := Work{ID: q.last, Team: team, Since: now, Deadline: deadline}
	l := q.line(team)
	dropped := q.expire(now)
	switch {
	case q.late(now, work):
		return 0, dropped, q.dropped(now, work, CauseDeadline)
	case len(l.items) >= q.perTeam:
		return 0, dropped, q.dropped(now, work, CauseTeamFull)
	case len(q.items) >= q.total:
		longest := q.longest()
		if longest == l || longest.load() <= float64(len(l.items)+1)/float64(l.weight) {
			return 0, dropped, q.dropped(now, work, CauseFull)
		}
		newest := longest.items[len(longest.items)-1]
		q.remove(newest)
		dropped = append(dropped, q.dropped(now, newest.work, CauseDisplaced))
	}
	it := &item{work: work}
	q.items[work.ID] = it
	heap.Push(&q.urgent, it)
	l.items = append(l.items, it)
	if len(l.items) == 1 {
		l.turn = q.active.PushBack(l)
	}
	return work.ID, dropped, nil
}

// longest returns the team with the most work for its weight.
func (q *Queue) longest() *line {
	var longest *line
	for e := q.active.Front(); e != nil; e = e.Next() {
		if l := e.Value.(*line); longest == nil || l.load() > longest.load() {
			longest = l
		}
	}
	return longest
}

func (l *line) load() float64 {
	return float64(len(l.items)) / float64(l.weight)
}

// Next removes and returns the work whose turn it is, for a connection that is free at now. Each team gets as many turns
// in a round as its weight. Work that cannot meet its deadline any more is dropped before it.
func (q *Queue) Next(now ident.Time) (work Work, found bool, dropped []*Dropped) {
	q.mu.Lock()
	defer q.mu.Unlock()
	dropped = q.expire(now)
	if q.active.Len() == 0 {
		return Work{}, false, dropped
	}
	l := q.active.Front().Value.(*line)
	if l.deficit < 1 {
		l.deficit += l.weight
	}
	l.deficit--
	it := l.items[0]
	if l.deficit < 1 {
		q.active.MoveToBack(l.turn)
	}
	q.remove(it)
	return it.work, true, dropped
}

// Cancel removes queued work; it returns false when the work has left the queue already.
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

// Due returns the earliest time after Expire(now) at which another Expire may drop something; the far future for an empty
// queue.
func (q *Queue) Due(now ident.Time) ident.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.urgent) == 0 {
		return math.MaxInt64
	}
	return q.urgent[0].work.Deadline.Add(1 - q.estimate(now))
}

// Served takes the time from sending a statement to its complete response.
func (q *Queue) Served(now ident.Time, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	mean := q.estimate(now)
	if mean == 0 {
		mean = took
	}
	q.service, q.measured = mean+(took-mean)/serviceShare, now
}

// estimate returns the service time to expect at now.
func (q *Queue) estimate(now ident.Time) time.Duration {
	halvings := max(0, now.Sub(q.measured)) / serviceHalfLife
	return q.service >> min(halvings, 62)
}

// Len returns the amount of queued work.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

func (q *Queue) late(now ident.Time, work Work) bool {
	return now.Add(q.estimate(now)) > work.Deadline
}

func (q *Queue) expire(now ident.Time) []*Dropped {
	var dropped []*Dropped
	for len(q.urgent) > 0 && q.late(now, q.urgent[0].work) {
		it := q.urgent[0]
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
	heap.Remove(&q.urgent, it.index)
	l := q.teams[it.work.Team]
	if l.items[0] == it {
		l.items[0] = nil
		l.items = l.items[1:]
	} else if i := slices.Index(l.items, it); i >= 0 {
		l.items = slices.Delete(l.items, i, i+1)
	}
	if len(l.items) == 0 {
		l.items, l.deficit = nil, 0
		q.active.Remove(l.turn)
	}
}

// byDeadline is a heap of queued work.
type byDeadline []*item

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h[i].work.Deadline < h[j].work.Deadline }
func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is part of heap.Interface.
func (h *byDeadline) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop is part of heap.Interface.
func (h *byDeadline) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
