package steady

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"tamarackshunt.dev/fleet/ident"
)

// Now returns the time since the system booted, including suspended time. The monotonic clock of package time stops during
// suspension, so a lease granted before it would still count as valid after resuming.
func Now() ident.Time {
	return read(unix.CLOCK_BOOTTIME)
}

// Awake returns the time since the system booted without suspended time. It differs from Now by the length of all suspensions.
func Awake() ident.Time {
	return read(unix.CLOCK_MONOTONIC)
}

func read(clock int32) ident.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		// Every kernel that runs this program has the clock; no other clock would be safe to use instead.
		panic(err)
	}
	return ident.Time(t.Nano())
}

// Wait returns nil after a duration, or the error of ctx when ctx ends first.
func Wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
