package metering

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Instant is a point in true time, in nanoseconds since the start of 1970.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Milliseconds returns the instant in milliseconds since the start of 1970.
func (i Instant) Milliseconds() int64 { return int64(i) / int64(time.Millisecond) }

// InstantOf returns the instant that lies a number of milliseconds after the start of 1970.
func InstantOf(milliseconds int64) Instant {
	return Instant(milliseconds * int64(time.Millisecond))
}

// InstantAt returns the true time at a steady time, given the offset of the true time from the steady clock.
func InstantAt(now ident.Time, offset time.Duration) Instant { return Instant(now.Add(offset)) }

// Sub returns the offset of the instant from a steady time.
func (i Instant) Sub(now ident.Time) time.Duration { return time.Duration(int64(i) - int64(now)) }

// Window is the number of a window: window k begins k times the length of windows after the start of 1970.
type Window uint64

// WindowAt returns the window of an instant.
func WindowAt(at Instant, length time.Duration) Window {
	return Window(int64(at) / int64(length))
}

// End returns the end of the window.
func (w Window) End(length time.Duration) Instant {
	return Instant((int64(w) + 1) * int64(length))
}

// Counts are numbers of operations by team.
type Counts map[ident.Team]uint64

// Total returns the sum of the counts.
func (c Counts) Total() uint64 {
	var total uint64
	for _, count := range c {
		total += count
	}
	return total
}

// Source is one start of an entry host.
type Source struct {
	Host        ident.Host
	Incarnation ident.Incarnation
}

// Leadership identifies the leadership of a core host, by its term.
type Leadership uint64

// MaxOpenWindows is the number of windows that hosts and leader keep open. The oldest is dropped beyond it.
const MaxOpenWindows = 24

// Report contains the counts of a host that changed since the last Receipt.
type Report struct {
	// Leadership is that of the receipts on which the report builds.
	Leadership Leadership
	// Complete is the latest window up to which all windows have ended and none of their operations still runs on the host.
	Complete Window
	Windows  map[Window]Counts
}

// Receipt confirms a Report.
type Receipt struct {
	Leadership Leadership
	// Closed is the latest closed window. All windows up to it are closed.
	Closed Window
}
