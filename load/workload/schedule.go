package workload

import (
	"fmt"
	"math/rand/v2"

	"tamarackshunt.dev/fleet/ident"
)

// Kind is what a request does.
type Kind int

// Kinds of requests.
const (
	// Insert adds one record in a statement of its own.
	Insert Kind = iota
	// Transaction adds two records and their number to the session's counter.
	Transaction
	// Lookup reads one earlier record of the session by id.
	Lookup
	// Count counts the records of the session.
	Count
)

// Request is one request of a session.
type Request struct {
	Kind Kind
	// IDs are the ids of the new records of a write, or of the one record of a Lookup.
	IDs []string
	// Host is a random number that selects the entry host.
	Host int
}

const (
	transactionRecords = 2
	// transactionPercent is the share of transactions among writes.
	transactionPercent = 40
	// countPercent is the share of counts among reads.
	countPercent = 20
	percent      = 100
)

// Mix holds the proportions of the kinds of requests.
type Mix struct {
	// Writes is the share of writes in percent.
	Writes int
	// NoTransactions makes each write a single statement.
	NoTransactions bool
}

// Schedule generates the requests of one session; equal arguments of NewSchedule give equal sequences.
type Schedule struct {
	random  *rand.Rand
	name    string
	mix     Mix
	next    int
	written []string
}

// NewSchedule returns the schedule of a session; index is its place among the sessions of the run.
func NewSchedule(seed uint64, index int, session ident.Session, mix Mix) *Schedule {
	return &Schedule{
		random: rand.New(rand.NewPCG(seed, uint64(index))),
		name:   fmt.Sprintf("%s.%s.%s.%d", session.Service, session.Team, session.User, seed),
		mix:    mix,
	}
}

// Next returns the next request.
func (s *Schedule) Next() Request {
	r := Request{Host: s.random.IntN(1 << 16)}
	switch {
	case len(s.written) == 0 || s.random.IntN(percent) < s.mix.Writes:
		r.Kind = Insert
		n := 1
		if !s.mix.NoTransactions && s.random.IntN(percent) < transactionPercent {
			r.Kind, n = Transaction, transactionRecords
		}
		for range n {
			s.next++
			r.IDs = append(r.IDs, fmt.Sprintf("%s.%06d", s.name, s.next))
		}
		s.written = append(s.written, r.IDs...)
	case s.random.IntN(percent) < countPercent:
		r.Kind = Count
	default:
		r.Kind = Lookup
		r.IDs = []string{s.pickWritten()}
	}
	return r
}

// pickWritten returns the id of an earlier record. It prefers the latest ones, for which a stale read is most likely.
func (s *Schedule) pickWritten() string {
	recent := min(len(s.written), 4)
	if s.random.IntN(percent) < percent/2 {
		return s.written[len(s.written)-1-s.random.IntN(recent)]
	}
	return s.written[s.random.IntN(len(s.written))]
}
