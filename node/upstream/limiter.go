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
	// spareStatements is the number of statements sent beyond those that an upstream runs at a time, so that it never waits for
	// the next one.
	spareStatements = 2
	// defaultCapacity is used if an upstream does not announce how many statements it runs at a time.
	defaultCapacity = 2
	// warmupBurst is the part of one second's statements, at the warm-up rate, that may be sent at once; at least one statement
	// may.
	warmupBurst = 0.2
	// maxWaitingPerTeam bounds the statements of a team that wait for one upstream on one host.
	maxWaitingPerTeam = 256
)

var statementsRefused = metrics.NewCounter("tamarack_upstream_statements_refused_total")

// limiter bounds the statements that run on an upstream at a time. Further statements wait in queues, by priority and fair by
// team, where they can still be cancelled before they run.
type limiter struct {
	mu      sync.Mutex
	limit   int
	running int
	queues  []*priorityQueue
	// Until warmupUntil the upstream gets at most warmupRate statements per second. The allowance is the number of statements
	// that may still be sent, as of allowanceAt.
	warmupUntil ident.Time
	warmupRate  float64
	allowance   float64
	allowanceAt ident.Time
}

// priorityQueue holds the waiting statements of one priority.
type priorityQueue struct {
	priority int
	queue    *queue.Queue
	waiting  map[queue.ID]chan error
}

func newLimiter() *limiter {
	return &limiter{limit: defaultCapacity + spareStatements}
}

func (l *limiter) setCapacity(capacity int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	l.limit = capacity + spareStatements
	l.grant(steady.Now())
}

// acquire waits until the statement may run or ctx ends; its error is a statement.Failure. Statements inside a transaction do
// not wait, since others wait for the connection that the transaction holds.
func (l *limiter) acquire(ctx context.Context, team ident.Team, priority int, inside bool) error {
	l.mu.Lock()
	if !l.allowWarmup(steady.Now()) {
		l.mu.Unlock()
		return refuse(errWarmingUp)
	}
	if inside || (l.running < l.limit && l.empty()) {
		l.running++
		l.mu.Unlock()
		return nil
	}
	at := steady.Now()
	deadline := at.Add(defaultStatementWait)
	if end, found := ctx.Deadline(); found {
		deadline = at.Add(time.Until(end))
	}
	pq := l.queueFor(priority)
	id, dropped, err := pq.queue.Push(at, team, deadline)
	pq.failDropped(dropped)
	if err != nil {
		l.mu.Unlock()
		return refuse(err)
	}
	granted := make(chan error, 1)
	pq.waiting[id] = granted
	l.mu.Unlock()
	select {
	case err := <-granted:
		return err
	case <-ctx.Done():
	}
	l.mu.Lock()
	if pq.queue.Cancel(id) {
		delete(pq.waiting, id)
		l.mu.Unlock()
		return refuse(ctx.Err())
	}
	l.mu.Unlock()
	// The decision was made at the same time as ctx ended.
	return <-granted
}

// errWarmingUp is the cause of a refusal while the warm-up rate of an upstream is used up.
var errWarmingUp = errors.New("the upstream is cold")

// setWarmup limits the statements per second until a time; a rate of 0 refuses all.
func (l *limiter) setWarmup(until ident.Time, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.warmupUntil == 0 || steady.Now() >= l.warmupUntil {
		l.allowance, l.allowanceAt = 0, steady.Now()
	}
	l.warmupUntil, l.warmupRate = until, rate
}

// allowWarmup reports whether the warm-up limit admits a statement, and counts it if so. The caller must hold mu.
func (l *limiter) allowWarmup(at ident.Time) bool {
	if at >= l.warmupUntil {
		return true
	}
	l.allowance = min(l.allowance+l.warmupRate*at.Sub(l.allowanceAt).Seconds(), max(1, l.warmupRate*warmupBurst))
	l.allowanceAt = at
	if l.allowance < 1 {
		return false
	}
	l.allowance--
	return true
}

// defaultStatementWait bounds the wait of a statement whose context has no deadline.
const defaultStatementWait = time.Second

// refuse counts a refused statement and returns the failure for the caller.
func refuse(err error) error {
	statementsRefused.Inc()
	return &statement.Failure{Code: statement.CodeBusy, Text: "no room on the upstream in time: " + err.Error()}
}

// release ends a statement, records its duration and lets the next one run.
func (l *limiter) release(priority int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	at := steady.Now()
	l.queueFor(priority).queue.RecordServiceTime(at, took)
	l.grant(at)
}

// grant lets waiting statements run up to the limit, the lowest priority number first. The caller must hold mu.
func (l *limiter) grant(at ident.Time) {
	for _, pq := range l.queues {
		for l.running < l.limit {
			work, found, dropped := pq.queue.Next(at)
			pq.failDropped(dropped)
			if !found {
				break
			}
			l.running++
			pq.waiting[work.ID] <- nil
			delete(pq.waiting, work.ID)
		}
	}
}

// empty reports whether no statement waits. The caller must hold mu.
func (l *limiter) empty() bool {
	return !slices.ContainsFunc(l.queues, func(pq *priorityQueue) bool { return pq.queue.Len() > 0 })
}

// queueFor returns the queue of a priority and creates it if needed. The caller must hold mu.
func (l *limiter) queueFor(priority int) *priorityQueue {
	at, found := slices.BinarySearchFunc(l.queues, priority, func(pq *priorityQueue, priority int) int { return pq.priority - priority })
	if !found {
		l.queues = slices.Insert(l.queues, at, &priorityQueue{
			priority: priority, queue: queue.New(queue.Options{PerTeam: maxWaitingPerTeam}), waiting: map[queue.ID]chan error{},
		})
	}
	return l.queues[at]
}

// failDropped fails the statements that the queue has dropped.
func (q *priorityQueue) failDropped(dropped []*queue.Dropped) {
	for _, d := range dropped {
		if granted, found := q.waiting[d.Work.ID]; found {
			granted <- refuse(d)
			delete(q.waiting, d.Work.ID)
		}
	}
}
