package history

import (
	"sync"

	"tamarackshunt.dev/fleet/ident"
)

// Outcome is what a client knows of a write after its answer.
type Outcome int

// Outcomes of writes.
const (
	// Acknowledged writes were answered as done.
	Acknowledged Outcome = iota
	// NotRun writes were rejected with the promise that they did not run.
	NotRun
	// Unknown writes got no answer, or one that leaves the outcome open.
	Unknown
	// Duplicate writes were rejected because the record was there already.
	Duplicate
)

// Event is one of the event types of this package.
type Event interface {
	event()
}

// Span is the order of an event: Start is taken before its request is sent, End after its answer.
type Span struct {
	Start, End uint64
}

type (
	// Write is an attempt to add records; all are added or none.
	Write struct {
		Span
		Session ident.Session
		IDs     []string
		// Counted writes add their number of records to the session's counter too.
		Counted bool
		Outcome Outcome
		// At is when the answer came, for the gap between acknowledged writes.
		At ident.Time
		// Cause is the error that the client got, for reports.
		Cause string
	}
	// Read looked up one record by id and saw Found rows.
	Read struct {
		Span
		Session ident.Session
		ID      string
		Found   int
		// At is when the answer came.
		At ident.Time
	}
	// Count counted the records of its session.
	Count struct {
		Span
		Session ident.Session
		Found   int
	}
)

func (Write) event() {}
func (Read) event()  {}
func (Count) event() {}

// Final is what a service held once all clients had ended.
type Final struct {
	// Rows counts the rows of each record.
	Rows map[string]int
	// Counters holds the counter of each session.
	Counters map[ident.Session]int
}

// NewFinal returns a Final without rows.
func NewFinal() *Final {
	return &Final{Rows: make(map[string]int), Counters: make(map[ident.Session]int)}
}

// Log collects events from many clients.
type Log struct {
	mutex  sync.Mutex
	next   uint64
	events []Event
}

// Tick returns the next number of the order of events.
func (l *Log) Tick() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.next++
	return l.next
}

// Add appends an event.
func (l *Log) Add(event Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events = append(l.events, event)
}

// Events returns a copy of the events so far.
func (l *Log) Events() []Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Event(nil), l.events...)
}
