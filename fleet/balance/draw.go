package balance

import (
	"math"
	"slices"
	"time"
)

// Bounds of the choice of an upstream that is not the nearest.
const (
	// moveMargin is the gain in time up to which a statement stays near: the bytes that cross zones and regions are paid.
	moveMargin = 20 * time.Millisecond
	// moveScale is the gain beyond the margin at which all but 1/e of the statements leave.
	moveScale = 30 * time.Millisecond
)

// appendDrawn appends options to an order, each drawn from those that are left. It changes left.
func appendDrawn(order []int, options []Option, times []time.Duration, left []int, draw func() float64) []int {
	for len(left) > 0 {
		at := pick(weights(options, times, left), draw())
		order = append(order, left[at])
		left = slices.Delete(left, at, at+1)
	}
	return order
}

// weights returns the probabilities with which each of the options left is chosen, up to a common factor. The nearest options share
// what stays near by their expected times; those that are farther away share the rest by how much earlier they are expected to answer.
func weights(options []Option, times []time.Duration, left []int) []float64 {
	near := nearest(options, left)
	nearTime, bestTime := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, i := range left {
		bestTime = min(bestTime, times[i])
		if options[i].Distance == near {
			nearTime = min(nearTime, times[i])
		}
	}
	stay := 1.0
	if gain := nearTime - bestTime - moveMargin; gain > 0 {
		stay = math.Exp(-gain.Seconds() / moveScale.Seconds())
	}
	list := make([]float64, len(left))
	var nearSum, farSum float64
	for at, i := range left {
		if options[i].Distance == near {
			list[at] = math.Exp(-(times[i] - nearTime).Seconds() / moveScale.Seconds())
			nearSum += list[at]
		} else {
			list[at] = max(0, (nearTime - times[i] - moveMargin).Seconds())
			farSum += list[at]
		}
	}
	for at, i := range left {
		switch {
		case options[i].Distance == near:
			list[at] *= stay / nearSum
		case farSum > 0:
			list[at] *= (1 - stay) / farSum
		}
	}
	return list
}

// nearest returns the least distance of the options left.
func nearest(options []Option, left []int) Distance {
	near := DistanceFar
	for _, i := range left {
		near = min(near, options[i].Distance)
	}
	return near
}

// pick returns the index that a random number in [0, 1) selects with the given weights.
func pick(weights []float64, drawn float64) int {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	drawn *= sum
	last := 0
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		if drawn < w {
			return i
		}
		drawn -= w
		last = i
	}
	return last
}
