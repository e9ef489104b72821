package clock

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Clock counts logical time from its creation; the zero Clock is not usable.
type Clock struct {
	start time.Time
}

// New returns a Clock that starts at the logical time 1, so that 0 can mean never.
func New() *Clock {
	return &Clock{start: time.Now()}
}

// Now returns the logical time, which never decreases.
func (c *Clock) Now() ident.Time {
	return ident.Time(time.Since(c.start)) + 1
}

// Until returns the time left until t, at least 0.
func (c *Clock) Until(t ident.Time) time.Duration {
	return max(0, t.Sub(c.Now()))
}
