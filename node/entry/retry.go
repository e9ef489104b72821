package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/retry"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/routing"
)

const (
	// minRetry and maxRetry bound the time after which a refused caller is told to come back.
	minRetry = 20 * time.Millisecond
	maxRetry = 3 * time.Second
)

var budgetExhausted = metrics.NewCounter("tamarack_entry_retry_budget_exhausted_total")

// retryBudget is the budget of further attempts of all sessions of a host.
type retryBudget struct {
	mu     sync.Mutex
	budget retry.Budget
}

func (b *retryBudget) recordFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordFirst(steady.Now())
}

func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	funded := b.budget.Spend(steady.Now())
	if !funded {
		budgetExhausted.Inc()
	}
	return funded
}

// attempts follows the attempts to run one statement of an operation.
type attempts struct {
	session *session
	service ident.Service
	plan    retry.Plan
	// changed is closed when the service has changed since the last attempt began.
	changed <-chan struct{}
}

// newAttempts counts the first attempt to run a statement.
func (s *session) newAttempts(o *operation) *attempts {
	s.server.retries.recordFirst()
	return &attempts{session: s, service: o.route.Service}
}

// begin notes the state of the service, so that a change during the attempt ends the wait after it.
func (a *attempts) begin() {
	a.changed = a.session.server.options.Table.Changed(a.service)
}

// next reports whether to try again after an attempt that did not run, once it is time to. Others is set if another upstream may run the
// statement; move is then set if that one should be tried.
func (a *attempts) next(ctx context.Context, err error, others bool) (move, again bool) {
	cause := causeOf(err)
	if ctx.Err() != nil || deniedFailure(err) != nil {
		return false, false
	}
	// An attempt that can only be refused spends nothing.
	waits := cause != retry.CauseFull && cause != retry.CauseLagging
	funded := (others || waits) && a.session.server.retries.spend()
	step, pause := a.plan.Next(retry.Situation{Cause: cause, Others: others, Funded: funded, Jitter: rand.Float64()})
	if step == retry.StepRefuse {
		return false, false
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("tamarack_entry_retries_total{cause=%q}", cause)).Inc()
	if step == retry.StepMove {
		return true, true
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-a.changed:
	case <-timer.C:
	case <-ctx.Done():
		return false, false
	}
	return false, true
}

// causeOf returns why an attempt did not run.
func causeOf(err error) retry.Cause {
	var failure *statement.Failure
	var noPosition *routing.NoPositionError
	switch {
	case errors.Is(err, errNoPrimary) || errors.Is(err, errNoCandidate) || errors.As(err, &noPosition):
		return retry.CauseState
	case !errors.As(err, &failure):
		return retry.CauseUnreachable
	case failure.Code == statement.CodeBusy && failure.Retry > 0:
		// Only a host's queue knows when there is room.
		return retry.CauseFull
	case failure.Code == statement.CodeBusy || failure.Code == statement.CodeConnections:
		return retry.CauseBusy
	case failure.Code == statement.CodeLagging:
		return retry.CauseLagging
	}
	return retry.CauseState
}

// busyFailure returns the failure of a statement that did not run in time; last is the error of the last attempt.
func busyFailure(o *operation, last error) *statement.Failure {
	if denied := deniedFailure(last); denied != nil {
		return denied
	}
	return &statement.Failure{Code: statement.CodeBusy, Text: last.Error(), Retry: returnTime(o, last)}
}

// returnTime returns when the caller of a statement that did not run should come back.
func returnTime(o *operation, last error) time.Duration {
	var failure *statement.Failure
	if errors.As(last, &failure) && failure.Retry > 0 {
		return spreadBelow(failure.Retry, o.route.Timeout)
	}
	return max(o.route.Objective/2, minRetry)
}

// spreadBelow returns a time to come back that is at most a limit. Longer times are spread over the limit's second half, so that
// their callers don't come back at the same moment.
func spreadBelow(after, limit time.Duration) time.Duration {
	if half := limit / 2; after > limit && half > 0 {
		return half + after%half
	}
	return after
}

// withEarlierRetry returns the failure of two upstreams that refused a statement, with the earlier time to come back.
func withEarlierRetry(first, second error) error {
	var x, y *statement.Failure
	if errors.As(first, &x) && errors.As(second, &y) && x.Retry > 0 && y.Retry > 0 {
		both := *y
		both.Retry = min(x.Retry, y.Retry)
		return &both
	}
	return second
}

// withRetryText returns a failure whose text says when to come back, if that is known.
func withRetryText(f *statement.Failure) *statement.Failure {
	if f.Retry <= 0 {
		return f
	}
	after := min(max(f.Retry, minRetry), maxRetry)
	told := *f
	told.Text = fmt.Sprintf("%s; retry after %d ms", f.Text, after.Milliseconds())
	return &told
}
