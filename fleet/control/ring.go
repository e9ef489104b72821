package control

import (
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// eventsKept is the number of events that one ring holds for Explain.
const eventsKept = 2048

// ring holds the latest events.
type ring struct {
	events []Event
	// oldest is the index of the oldest event once the ring is full.
	oldest int
}

func (r *ring) add(event Event) {
	if len(r.events) < eventsKept {
		r.events = append(r.events, event)
		return
	}
	r.events[r.oldest] = event
	r.oldest = (r.oldest + 1) % eventsKept
}

// about returns the events about a subject, oldest first.
func (r *ring) about(subject string) []Event {
	var found []Event
	for i := range r.events {
		event := r.events[(r.oldest+i)%len(r.events)]
		if about(event, subject) {
			found = append(found, event)
		}
	}
	return found
}

// reject keeps what a host rejected. It makes no Record, since rejections are counted on the host and not logged.
func (l *Leader) reject(now ident.Time, host ident.Host, rejections []*fleetpb.Event) {
	for _, r := range rejections {
		l.rejections.add(Event{At: now, Kind: KindRejected, Host: host, Subject: r.GetSubject(), Cause: r.GetCause()})
	}
}
