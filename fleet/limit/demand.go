package limit

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// demand counts requests in slots of logical time and predicts those of the next horizon.
type demand struct {
	slots [demandSlots]int64
	// slot is the number of the newest slot.
	slot int64
	// prefetch is the least prediction until recent after the last request, which came at last.
	prefetch int64
	last     ident.Time
}

const (
	demandSlots = 8
	demandSlot  = 50 * time.Millisecond
	// recent is the time after a request for which the next one is expected soon.
	recent = time.Second
)

// count adds a request.
func (d *demand) count(now ident.Time) {
	d.advance(now)
	d.slots[d.slot%demandSlots]++
	d.last = now
}

// next returns the requests that the mean of the last 400 ms predicts, rounded down: a host with less than one request
// in the horizon borrows on demand only, so that hosts with few requests do not hold tokens that others lack, unless it is told
// to borrow some ahead.
func (d *demand) next(now ident.Time) int64 {
	d.advance(now)
	var sum int64
	for _, n := range d.slots {
		sum += n
	}
	predicted := sum * int64(horizon) / int64(demandSlots*demandSlot)
	if d.last != 0 && now.Sub(d.last) < recent {
		predicted = max(predicted, d.prefetch)
	}
	return predicted
}

func (d *demand) advance(now ident.Time) {
	slot := int64(now) / int64(demandSlot)
	if slot-d.slot >= demandSlots {
		d.slots, d.slot = [demandSlots]int64{}, slot
		return
	}
	for d.slot < slot {
		d.slot++
		d.slots[d.slot%demandSlots] = 0
	}
}
