package control

import (
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Action is what a Leader asks its process to do.
type Action interface {
	action()
}

type (
	// Propose asks for a change of the control state. The process need not handle the answer: the Leader repeats
	// proposals that are still due.
	Propose struct {
		Change *fleetpb.Change
	}
	// Record reports an event for the log of the process.
	Record struct {
		Event Event
	}
)

func (Propose) action() {}
func (Record) action()  {}

// Kind is the type of an event.
type Kind int

// Kinds of events.
const (
	KindLeader Kind = iota
	KindText
	KindZone
	KindKey
	KindAttempt
	KindPromoted
	KindMember
	KindUpstream
	KindHost
	KindEpoch
	KindRefused
	KindStatus
	KindRejected
)

//go:generate enumer -type Kind -trimprefix Kind -transform lower

// Event is an entry of the history that Explain returns.
type Event struct {
	At   ident.Time
	Kind Kind
	// Host is the host that rejected requests; it is empty for the leader's own events.
	Host ident.Host
	// Subject is a name, or several names joined by slashes, such as service/upstream.
	Subject string
	Cause   string
}
