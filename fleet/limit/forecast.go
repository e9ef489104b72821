package limit

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// maxForecastAge bounds the time for which a forecast holds, since tokens may be given back earlier than the owner knew.
	maxForecastAge = Lifetime
	// minReturnTime and maxReturnTime bound the time after which a refused caller is told to come back.
	minReturnTime = 20 * time.Millisecond
	maxReturnTime = maxForecast
)

// localForecast is when a host may expect tokens of a scarce team for requests of a priority and less urgent ones.
type localForecast struct {
	// askAt is when to send the request that arrives as the next token does. next is when the token is here; the ones after it
	// come a slot apart. The forecast holds before until.
	askAt, next, until ident.Time
	slot               time.Duration
	priority           int
}

// appliesTo reports whether the forecast holds for a request of the priority.
func (f *localForecast) appliesTo(now ident.Time, priority int) bool {
	return now < f.until && priority >= f.priority
}

// tokenAt returns the time of the token for a request behind others.
func (f *localForecast) tokenAt(others int) ident.Time {
	return f.next.Add(time.Duration(others) * f.slot)
}

// comesTooLate reports whether the token of a request behind others would come after the end of its wait.
func (lb *localBucket) comesTooLate(now ident.Time, w waiter, others int) bool {
	return !lb.ownerUnresponsive && lb.forecast.appliesTo(now, w.priority) && lb.forecast.tokenAt(others) > lb.maxWaitEnd(w)
}

// tooLate returns the error of a request that is refused before the end of its wait.
func (lb *localBucket) tooLate(now ident.Time, w waiter) *Exceeded {
	return &Exceeded{Team: lb.team, Cause: CauseTooLate, Waited: now.Sub(w.since), Retry: lb.returnTime(now, w.priority)}
}

// returnTime returns when a refused caller should come back: behind the requests that wait and the callers refused before.
func (lb *localBucket) returnTime(now ident.Time, priority int) time.Duration {
	first := now
	if lb.forecast.appliesTo(now, priority) {
		first = lb.forecast.tokenAt(lb.waitersUpTo(priority))
	}
	return lb.returning.take(now, first, lb.forecast.slot, priority)
}

// refuseTooLate refuses the waiting requests whose token would come after the end of their wait.
func (lb *localBucket) refuseTooLate(now ident.Time) []Outcome {
	var outcomes []Outcome
	waiters := lb.waiters
	lb.waiters = make([]waiter, 0, len(waiters))
	for _, w := range waiters {
		if lb.comesTooLate(now, w, len(lb.waiters)) {
			outcomes = append(outcomes, Outcome{ID: w.id, Refused: lb.tooLate(now, w)})
			continue
		}
		lb.waiters = append(lb.waiters, w)
	}
	return outcomes
}

// askAgainAt returns when the next token arrives at the owner for the requests that still wait.
func (lb *localBucket) askAgainAt(now ident.Time) (ident.Time, bool) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	if len(lb.waiters) == 0 || !lb.forecast.appliesTo(now, lb.waiters[0].priority) {
		return 0, false
	}
	return lb.forecast.askAt, true
}

// returnTimes spreads the times at which refused callers of one team are told to come back over the slots of the host's share, so
// that they return as a stream. A caller gets the first slot behind those of the same and more urgent priorities. Slots beyond
// maxReturnTime begin again at half of it, closer together.
type returnTimes struct {
	last [Priorities]ident.Time
}

// take returns the time until the next free slot, which is not before first.
func (r *returnTimes) take(now, first ident.Time, slot time.Duration, priority int) time.Duration {
	priority = min(max(priority, 0), Priorities-1)
	slot = max(slot, minReturnTime)
	at := max(first, now.Add(minReturnTime))
	for _, last := range r.last[:priority+1] {
		at = max(at, last.Add(slot))
	}
	if latest := now.Add(maxReturnTime); at > latest {
		at = now.Add(maxReturnTime / 2)
		if next := r.last[priority].Add(min(slot, maxReturnTime/8)); next > at && next <= latest {
			at = next
		}
	}
	r.last[priority] = at
	return at.Sub(now)
}
