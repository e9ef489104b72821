package decay_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/decay"
	"tamarackshunt.dev/fleet/ident"
)

// Guards against amounts that don't fade, fade twice when the sum is read, or grow when the time runs backwards.
func TestSum(t *testing.T) {
	const window = 2 * time.Second
	var s decay.Sum
	now := ident.Time(time.Hour)
	s.Add(now, window, 3)
	require.InDelta(t, 3, s.At(now.Add(-time.Second), window), 1e-9)
	later := now.Add(window)
	for range 2 {
		require.InDelta(t, 3/math.E, s.At(later, window), 1e-9)
	}
	s.Add(later, window, 1)
	require.InDelta(t, (3/math.E+1)/2, s.Rate(later, window), 1e-9)
}
