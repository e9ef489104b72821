package takeover

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// endMargin is the time after a departure in which the upstream may still receive writes, since it announces its end before it ends.
	endMargin = time.Second
	// floorInterval is the interval at which the primary's position is read until that succeeds.
	floorInterval = 400 * time.Millisecond
)

// Departure is an upstream, or an earlier start of one, that is not a member any more and whose log no member has taken over. It may hold
// writes that are acknowledged and that no member has received.
type Departure struct {
	Upstream ident.Upstream
	// Primary is set if it announced itself as the primary last. It is then none of the replicas that a write has waited for.
	Primary bool
	// At is when this host recorded the departure.
	At ident.Time
}

// floor is a position which contains every write that was acknowledged before at. Departures before at don't matter for an upstream whose
// log reaches the position.
type floor struct {
	position ident.Position
	at       ident.Time
	// nextRead is the earliest time of the next reading of the primary's position.
	nextRead ident.Time
	// ordered is the position that the successor had when it was ordered to lead. One from the control log counts once the successor
	// announces itself as the primary, since the order may not have been executed.
	ordered   ident.Position
	successor ident.Upstream
}

// SetDepartures sets the departures that the directory knows.
func (d *Decider) SetDepartures(departures []Departure) {
	d.departures = departures
}

// FloorDue reports whether the primary's position should be read now, because upstreams have departed since the last reading or this
// leader has not read it yet. It counts the reading as begun.
func (d *Decider) FloorDue(now ident.Time) bool {
	due := d.floor.at == 0 || slices.ContainsFunc(d.departures, func(left Departure) bool {
		return left.At > d.floor.at && now.Sub(left.At) >= endMargin
	})
	if !due || d.primary == "" || now < d.floor.nextRead {
		return false
	}
	d.floor.nextRead = now.Add(floorInterval)
	return true
}

// SetFloor records the position of an upstream that led the group at the time at or later.
func (d *Decider) SetFloor(at ident.Time, primary ident.Upstream, position ident.Position) {
	if primary != d.primary {
		return
	}
	if primary == d.floor.successor && position.LSN == d.floor.ordered.LSN {
		// It has written nothing since, and replicas report the term of their last write.
		position = d.floor.ordered
	}
	// The primary may have lost its log and started again, so a lower position counts too.
	d.floor.position, d.floor.at = position, at.Add(-endMargin)
}

// confirmOrder raises the floor to the position at which the successor of the latest order began to lead.
func (d *Decider) confirmOrder() {
	if d.primary == d.floor.successor && d.floor.at == 0 {
		d.floor.position = d.floor.ordered
	}
}

// heir returns the member that has taken over the log of the primary, which has left as planned, or an empty name. A leader that knows of no
// primary has found no order in the control log, so none but the first one has led.
func (d *Decider) heir() ident.Upstream {
	for _, m := range d.members {
		if m.Succeeds != "" && (d.primary == "" || m.Succeeds == d.primary) {
			return m.Upstream
		}
	}
	return ""
}

// departedReplicas returns the number of departures since the floor that may hold an acknowledged write besides the primary.
func (d *Decider) departedReplicas(primary ident.Upstream) int {
	listed := d.member(primary) != nil
	n := 0
	for _, left := range d.departures {
		if left.At > d.floor.at && !left.Primary && (listed || left.Upstream != primary) {
			n++
		}
	}
	return n
}
