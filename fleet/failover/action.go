package failover

import "tamarackshunt.dev/fleet/ident"

// Action is a step that a Group asks its caller to execute; it is one of the types below.
type Action interface {
	action()
}

type (
	// ProposeAttempt asks the control log to reserve a term.
	ProposeAttempt struct {
		Term  ident.Term
		Cause string
	}
	// ProposePromoted asks the control log to record the primary of a term.
	ProposePromoted struct {
		Term     ident.Term
		Upstream ident.Upstream
		// Base is the position of the upstream's last record before its promotion. The upstream's log contains every write of
		// the term of Base up to Base.
		Base ident.Position
	}
	// ProposeJoin asks the control log to add a member, or to change its address or mark it as no longer leaving.
	ProposeJoin struct {
		Member Member
	}
	// ProposeLeave asks the control log to mark a member as leaving, or to remove it.
	ProposeLeave struct {
		Upstream ident.Upstream
		Remove   bool
	}
	// Fence asks an upstream to accept nothing of older terms any more.
	Fence struct {
		Upstream ident.Upstream
		Address  string
		Term     ident.Term
	}
	// Drain asks the primary to refuse new write transactions and to finish the running ones.
	Drain struct {
		Upstream ident.Upstream
		Address  string
		Term     ident.Term
	}
	// Query asks an upstream for its state.
	Query struct {
		Upstream ident.Upstream
		Address  string
	}
	// Promote makes an upstream the primary of a term.
	Promote struct {
		Upstream ident.Upstream
		Address  string
		Term     ident.Term
	}
	// Follow makes an upstream a replica of the primary at an address.
	Follow struct {
		Upstream ident.Upstream
		Address  string
		Primary  string
		Term     ident.Term
	}
	// GiveUp reports that an attempt ended without a promotion. The next attempt starts after a pause.
	GiveUp struct {
		Term  ident.Term
		Cause string
	}
)

func (ProposeAttempt) action()  {}
func (ProposePromoted) action() {}
func (ProposeJoin) action()     {}
func (ProposeLeave) action()    {}
func (Fence) action()           {}
func (Drain) action()           {}
func (Query) action()           {}
func (Promote) action()         {}
func (Follow) action()          {}
func (GiveUp) action()          {}
