package gateway

import (
	"errors"
	"net"
	"syscall"

	"github.com/twitchtv/twirp"
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
		case twirp.FailedPrecondition, twirp.NotFound, twirp.ResourceExhausted, twirp.Unauthenticated, twirp.BadRoute:
			return true
		}
	}
	return false
}

// mayHold reports whether a gateway may still hold the lease of a statement that was never sent: it has refused the call for lack of
// memory, or its process may run although it could not be reached.
func mayHold(err error) bool {
	var dial *net.OpError
	return refusedForMemory(err) || (errors.As(err, &dial) && !errors.Is(err, syscall.ECONNREFUSED))
}

// refusedForMemory reports whether a gateway has refused a call because it holds as much as it may.
func refusedForMemory(err error) bool {
	var refused twirp.Error
	return errors.As(err, &refused) && refused.Code() == twirp.ResourceExhausted
}
