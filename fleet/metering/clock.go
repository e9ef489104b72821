package metering

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// sampleMaxAge is the age from which on a host's time of day is ignored. Hosts report it every ClockInterval.
	sampleMaxAge = 10 * time.Second
	// ClockInterval is the interval at which a host asks for the fleet's time.
	ClockInterval = 2 * time.Second
	// maxRoundTrip is the longest round trip after which a known offset is replaced: half of it bounds the error.
	maxRoundTrip = 150 * time.Millisecond
)

// sample is the offset of a host's time of day from the leader's steady clock at a time.
type sample struct {
	offset time.Duration
	at     ident.Time
}

// FleetClock estimates the true time from the times of day of the hosts. It uses their median, so clocks of a minority that are
// wrong or stepped change nothing. It is not safe for concurrent use.
type FleetClock struct {
	samples map[ident.Host]sample
}

// Record records a host's time of day at the leader's steady time now.
func (c *FleetClock) Record(now ident.Time, host ident.Host, timeOfDay Instant) {
	if c.samples == nil {
		c.samples = map[ident.Host]sample{}
	}
	c.samples[host] = sample{offset: timeOfDay.Sub(now), at: now}
}

// Now returns the true time at the leader's steady time now. It is unknown until most of the live hosts have reported their time of
// day: the first ones may be those whose clocks have stepped.
func (c *FleetClock) Now(now ident.Time, liveHosts int) (Instant, bool) {
	offsets := make([]time.Duration, 0, len(c.samples))
	for host, s := range c.samples {
		if now.Sub(s.at) > sampleMaxAge {
			delete(c.samples, host)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) == 0 || 2*len(offsets) <= liveHosts {
		return 0, false
	}
	slices.Sort(offsets)
	return InstantAt(now, offsets[len(offsets)/2]), true
}

// HostClock converts a host's steady time to true time. It is not safe for concurrent use.
type HostClock struct {
	// offset is the offset of the true time from the steady clock.
	offset time.Duration
	// updatedAt is when the leader's time was last received, 0 before the first time.
	updatedAt ident.Time
	halfTrip  time.Duration
}

// NewHostClock returns a clock that uses the host's time of day until the fleet's time is known.
func NewHostClock(now ident.Time, timeOfDay Instant) *HostClock {
	return &HostClock{offset: timeOfDay.Sub(now)}
}

// At returns the true time at a steady time.
func (c *HostClock) At(now ident.Time) Instant {
	return InstantAt(now, c.offset)
}

// Due reports whether the fleet's time should be requested.
func (c *HostClock) Due(now ident.Time) bool {
	return c.updatedAt == 0 || now.Sub(c.updatedAt) >= ClockInterval
}

// OnArrival returns the time of day as it will be when a request that is sent now arrives.
func (c *HostClock) OnArrival(timeOfDay Instant) Instant {
	return timeOfDay.Add(c.halfTrip)
}

// Set records the fleet's time from a response.
func (c *HostClock) Set(sentAt, receivedAt ident.Time, fleet Instant) {
	trip := receivedAt.Sub(sentAt)
	if trip > maxRoundTrip && c.updatedAt != 0 {
		return
	}
	c.halfTrip = trip / 2
	c.offset = fleet.Add(c.halfTrip).Sub(receivedAt)
	c.updatedAt = receivedAt
}
