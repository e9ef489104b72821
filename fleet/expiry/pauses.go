package expiry

import (
	"context"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// pauseThreshold is the time without a tick from which on the process counts as paused. Ticks are far more frequent.
	pauseThreshold = 200 * time.Millisecond
	// pauseSettle is the time after a pause within which the process has read the calls that came during it.
	pauseSettle = 500 * time.Millisecond
)

// Pauses notices when the process was stopped or the machine was suspended. Its methods are safe for concurrent use. The zero value knows of
// no pause and is ready to use.
type Pauses struct {
	mu sync.Mutex
	// last is the latest tick, and lastAwake the time at it without suspensions.
	last, lastAwake ident.Time
	// start and end are those of the latest pause. suspended is set if the machine was suspended in it.
	start, end ident.Time
	suspended  bool
}

// Tick records that the process runs at now; awake is the same time without suspensions of the machine. It must be called several times
// within pauseThreshold, from one goroutine.
func (p *Pauses) Tick(now, awake ident.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pause := now.Sub(p.last); p.last != 0 && pause > pauseThreshold {
		p.start, p.end = p.last, now
		p.suspended = p.wasSuspended(now, awake)
	}
	p.last, p.lastAwake = now, awake
}

// Arrived returns the earliest time at which a call that is handled at now may have reached this machine; awake is now without suspensions.
// The kernel tells it for a TCP connection, unless the machine was suspended, when its clock stood still. Otherwise the call may have come at
// the start of a pause that has just ended.
func (p *Pauses) Arrived(ctx context.Context, now, awake ident.Time) ident.Time {
	at, known := arrived(ctx, now)
	start, suspended, paused := p.pause(now, awake)
	if paused && (!known || suspended) {
		return min(at, start)
	}
	return at
}

// pause returns the start of a pause that has just ended, and whether the machine was suspended in it.
func (p *Pauses) pause(now, awake ident.Time) (start ident.Time, suspended, paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last != 0 && now.Sub(p.last) > pauseThreshold {
		// The tick that ends the pause is still to come.
		return p.last, p.wasSuspended(now, awake), true
	}
	return p.start, p.suspended, p.end != 0 && now.Sub(p.end) < pauseSettle
}

// wasSuspended reports whether the machine was suspended since the latest tick.
func (p *Pauses) wasSuspended(now, awake ident.Time) bool {
	return now.Sub(p.last)-awake.Sub(p.lastAwake) > pauseThreshold
}
