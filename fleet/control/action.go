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
	// Propose asks for a change of the control state. Its answer needs no handling: the Leader proposes again what is
	// still due.
	Propose struct {
		Change *fleetpb.Change
	}
	// Record reports a change for the log of the process.
	Record struct {
		Event Event
	}
)

func (Propose) action() {}
func (Record) action()  {}

// Kind says what an event is about.
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

// Event is a change that Explain reports.
type Event struct {
	At   ident.Time
	Kind Kind
	// Host is the host that rejected requests; empty for the leader's own events.
	Host ident.Host
	// Subject is a name or several joined by slashes, such as service/upstream.
	Subject string
	Cause   string
}
