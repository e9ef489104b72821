package main

import (
	"context"

	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/fleetpb"
)

// identityService is the Core service of a host whose core is not running. It serves only the host's name.
type identityService struct{ host, peer string }

var errStarting = twirp.Unavailable.Error("this core host is starting")

// Identify returns the host's name and peer address.
func (n identityService) Identify(context.Context, *fleetpb.IdentifyRequest) (*fleetpb.IdentifyResponse, error) {
	return &fleetpb.IdentifyResponse{Host: n.host, Peer: n.peer}, nil
}

// Watch returns errStarting.
func (identityService) Watch(context.Context, *fleetpb.WatchRequest) (*fleetpb.WatchResponse, error) {
	return nil, errStarting
}

// Order returns errStarting.
func (identityService) Order(context.Context, *fleetpb.OrderRequest) (*fleetpb.OrderResponse, error) {
	return nil, errStarting
}

// PassOn returns errStarting.
func (identityService) PassOn(context.Context, *fleetpb.AnnounceBatch) (*fleetpb.AnnounceResult, error) {
	return nil, errStarting
}

// Enroll returns errStarting.
func (identityService) Enroll(context.Context, *fleetpb.JoinRequest) (*fleetpb.JoinResponse, error) {
	return nil, errStarting
}
