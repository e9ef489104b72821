package control

import (
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// maxEvents is the number of events that one eventRing holds for Explain.
const maxEvents = 2048

// eventRing holds the latest events.
type eventRing struct {
	events []Event
	// oldest is the index of the oldest event once the ring is full.
	oldest int
}

func (r *eventRing) add(event Event) {
	if len(r.events) < maxEvents {
		r.events = append(r.events, event)
		return
	}
	r.events[r.oldest] = event
	r.oldest = (r.oldest + 1) % maxEvents
}

// find returns the events about a subject, oldest first.
func (r *eventRing) find(subject string) []Event {
	var found []Event
	for i := range r.events {
		event := r.events[(r.oldest+i)%len(r.events)]
		if concerns(event, subject) {
			found = append(found, event)
		}
	}
	return found
}

// recordRejections adds the requests that a host rejected. It returns no Record, since the host counts rejections and
// they are not logged.
func (l *Leader) recordRejections(now ident.Time, host ident.Host, rejections []*fleetpb.Event) {
	for _, r := range rejections {
		l.rejections.add(Event{At: now, Kind: KindRejected, Host: host, Subject: r.GetSubject(), Cause: r.GetCause()})
	}
}
