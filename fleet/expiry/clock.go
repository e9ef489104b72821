package expiry

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// LateError reports a call that is not carried out, since its sender may not wait for it any more.
type LateError struct {
	// By is how long ago the sender stopped waiting; 0 if its deadline can't be compared with the receiver's clock.
	By time.Duration
}

// Error implements error.
func (e *LateError) Error() string {
	if e.By == 0 {
		return "the deadline of the call can't be compared with the receiver's clock"
	}
	return fmt.Sprintf("the sender of the call stopped waiting %v ago", e.By.Round(time.Millisecond))
}

// Clock is the clock of one process, by which the senders of calls to it state their deadlines.
type Clock struct{ id uint64 }

// NewClock returns a clock with a random id.
func NewClock() *Clock {
	var raw [8]byte
	// The function never returns an error.
	_, _ = rand.Read(raw[:])
	// 0 stands for an unknown clock.
	return &Clock{id: max(1, binary.BigEndian.Uint64(raw[:]))}
}

// Reading returns a reading of the clock for the senders of calls.
func (c *Clock) Reading(now ident.Time) *fleetpb.Clock {
	return &fleetpb.Clock{Id: c.id, NowUs: micros(now)}
}

// Until returns the time of a call's deadline. It returns a LateError if that has passed or refers to another clock.
func (c *Clock) Until(now ident.Time, deadline *fleetpb.Deadline) (ident.Time, error) {
	if deadline.GetClock() != c.id {
		return 0, &LateError{}
	}
	until := fromMicros(deadline.GetUntilUs())
	if now > until {
		return 0, &LateError{now.Sub(until)}
	}
	return until, nil
}

func micros(t ident.Time) int64 {
	return int64(t) / int64(time.Microsecond)
}

func fromMicros(us int64) ident.Time {
	return ident.Time(us * int64(time.Microsecond))
}

// maxDrift bounds how much the clocks of two hosts drift apart, per second. It is far above the drift of quartz clocks, about 50 µs.
const maxDrift = 500 * time.Microsecond

// Readings are the latest readings of other processes' clocks. Its methods are safe for concurrent use.
type Readings struct {
	mu        sync.Mutex
	byAddress map[string]reading
}

// reading is what is known of a clock: at the local time at, it showed ahead more than the local one or later.
type reading struct {
	id    uint64
	ahead time.Duration
	at    ident.Time
}

// NewReadings returns no readings.
func NewReadings() *Readings {
	return &Readings{byAddress: map[string]reading{}}
}

// Record records a reading, which may be nil, that was received at now from the process at an address. A reading that was long under way says
// less than an earlier one that was not.
func (r *Readings) Record(now ident.Time, address string, clock *fleetpb.Clock) {
	if clock.GetId() == 0 {
		return
	}
	next := reading{id: clock.GetId(), ahead: fromMicros(clock.GetNowUs()).Sub(now), at: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byAddress[address]; known.id == next.id && known.aheadAt(now) >= next.ahead {
		return
	}
	r.byAddress[address] = next
}

// aheadAt returns how much the clock is at least ahead of the local one at now.
func (r reading) aheadAt(now ident.Time) time.Duration {
	return r.ahead - time.Duration(now.Sub(r.at).Seconds()*float64(maxDrift))
}

// Deadline returns the deadline of a call to the process at an address whose sender waits until a time. By the receiver's clock it is never
// later. If no reading of that clock is known, the receiver refuses the call with one.
func (r *Readings) Deadline(now ident.Time, address string, until ident.Time) *fleetpb.Deadline {
	r.mu.Lock()
	known := r.byAddress[address]
	r.mu.Unlock()
	return &fleetpb.Deadline{Clock: known.id, UntilUs: micros(until.Add(known.aheadAt(max(now, until))))}
}
