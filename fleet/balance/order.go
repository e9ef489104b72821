package balance

import "time"

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
	var usable, avoided []int
	for i, o := range options {
		if o.Avoid {
			avoided = append(avoided, i)
		} else {
			usable = append(usable, i)
		}
	}
	near := nearest(options, usable)
	order := Order{Indexes: make([]int, 0, len(options)), Reason: ReasonNear}
	order.Indexes = appendDrawn(order.Indexes, options, times, usable, draw)
	order.Indexes = appendDrawn(order.Indexes, options, times, avoided, draw)
	if options[order.Indexes[0]].Distance > near {
		order.Reason = ReasonMoved
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
