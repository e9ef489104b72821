package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

//go:generate enumer -type=Distance -trimprefix=Distance -transform=snake
//go:generate enumer -type=Reason -trimprefix=Reason -transform=snake

// Distance is how far an upstream is from the host.
type Distance int

// Distances.
const (
	DistanceZone Distance = iota
	DistanceRegion
	DistanceFar
)

// Costs of the distance to another zone and to another region: round trips, and bytes that are paid, as equivalent waiting time.
const (
	costOtherZone   = 3 * time.Millisecond
	costOtherRegion = 24 * time.Millisecond
)

func (d Distance) cost() time.Duration {
	switch d {
	case DistanceZone:
		return 0
	case DistanceRegion:
		return costOtherZone
	default:
		return costOtherRegion
	}
}

// Option is an upstream that may run a read.
type Option struct {
	Distance Distance
	// Primary is set for the primary of the group, which also serves the statements that have no choice.
	Primary bool
	// InFlight counts the host's own statements that wait or run.
	InFlight int
	// Avoid is set while the upstream is the last choice.
	Avoid  bool
	Report Report
}

// Reason is why an upstream is the first choice.
type Reason int

// Reasons.
const (
	// ReasonOwnLoad marks a choice by distance and the host's own statements.
	ReasonOwnLoad Reason = iota
	// ReasonNear marks one of the nearest upstreams that may run the read.
	ReasonNear
	// ReasonMoved marks an upstream farther away that is expected to answer earlier than the nearest ones.
	ReasonMoved
)

// Order is the order in which to try the options.
type Order struct {
	// Indexes are the options, the first choice first.
	Indexes []int
	Reason  Reason
}

// hostsPerSlot is the number of hosts for each slot from which on a host's own statements say little about an upstream's load.
const hostsPerSlot = 4

// Choose returns the order in which a host tries options. hosts is the number of hosts that choose among the same upstreams. Draw
// returns random numbers in [0, 1), so that hosts with equal reports choose differently.
func Choose(options []Option, hosts int, draw func() float64) Order {
	if !manyHosts(options, hosts) {
		return Order{Indexes: byOwnLoad(options), Reason: ReasonOwnLoad}
	}
	times := expectedTimes(options, hosts)
	var left, avoided []int
	for i := range options {
		if options[i].Avoid {
			avoided = append(avoided, i)
		} else {
			left = append(left, i)
		}
	}
	order := Order{Indexes: make([]int, 0, len(options)), Reason: ReasonNear}
	for _, left := range [][]int{left, avoided} {
		for len(left) > 0 {
			weights := weights(options, times, left)
			at := pick(weights, draw())
			if len(order.Indexes) == 0 && options[left[at]].Distance > nearest(options, left) {
				order.Reason = ReasonMoved
			}
			order.Indexes = append(order.Indexes, left[at])
			left = slices.Delete(left, at, at+1)
		}
	}
	return order
}

// manyHosts reports whether so many hosts share the slots of the options that their reports say more than a host's own statements.
func manyHosts(options []Option, hosts int) bool {
	slots, known := 0, 0
	for _, o := range options {
		if o.Report.Known {
			slots += o.Report.Load.Slots
			known++
		}
	}
	if known == 0 {
		return false
	}
	// Options without a report count like the mean of the others.
	return hosts*known >= hostsPerSlot*slots*len(options)
}

// Costs of the order by a host's own load, as equivalent waiting time.
const (
	costPerStatement = 10 * time.Millisecond
	costAvoided      = time.Second
)

// byOwnLoad orders options by distance, the host's own statements and recent failures.
func byOwnLoad(options []Option) []int {
	cost := func(o Option) time.Duration {
		cost := time.Duration(o.InFlight)*costPerStatement + o.Distance.cost()
		if o.Avoid {
			cost += costAvoided
		}
		return cost
	}
	indexes := make([]int, len(options))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortStableFunc(indexes, func(i, j int) int { return cmp.Compare(cost(options[i]), cost(options[j])) })
	return indexes
}

// Bounds of the choice of an upstream that is not the nearest.
const (
	// moveMargin is the gain in time up to which a statement stays near: the bytes that cross zones and regions are paid.
	moveMargin = 20 * time.Millisecond
	// moveScale is the gain beyond the margin at which all but 1/e of the statements leave.
	moveScale = 30 * time.Millisecond
)

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
