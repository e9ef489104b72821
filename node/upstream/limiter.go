package upstream

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tamarackshunt.dev/fleet/admission"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

const (
	// spareStatements is the number of statements sent beyond those that an upstream runs at a time, so that it never waits for
	// the next one.
	spareStatements = 2
	// defaultCapacity is used if an upstream does not announce how many statements it runs at a time.
	defaultCapacity = 2
	// defaultStatementWait bounds the wait of a statement whose context has no deadline.
	defaultStatementWait = time.Second
)

// limiter bounds the statements that run on an upstream at a time. Further statements wait until package admission grants them their
// turn or refuses them.
type limiter struct {
	upstream  ident.Upstream
	mu        sync.Mutex
	scheduler *admission.Scheduler
	// undecided holds the channels of the statements that wait for a decision.
	undecided map[admission.ID]chan error
	// timer calls wake at wakeAt, or is not set if that is 0.
	timer  *time.Timer
	wakeAt ident.Time
}

func newLimiter(upstream ident.Upstream) *limiter {
	return &limiter{
		upstream:  upstream,
		scheduler: admission.New(admission.Options{Limit: defaultCapacity + spareStatements}),
		undecided: map[admission.ID]chan error{},
	}
}

func (l *limiter) setCapacity(capacity int) {
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announce(l.scheduler.SetLimit(steady.Now(), capacity+spareStatements))
}

// setWarmup limits the statements per second until a time; a rate of 0 refuses all.
func (l *limiter) setWarmup(until ident.Time, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announce(l.scheduler.SetWarmup(steady.Now(), until, rate))
}

// arrive waits until a statement may run, or may take a connection if it holds none yet. Its error is a statement.Failure, or an
// UnreachableError if the upstream has stalled. After a success, the statement ends with finish, cancel or abandon.
func (l *limiter) arrive(ctx context.Context, request admission.Request) (admission.ID, error) {
	decided := make(chan error, 1)
	l.mu.Lock()
	id, decisions := l.scheduler.Arrive(steady.Now(), request)
	l.undecided[id] = decided
	l.announce(decisions)
	l.mu.Unlock()
	return id, l.await(ctx, id, request, decided)
}

// start waits until a statement that was granted its turn, and has taken a connection since, may run.
func (l *limiter) start(ctx context.Context, id admission.ID, request admission.Request) error {
	decided := make(chan error, 1)
	l.mu.Lock()
	l.undecided[id] = decided
	l.announce(l.scheduler.Start(steady.Now(), id))
	l.mu.Unlock()
	return l.await(ctx, id, request, decided)
}

// await waits for the decision about a statement. The scheduler refuses the statement at its deadline or when ctx ends.
func (l *limiter) await(ctx context.Context, id admission.ID, request admission.Request, decided <-chan error) error {
	select {
	case err := <-decided:
		return err
	default:
	}
	waiting := waitingGauge(request.Priority)
	waiting.Inc()
	defer waiting.Dec()
	timer := time.NewTimer(request.Deadline.Sub(steady.Now()))
	defer timer.Stop()
	select {
	case err := <-decided:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	l.announce(l.scheduler.Expire(steady.Now(), id))
	l.mu.Unlock()
	// Unless the statement was refused just now, it was decided about at the same time as its time ended.
	return <-decided
}

// finish ends a statement that the upstream has run, and lets the next ones run.
func (l *limiter) finish(id admission.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announce(l.scheduler.Finish(steady.Now(), id))
}

// cancel ends a statement that did not run or got no answer.
func (l *limiter) cancel(id admission.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announce(l.scheduler.Cancel(steady.Now(), id))
}

// abandon ends a statement that got its turn but no connection in time, and returns its failure.
func (l *limiter) abandon(id admission.ID) error {
	decided := make(chan error, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.undecided[id] = decided
	l.announce(l.scheduler.Abandon(steady.Now(), id))
	return <-decided
}

// announce tells statements what was decided about them. The caller must hold mu.
func (l *limiter) announce(decisions []admission.Decision) {
	for _, d := range decisions {
		decided, found := l.undecided[d.ID]
		if !found {
			continue
		}
		delete(l.undecided, d.ID)
		if d.Refused == nil {
			decided <- nil
		} else {
			decided <- refuse(l.upstream, d.Refused)
		}
	}
	l.setTimer()
}

// setTimer arranges for the decision that is due next. The caller must hold mu.
func (l *limiter) setTimer() {
	now := steady.Now()
	due, found := l.scheduler.Due(now)
	if !found || (l.wakeAt != 0 && l.wakeAt <= now.Add(due)) {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.wakeAt = now.Add(due)
	l.timer = time.AfterFunc(due, l.wake)
}

// wake grants what there is room for after time has passed.
func (l *limiter) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeAt = 0
	l.announce(l.scheduler.Decide(steady.Now()))
}

// refuse counts a refused statement and returns the failure for the caller.
func refuse(upstream ident.Upstream, refused *admission.Refused) error {
	metrics.GetOrCreateCounter(fmt.Sprintf("tamarack_upstream_statements_refused_total{reason=%q}", refused.Reason)).Inc()
	if refused.Reason == admission.ReasonStalled {
		return &UnreachableError{upstream, refused}
	}
	return &statement.Failure{
		Code: statement.CodeBusy, Text: "no room on the upstream in time: " + refused.Error(), Retry: refused.Retry,
	}
}

// waitingGauge returns the number of waiting statements of a priority, over all upstreams.
func waitingGauge(priority int) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("tamarack_upstream_waiting{priority=%q}", strconv.Itoa(priority)))
}
