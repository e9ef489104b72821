package balance

import (
	"time"

	"tamarackshunt.dev/fleet/decay"
	"tamarackshunt.dev/fleet/ident"
)

// rateWindow is the time over which a host averages the rate of its own statements to an upstream. A host of a large fleet sends
// an upstream a few statements a second, so a shorter window would mostly contain none.
const rateWindow = 2 * time.Second

// Tracker holds what one host knows of the load of one upstream. The zero value knows nothing.
type Tracker struct {
	load Load
	// at is the time of the last report, or 0 if there is none.
	at ident.Time
	// sent counts the host's own statements since the last report.
	sent int
	// recent counts the host's own statements of the last rateWindow.
	recent decay.Sum
	// silentSince is the time of the last answer, or that of a later statement that was sent while none was in flight.
	silentSince ident.Time
}

// RecordLoad records a report of the gateway.
func (t *Tracker) RecordLoad(now ident.Time, load Load) {
	t.load, t.at, t.sent = load, now, 0
	t.RecordAnswer(now)
}

// RecordAnswer records an answer without a report.
func (t *Tracker) RecordAnswer(now ident.Time) {
	t.silentSince = now
}

// RecordSent counts a statement that the host sends to the upstream. alone is set if the host has no other one in flight there.
func (t *Tracker) RecordSent(now ident.Time, alone bool) {
	if alone {
		t.silentSince = now
	}
	t.sent++
	t.recent.Add(now, rateWindow, 1)
}

// Report returns what the host knows of the upstream's load.
func (t *Tracker) Report(now ident.Time) Report {
	report := Report{Silence: max(0, now.Sub(t.silentSince))}
	if t.at == 0 {
		return report
	}
	report.Load, report.Known, report.Age = t.load, true, max(0, now.Sub(t.at))
	report.Sent, report.Rate = t.sent, t.recent.Rate(now, rateWindow)
	return report
}

// Report is an upstream's load as one host knows it.
type Report struct {
	Load Load
	// Known is unset if no report has arrived yet.
	Known bool
	// Age is the time since the report arrived.
	Age time.Duration
	// Sent counts the host's statements since the report; Rate is how many it sends per second.
	Sent int
	Rate float64
	// Silence is the time without an answer, since the first of the statements that are in flight; it says nothing if there are none.
	Silence time.Duration
}
