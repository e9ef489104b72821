package control

import (
	"fmt"

	"tamarackshunt.dev/fleet/ident"
)

// NotLeaderError is returned for a message to a control host that does not lead.
type NotLeaderError struct{}

// Error implements error.
func (*NotLeaderError) Error() string {
	return "this control host does not lead"
}

// UnconfirmedError is returned by a leader that a majority has not confirmed recently, so that another host may lead.
type UnconfirmedError struct{}

// Error implements error.
func (*UnconfirmedError) Error() string {
	return "a majority of control hosts has not confirmed this leader"
}

// HostError is returned for a sync without a host id, or from an incarnation that has ended.
type HostError struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Cause       string
}

// Error implements error.
func (e *HostError) Error() string {
	return fmt.Sprintf("host %q, incarnation %d: %s", e.Host, e.Incarnation, e.Cause)
}

// AheadError is returned for a sync of a host that knows a later version than this control host. Such a sync must not
// be answered with the older state.
type AheadError struct {
	Known   ident.Version
	Version ident.Version
}

// Error implements error.
func (e *AheadError) Error() string {
	return fmt.Sprintf("the host knows version %d of the control state, later than version %d here", e.Known, e.Version)
}
