package gateway

import (
	"errors"
	"net"
	"syscall"

	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/budget"
)

// neverSent reports whether a failed call can't have run a statement, because the connection to the gateway could not be opened
// or the gateway refused the whole request.
func neverSent(err error) bool {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return true
	}
	var refused twirp.Error
	if errors.As(err, &refused) {
		switch refused.Code() {
		case twirp.FailedPrecondition, twirp.NotFound, twirp.Unauthenticated, twirp.BadRoute:
			return true
		}
	}
	return false
}

// mayHoldLease reports whether a gateway that could not be reached may still hold the lease of a statement: its process may run unless its port
// is closed.
func mayHoldLease(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && !errors.Is(err, syscall.ECONNREFUSED)
}

// refusedForMemory reports whether a gateway has refused a call, which it has not run, because it holds as much as it may.
func refusedForMemory(err error) bool {
	var refused twirp.Error
	return errors.As(err, &refused) && refused.Code() == twirp.ResourceExhausted
}

// answerRefused reports whether this host has refused to hold the answer of a gateway, which is not the gateway's failure.
func answerRefused(err error) bool {
	var refused *budget.RefusedError
	return errors.As(err, &refused)
}
