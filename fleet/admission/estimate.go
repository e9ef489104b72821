package admission

import (
	"math"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// holdWeightDivisor is the inverse weight of one measurement in the mean hold time. With 16, the mean follows a change of load
	// within a few dozen statements, and a single slow one has little effect.
	holdWeightDivisor = 16
	// holdHalfLife is the time in which the hold time is halved without a new measurement. Otherwise a stalled upstream would cause
	// all later statements to be refused, and there would be no new measurement.
	holdHalfLife = 500 * time.Millisecond
	// stallTime and stallHolds, in hold times, are how long statements run without the end of any until the upstream counts as stalled.
	stallTime  = 300 * time.Millisecond
	stallHolds = 8
	// rateWindow is the time over which the rates of grants and of transactions are averaged.
	rateWindow = time.Second
	// minShare is the least part of the rate that a priority counts on, however much goes to more urgent work.
	minShare = 0.05
	// minReturn and maxReturn bound the time to come back.
	minReturn = 20 * time.Millisecond
	maxReturn = 2 * time.Second
)

// recordHold records how long a statement held its slot, the time for its connection included.
func (s *Scheduler) recordHold(now ident.Time, took time.Duration) {
	mean := s.hold(now)
	if mean == 0 {
		mean = took
	}
	s.holdTime, s.measuredAt = mean+(took-mean)/holdWeightDivisor, now
}

// hold returns the time that a statement is expected to hold a slot, or 0 without a measurement.
func (s *Scheduler) hold(now ident.Time) time.Duration {
	halvings := max(0, now.Sub(s.measuredAt)) / holdHalfLife
	return s.holdTime >> min(halvings, 62)
}

// stalled reports whether statements run but none has ended for long.
func (s *Scheduler) stalled(now ident.Time) bool {
	return s.running > 0 && now.Sub(s.progressAt) > max(stallTime, stallHolds*s.holdTime)
}

// rate returns the statements per second that a priority can count on: what the slots and the warm-up allow, less what goes to
// transactions and to more urgent statements. It is infinite without a measurement.
func (s *Scheduler) rate(now ident.Time, priority int) float64 {
	total := math.Inf(1)
	if hold := s.hold(now); hold > 0 {
		total = float64(s.limit) / hold.Seconds()
	}
	if now < s.warmup.end {
		total = min(total, s.warmup.rate)
	}
	if math.IsInf(total, 1) || total <= 0 {
		return math.Inf(1)
	}
	left := total - s.held.Rate(now, rateWindow)
	for _, l := range s.levels {
		if l.priority < priority {
			left -= l.grants.Rate(now, rateWindow)
		}
	}
	return max(left, total*minShare)
}

// waitBehind returns the expected wait of a statement with a number of statements ahead of it.
func (s *Scheduler) waitBehind(now ident.Time, priority, ahead int) time.Duration {
	return time.Duration(float64(ahead+1) / s.rate(now, priority) * float64(time.Second))
}

// aheadOf returns how many statements go before a new one.
func (s *Scheduler) aheadOf(now ident.Time, l *level, it *item) int {
	return s.aheadOfLevel(l) + l.ahead(now, it)
}

// aheadOfLevel returns how many waiting statements go before all new ones of a priority.
func (s *Scheduler) aheadOfLevel(l *level) int {
	ahead := len(s.ready)
	for _, other := range s.levels {
		if other.priority < l.priority {
			ahead += other.waiting
		}
	}
	return ahead
}

// misses reports whether a statement with a number of statements ahead of it would end after its deadline.
func (s *Scheduler) misses(now ident.Time, priority, ahead int, deadline ident.Time) bool {
	return now.Add(s.waitBehind(now, priority, ahead)+s.hold(now)) > deadline
}

// returnTime returns when a refused caller should come back. A statement that arrives then can expect to meet its deadline, if it has
// as much time as the refused one had. Each caller gets a place of its own behind those that were told to wait before it, the more
// urgent ones included, so that they return as a stream.
func (s *Scheduler) returnTime(now ident.Time, l *level, it *item, ahead int) time.Duration {
	wait := s.waitBehind(now, l.priority, ahead) + s.hold(now) - it.Deadline.Sub(it.since)
	// One that has waited in vain shows that there is less room than the estimate says.
	wait = max(wait, now.Sub(it.since)/2, minReturn)
	first := now.Add(min(wait, maxReturn/2))
	at := first
	for _, other := range s.levels {
		if other.priority <= l.priority {
			at = max(at, other.nextReturn)
		}
	}
	spacing := time.Duration(float64(time.Second) / s.rate(now, l.priority))
	at = at.Add(spacing)
	if at > now.Add(maxReturn) {
		// All places within the bound are taken once; start again at the first one.
		at = first.Add(min(spacing, maxReturn/2))
	}
	l.nextReturn = at
	return at.Sub(now)
}
