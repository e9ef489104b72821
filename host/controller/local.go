package controller

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Local is a control log of a single host that keeps nothing on disk and always leads.
type Local struct {
	mu      sync.Mutex
	index   uint64
	host    *fleetpb.Voter
	machine *Machine
	clock   func() ident.Time
	since   ident.Time
}

// NewLocal returns a log that applies changes to machine; host and peer name its only member.
func NewLocal(host ident.Host, peer string, machine *Machine, clock func() ident.Time) *Local {
	return &Local{host: &fleetpb.Voter{Host: string(host), Peer: peer}, machine: machine, clock: clock, since: clock()}
}

// Propose applies a change at once.
func (l *Local) Propose(ctx context.Context, change *fleetpb.Change) (proto.Message, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, change), nil
}

// Leadership says that this host leads.
func (l *Local) Leadership() Leadership {
	return Leadership{
		Leader:    l.host.GetPeer(),
		Host:      ident.Host(l.host.GetHost()),
		Term:      1,
		Leads:     true,
		Confirmed: true,
		Since:     l.since,
		Until:     l.clock().Add(control.Lease),
	}
}

// Members returns the only member.
func (l *Local) Members() *fleetpb.Voters {
	return &fleetpb.Voters{Voters: []*fleetpb.Voter{l.host}}
}
