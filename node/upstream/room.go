package upstream

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/queue"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

const (
	// spareStatements are sent beyond those that an upstream runs at a time, so that it never waits for the next one.
	spareStatements = 2
	// defaultCapacity counts where an upstream does not say how many statements it runs at a time.
	defaultCapacity = 2
	// warmupBurst is the part of a second's statements that a cold upstream may get at once.
	warmupBurst = 0.2
	// roomPerTeam bounds the statements of a team that wait for an upstream on one host.
	roomPerTeam = 256
)

var roomRefused = metrics.NewCounter("tamarack_upstream_statements_refused_total")

// room bounds the statements that run on an upstream at a time. Those beyond wait here, fair by team and the urgent ones
// first, where they can still be given up without having run.
type room struct {
	mu      sync.Mutex
	limit   int
	running int
	lines   []*urgency
	// Until coldUntil the upstream gets coldRate statements a second; allowance is what is left, as of allowedAt.
	warmupUntil ident.Time
	warmupRate  float64
	allowance   float64
	allowedAt   ident.Time
}

// urgency holds the waiting statements of one priority.
type urgency struct {
	priority int
	queue    *queue.Queue
	waiting  map[queue.ID]chan error
}

func newRoom() *room {
	return &room{limit: defaultCapacity + spareStatements}
}

func (r *room) setCapacity(capacity int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	r.limit = capacity + spareStatements
	r.grant(steady.Now())
}

// enter waits for room until ctx ends; its error is a statement.Failure. Statements inside a transaction do not wait: others
// wait for the connection that it holds.
func (r *room) enter(ctx context.Context, team ident.Team, priority int, inside bool) error {
	r.mu.Lock()
	if !r.warm(steady.Now()) {
		r.mu.Unlock()
		return refusedRoom(errCold)
	}
	if inside || (r.running < r.limit && r.empty()) {
		r.running++
		r.mu.Unlock()
		return nil
	}
	at := steady.Now()
	deadline := at.Add(statementWait)
	if end, found := ctx.Deadline(); found {
		deadline = at.Add(time.Until(end))
	}
	line := r.line(priority)
	id, dropped, err := line.queue.Push(at, team, deadline)
	line.drop(dropped)
	if err != nil {
		r.mu.Unlock()
		return refusedRoom(err)
	}
	granted := make(chan error, 1)
	line.waiting[id] = granted
	r.mu.Unlock()
	select {
	case err := <-granted:
		return err
	case <-ctx.Done():
	}
	r.mu.Lock()
	if line.queue.Cancel(id) {
		delete(line.waiting, id)
		r.mu.Unlock()
		return refusedRoom(ctx.Err())
	}
	r.mu.Unlock()
	// The decision was on its way.
	return <-granted
}

// errCold is the cause when a cold upstream has got what it may get in a second.
var errCold = errors.New("the upstream is cold")

// setWarmup limits the statements until a time; a rate of 0 lets none run.
func (r *room) setWarmup(until ident.Time, rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.warmupUntil == 0 || steady.Now() >= r.warmupUntil {
		r.allowance, r.allowedAt = 0, steady.Now()
	}
	r.warmupUntil, r.warmupRate = until, rate
}

// warm reports whether a statement may run as far as the warm-up goes, and counts it; the caller holds the lock.
func (r *room) warm(at ident.Time) bool {
	if at >= r.warmupUntil {
		return true
	}
	r.allowance = min(r.allowance+r.warmupRate*at.Sub(r.allowedAt).Seconds(), max(1, r.warmupRate*warmupBurst))
	r.allowedAt = at
	if r.allowance < 1 {
		return false
	}
	r.allowance--
	return true
}

// statementWait bounds the wait of a statement without a deadline.
const statementWait = time.Second

func refusedRoom(err error) error {
	roomRefused.Inc()
	return &statement.Failure{Code: statement.CodeBusy, Text: "no room on the upstream in time: " + err.Error()}
}

// leave ends a statement that took a time and lets the next one run.
func (r *room) leave(priority int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	at := steady.Now()
	r.line(priority).queue.Served(at, took)
	r.grant(at)
}

// grant lets statements run while there is room, the urgent ones first; the caller holds the lock.
func (r *room) grant(at ident.Time) {
	for _, line := range r.lines {
		for r.running < r.limit {
			work, found, dropped := line.queue.Next(at)
			line.drop(dropped)
			if !found {
				break
			}
			r.running++
			line.waiting[work.ID] <- nil
			delete(line.waiting, work.ID)
		}
	}
}

func (r *room) empty() bool {
	return !slices.ContainsFunc(r.lines, func(line *urgency) bool { return line.queue.Len() > 0 })
}

func (r *room) line(priority int) *urgency {
	at, found := slices.BinarySearchFunc(r.lines, priority, func(line *urgency, priority int) int { return line.priority - priority })
	if !found {
		r.lines = slices.Insert(r.lines, at, &urgency{
			priority: priority, queue: queue.New(queue.Options{PerTeam: roomPerTeam}), waiting: map[queue.ID]chan error{},
		})
	}
	return r.lines[at]
}

// drop tells statements that they were given up.
func (l *urgency) drop(dropped []*queue.Dropped) {
	for _, d := range dropped {
		if granted, found := l.waiting[d.Work.ID]; found {
			granted <- refusedRoom(d)
			delete(l.waiting, d.Work.ID)
		}
	}
}
