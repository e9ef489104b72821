package decay

import (
	"math"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Sum adds amounts whose weight decays exponentially with their age. The zero value is empty. It isn't safe for concurrent use.
type Sum struct {
	// value is the sum as of at.
	value float64
	at    ident.Time
}

// Add adds an amount to a sum whose parts lose 1 - 1/e of their weight in a window.
func (s *Sum) Add(now ident.Time, window time.Duration, amount float64) {
	s.value = s.At(now, window) + amount
	s.at = now
}

// At returns the sum as of a time.
func (s *Sum) At(now ident.Time, window time.Duration) float64 {
	return s.value * math.Exp(-float64(max(0, now.Sub(s.at)))/float64(window))
}

// Rate returns the amount per second over a window.
func (s *Sum) Rate(now ident.Time, window time.Duration) float64 {
	return s.At(now, window) / window.Seconds()
}
