package history

import (
	"sync"

	"tamarackshunt.dev/fleet/ident"
)

// Outcome is the result of a write as far as its client can determine it.
type Outcome int

// Outcomes of writes.
const (
	// Acknowledged writes were answered as done.
	Acknowledged Outcome = iota
	// NotRun writes were rejected with an error that guarantees that they did not run.
	NotRun
	// Unknown writes got no answer, or one from which the client cannot determine whether they ran.
	Unknown
	// Duplicate writes were rejected because the record already existed.
	Duplicate
)

// Event is a Write, Read or Count.
type Event interface {
	event()
}

// Span holds an event's sequence numbers: Start is assigned before its request is sent, End after its answer arrives.
type Span struct {
	Start, End uint64
}

type (
	// Write is an attempt to add records atomically: either all of them or none.
	Write struct {
		Span
		Session ident.Session
		IDs     []string
		// Counted reports whether the write also adds its number of records to the session's counter.
		Counted bool
		Outcome Outcome
		// At is when the answer arrived, for LongestGap.
		At ident.Time
		// Cause is the error that the client got, for reports.
		Cause string
	}
	// Read is a look-up of one record by id that returned Found rows.
	Read struct {
		Span
		Session ident.Session
		ID      string
		Found   int
		// At is when the answer arrived.
		At ident.Time
	}
	// Count is a query for the number of records of its session, which returned Found.
	Count struct {
		Span
		Session ident.Session
		Found   int
	}
)

func (Write) event() {}
func (Read) event()  {}
func (Count) event() {}

// FinalState holds the records and counters that services store after all clients have stopped.
type FinalState struct {
	// Rows holds the number of rows by record id.
	Rows map[string]int
	// Counters holds the counters by session.
	Counters map[ident.Session]int
}

// NewFinalState returns a FinalState without rows.
func NewFinalState() *FinalState {
	return &FinalState{Rows: make(map[string]int), Counters: make(map[ident.Session]int)}
}

// Log collects the events of concurrent clients.
type Log struct {
	mutex        sync.Mutex
	lastSequence uint64
	events       []Event
}

// NextSequence returns the next sequence number for a Span.
func (l *Log) NextSequence() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastSequence++
	return l.lastSequence
}

// Add appends an event.
func (l *Log) Add(event Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events = append(l.events, event)
}

// Events returns a copy of the events added so far.
func (l *Log) Events() []Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Event(nil), l.events...)
}
