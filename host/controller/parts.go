package controller

import (
	"context"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/replica"
)

// Log is the replicated control log. It applies committed changes to the state machine that Controller.Machine returns.
type Log interface {
	// Propose appends a change and returns the state machine's answer once it is applied. After an error the change may
	// still be applied.
	Propose(ctx context.Context, change *fleetpb.Change) (proto.Message, error)
	// Leadership returns the leadership as this control host knows it now.
	Leadership() replica.Leadership
	// Members returns the voters and learners, or nil before the log is bootstrapped.
	Members() *fleetpb.Voters
}

// Part is a component of the control leader that another package implements. Its methods are called in order, one at a
// time, and must neither wait for a proposal nor call the Controller.
type Part interface {
	// SetLeadership reports whether this host leads. It is called when that changes, and before any other call under a new
	// leadership.
	SetLeadership(now ident.Time, leadership control.Leadership)
	// SetState passes the configuration text in force and the groups of its services. It is called after SetLeadership and
	// after each change of the state.
	SetState(now ident.Time, text *fleetpb.Text, groups []*fleetpb.Group)
}

// Failover decides on the primaries and the members of groups.
type Failover interface {
	Part
	// Observed records a host's observations of upstreams.
	Observed(now ident.Time, host ident.Host, zone ident.Zone, observed []*fleetpb.Observed)
	// Announced records an announcement that was accepted.
	Announced(now ident.Time, request *fleetpb.AnnounceRequest)
}

// Tokens owns the rates and bursts of teams and lends their tokens. Borrow may be called concurrently with its other methods.
type Tokens interface {
	Part
	Borrow(now ident.Time, request *fleetpb.BorrowRequest) *fleetpb.BorrowResponse
}

// Connections divides the connections of upstreams among hosts.
type Connections interface {
	Part
	// Allot records a host's demand and returns the connections that it may open; live lists the hosts with a lease.
	Allot(now ident.Time, request *fleetpb.SyncRequest, live []*fleetpb.Alive) []*fleetpb.Allotment
}

// Parts holds the components that the Controller passes messages to; each may be nil.
type Parts struct {
	Failover    Failover
	Tokens      Tokens
	Connections Connections
}

func (p Parts) all() []Part {
	var all []Part
	if p.Failover != nil {
		all = append(all, p.Failover)
	}
	if p.Tokens != nil {
		all = append(all, p.Tokens)
	}
	if p.Connections != nil {
		all = append(all, p.Connections)
	}
	return all
}
