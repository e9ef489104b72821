package gateway

import (
	"errors"
	"net"

	"github.com/twitchtv/twirp"
)

// neverSent reports a call whose request certainly reached no gateway that could have acted on it: the connection could not be
// opened, or the gateway refused the request as a whole.
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
