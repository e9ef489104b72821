package admission

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// warmupBurst is the part of one second's statements, at the warm-up rate, that may be sent at once; at least one statement may.
const warmupBurst = 0.2

// warmup limits the statements to an upstream that has just started.
type warmup struct {
	// Until the end, the upstream gets at most rate statements per second. The allowance is the number of statements that may still
	// be sent, as of updated.
	end       ident.Time
	rate      float64
	allowance float64
	updated   ident.Time
}

func (w *warmup) set(now, end ident.Time, rate float64) {
	if w.end == 0 || now >= w.end {
		w.allowance, w.updated = 0, now
	}
	w.end, w.rate = end, rate
}

// covers reports whether a number of statements may be sent now.
func (w *warmup) covers(now ident.Time, count int) bool {
	if now >= w.end {
		return true
	}
	w.allowance = min(w.allowance+w.rate*now.Sub(w.updated).Seconds(), max(1, w.rate*warmupBurst))
	w.updated = now
	return w.allowance >= float64(count)
}

// take counts a statement that is sent, and reports whether it may be.
func (w *warmup) take(now ident.Time) bool {
	allowed := w.covers(now, 1)
	if allowed && now < w.end {
		w.allowance--
	}
	return allowed
}

// closed reports whether no statement may be sent until the end.
func (w *warmup) closed(now ident.Time) bool {
	return now < w.end && w.rate <= 0
}

// wait returns the time until the next statement may be sent.
func (w *warmup) wait(now ident.Time) time.Duration {
	left := w.end.Sub(now)
	if w.rate <= 0 {
		return left
	}
	missing := max(0, (1-w.allowance)/w.rate)
	return min(left, time.Duration(missing*float64(time.Second)))
}
