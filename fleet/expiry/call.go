package expiry

import (
	"context"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
)

// Response is the response to a call with a deadline.
type Response interface {
	GetClock() *fleetpb.Clock
	// GetLate reports that the call was not carried out because of its deadline.
	GetLate() bool
}

// Call makes a call, with a deadline, to the process at an address. If that process refuses it although the sender still waits, the reading
// that it was based on was missing, old or from an earlier process, and Call makes it once more with the reading in the response. It returns
// a LateError if the call was not carried out.
func Call[T Response](ctx context.Context, readings *Readings, address string, until ident.Time, call func(*fleetpb.Deadline) (T, error)) (T, error) {
	const attempts = 2
	var response T
	for range attempts {
		now := steady.Now()
		if ctx.Err() != nil || now > until {
			break
		}
		var err error
		if response, err = call(readings.Deadline(now, address, until)); err != nil {
			return response, err
		}
		readings.Record(steady.Now(), address, response.GetClock())
		if !response.GetLate() {
			return response, nil
		}
	}
	return response, &LateError{By: max(0, steady.Now().Sub(until))}
}
