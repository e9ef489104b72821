package budget

import (
	"fmt"

	"tamarackshunt.dev/fleet/ident"
)

//go:generate enumer -type=Phase -trimprefix=Phase -transform=snake -output=phase_enumer.go
//go:generate enumer -type=Reason -trimprefix=Reason -transform=snake -output=reason_enumer.go

// Phase is what a holder's connection is doing.
type Phase int

// Phases.
const (
	// PhaseStarting is before a connection is authenticated.
	PhaseStarting Phase = iota
	PhaseIdle
	// PhaseOpen is between the requests of a transaction, which would be lost with the connection.
	PhaseOpen
	// PhaseReading is between the beginning and the end of a message.
	PhaseReading
	// PhaseBusy is while a request runs; such a holder is never closed for another.
	PhaseBusy
	// PhaseWriting is while an answer is sent.
	PhaseWriting
)

// Reason is why something is refused or closed.
type Reason int

// Reasons.
const (
	// ReasonConnections is a listener with as many connections as it may have.
	ReasonConnections Reason = iota
	// ReasonTotal, ReasonSession, ReasonAddress and ReasonTeam name the limit that would be exceeded.
	ReasonTotal
	ReasonSession
	ReasonAddress
	ReasonTeam
	// ReasonFirst is a first message that is too long.
	ReasonFirst
)

// RefusedError reports bytes or a connection that an account refuses.
type RefusedError struct{ Reason Reason }

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the host's limit is reached: %s", e.Reason)
}

// Listener is a group of connections whose number is limited.
type Listener struct {
	Name  string
	Limit int
	// Share is the largest share of one connection, or 0 for Limits.Session.
	Share Bytes
}

// Holder is a connection that holds bytes of an account.
type Holder struct {
	// number orders holders by their openings.
	number   uint64
	listener string
	address  string
	team     ident.Team
	phase    Phase
	// since is when the phase began.
	since ident.Time
	// held is what it has taken beyond BaseBytes.
	held Bytes
	// share is the most that it may hold.
	share Bytes
	// closed is set when the holder has been closed or has to be; it holds nothing from then on.
	closed bool
}

// Held returns what the holder has taken.
func (h *Holder) Held() Bytes { return h.held }

// Phase returns what the holder's connection is doing.
func (h *Holder) Phase() Phase { return h.phase }
