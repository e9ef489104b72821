package main

import (
	"context"

	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/fleetpb"
)

// nameOnly serves the name of a core host that has not started its part in the log yet.
type nameOnly struct{ host, peer string }

var errStarting = twirp.Unavailable.Error("this core host is starting")

// Identify tells the host's name.
func (n nameOnly) Identify(context.Context, *fleetpb.IdentifyRequest) (*fleetpb.IdentifyResponse, error) {
	return &fleetpb.IdentifyResponse{Host: n.host, Peer: n.peer}, nil
}

// Watch is not served yet.
func (nameOnly) Watch(context.Context, *fleetpb.WatchRequest) (*fleetpb.WatchResponse, error) {
	return nil, errStarting
}

// Order is not served yet.
func (nameOnly) Order(context.Context, *fleetpb.OrderRequest) (*fleetpb.OrderResponse, error) {
	return nil, errStarting
}

// PassOn is not served yet.
func (nameOnly) PassOn(context.Context, *fleetpb.AnnounceBatch) (*fleetpb.AnnounceResult, error) {
	return nil, errStarting
}

// Enroll is not served yet.
func (nameOnly) Enroll(context.Context, *fleetpb.JoinRequest) (*fleetpb.JoinResponse, error) {
	return nil, errStarting
}
