package admission

import (
	"math"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// meterTime is the time constant of a meter.
const meterTime = time.Second

// meter measures the rate of events with exponential decay.
type meter struct {
	count float64
	at    ident.Time
}

func (m *meter) add(now ident.Time) {
	m.count = m.decayed(now) + 1
	m.at = now
}

// rate returns the events per second.
func (m *meter) rate(now ident.Time) float64 {
	return m.decayed(now) / meterTime.Seconds()
}

func (m *meter) decayed(now ident.Time) float64 {
	return m.count * math.Exp(-float64(max(0, now.Sub(m.at)))/float64(meterTime))
}
