package limit

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// demand counts requests in time slots and predicts the requests of the next horizon.
type demand struct {
	slots [demandSlots]int64
	// slot is the number of the newest slot.
	slot int64
	// prefetch is the minimum prediction until recentUse after the last request, whose time is last.
	prefetch int64
	last     ident.Time
}

const (
	demandSlots = 8
	demandSlot  = 50 * time.Millisecond
	// demandWindow is the time over which requests are counted.
	demandWindow = demandSlots * demandSlot
	// recentUse is the time after a request for which the next one is expected soon.
	recentUse = time.Second
)

// count adds a request.
func (d *demand) count(now ident.Time) {
	d.advance(now)
	d.slots[d.slot%demandSlots]++
	d.last = now
}

// predict returns the number of requests in the next horizon, from the mean of the last 400 ms, rounded down. A host
// with less than one request per horizon therefore borrows on demand only, so that it does not hold tokens that
// others lack, unless prefetch is set.
func (d *demand) predict(now ident.Time) int64 {
	predicted := d.predictMeasured(now)
	if d.last != 0 && now.Sub(d.last) < recentUse {
		predicted = max(predicted, d.prefetch)
	}
	return predicted
}

// predictMeasured returns the prediction without the prefetch.
func (d *demand) predictMeasured(now ident.Time) int64 {
	return d.measured(now) * int64(horizon) / int64(demandWindow)
}

// measured returns the number of requests in the last demandWindow.
func (d *demand) measured(now ident.Time) int64 {
	d.advance(now)
	var sum int64
	for _, n := range d.slots {
		sum += n
	}
	return sum
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
