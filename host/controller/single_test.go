package controller_test

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/controller"
	"tamarackshunt.dev/host/replica"
)

// singleLog is a control log of a single host that keeps nothing on disk and always leads.
type singleLog struct {
	mu      sync.Mutex
	index   uint64
	host    *fleetpb.Voter
	machine *controller.Machine
	clock   func() ident.Time
	since   ident.Time
}

// newSingleLog returns a log that applies changes to machine; host and peer name its only member.
func newSingleLog(host ident.Host, peer string, machine *controller.Machine, clock func() ident.Time) *singleLog {
	return &singleLog{host: &fleetpb.Voter{Host: string(host), Peer: peer}, machine: machine, clock: clock, since: clock()}
}

// Propose applies a change at once.
func (l *singleLog) Propose(ctx context.Context, change *fleetpb.Change) (proto.Message, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, change), nil
}

// Leadership reports that this host leads.
func (l *singleLog) Leadership() replica.Leadership {
	return replica.Leadership{
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
func (l *singleLog) Members() *fleetpb.Voters {
	return &fleetpb.Voters{Voters: []*fleetpb.Voter{l.host}}
}
