package ident

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Host is the id of one machine of the fleet, from its settings.
type Host string

// Incarnation identifies one start of a host. A higher number is usually a later start, but not if the host's clock was stepped
// back in between.
type Incarnation uint64

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region.
type Region string

// Team is the name of a tenant.
type Team string

// User is the user name in a caller's startup message, which is part of the session's identity.
type User string

// Service is the name of a service and of its database group.
type Service string

// Route is a database name that callers use to reach a service.
type Route string

// Upstream is the id of one member of a database group, unique within its service.
type Upstream string

// KeyID is the public part of a key.
type KeyID string

// Term numbers the successive primaries of a group; 0 is before the first promotion.
type Term uint64

// LSN is a byte position in the log of an upstream, as PostgreSQL counts it.
type LSN uint64

// Version numbers the changes of the control state.
type Version uint64

// Epoch numbers the successive keeper sets; the keepers are the hosts that store session positions.
type Epoch uint64

// Time is a time in nanoseconds since an arbitrary start; only differences are meaningful.
type Time int64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d)
}

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t - u)
}

// Session identifies the requests of one user to a service, whichever host receives them.
type Session struct {
	Service Service
	Team    Team
	User    User
}

// String returns the session as service/team/user.
func (s Session) String() string {
	return string(s.Service) + "/" + string(s.Team) + "/" + string(s.User)
}

// Position is a log position under a term.
type Position struct {
	Term Term
	LSN  LSN
}

// Covers reports whether data at p includes everything acknowledged at q.
func (p Position) Covers(q Position) bool {
	return p.Term >= q.Term && p.LSN >= q.LSN
}

// Join returns the lowest position that covers both p and q.
func (p Position) Join(q Position) Position {
	return Position{Term: max(p.Term, q.Term), LSN: max(p.LSN, q.LSN)}
}

// Less compares the positions of the last records of two logs, first by term and then by LSN, as promotion does.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.LSN < q.LSN
}

// String returns the position as term/lsn in hexadecimal, the form that upstreams report.
func (p Position) String() string {
	return fmt.Sprintf("%X/%X", uint64(p.Term), uint64(p.LSN))
}

// ParsePosition reads a position in the form of Position.String, or returns a BadParameter error.
func ParsePosition(text string) (Position, error) {
	term, lsn, found := strings.Cut(text, "/")
	if !found {
		return Position{}, trace.BadParameter("position %q is not of the form term/lsn", text)
	}
	termNumber, err := strconv.ParseUint(term, 16, 64)
	if err != nil {
		return Position{}, trace.BadParameter("position %q has no hexadecimal term", text)
	}
	lsnNumber, err := strconv.ParseUint(lsn, 16, 64)
	if err != nil {
		return Position{}, trace.BadParameter("position %q has no hexadecimal lsn", text)
	}
	return Position{Term: Term(termNumber), LSN: LSN(lsnNumber)}, nil
}
