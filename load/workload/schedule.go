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
	// Tally counts the records of the session.
	Tally
)

// Request is the next thing that a session does.
type Request struct {
	Kind Kind
	// IDs are the new records of a write, or the one record of a Lookup.
	IDs []string
	// Host picks the entry host, modulo the number of hosts.
	Host int
}

const (
	transactionRecords = 2
	// transactionPercent is the share of transactions among writes.
	transactionPercent = 40
	// talliesPercent is the share of counts among reads.
	talliesPercent = 20
	percent        = 100
)

// Mix says what sessions do.
type Mix struct {
	// Writes is the share of writes in percent.
	Writes int
	// Plain leaves out transactions, so that each write is one statement.
	Plain bool
}

// Schedule is the sequence of requests of one session; equal seeds and names give equal schedules.
type Schedule struct {
	random *rand.Rand
	name   string
	mix    Mix
	next   int
	known  []string
}

// NewSchedule returns the schedule of the session with an index.
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
	case len(s.known) == 0 || s.random.IntN(percent) < s.mix.Writes:
		r.Kind = Insert
		n := 1
		if !s.mix.Plain && s.random.IntN(percent) < transactionPercent {
			r.Kind, n = Transaction, transactionRecords
		}
		for range n {
			s.next++
			r.IDs = append(r.IDs, fmt.Sprintf("%s.%06d", s.name, s.next))
		}
		s.known = append(s.known, r.IDs...)
	case s.random.IntN(percent) < talliesPercent:
		r.Kind = Tally
	default:
		r.Kind = Lookup
		r.IDs = []string{s.pick()}
	}
	return r
}

// pick prefers the latest records, where a stale read shows.
func (s *Schedule) pick() string {
	recent := min(len(s.known), 4)
	if s.random.IntN(percent) < percent/2 {
		return s.known[len(s.known)-1-s.random.IntN(recent)]
	}
	return s.known[s.random.IntN(len(s.known))]
}
