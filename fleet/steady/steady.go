package steady

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"tamarackshunt.dev/fleet/ident"
)

// Now returns the time since the machine started, suspended time included. The clock of package time stands still while a
// machine is suspended, so that what was granted before would count as fresh when it wakes.
func Now() ident.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every kernel that runs this program; time without it would not be safe to use.
		panic(err)
	}
	return ident.Time(t.Nano())
}

// Wait returns nil after a duration, or the error of ctx when that ends first.
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
