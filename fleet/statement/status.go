package statement

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Status is what an upstream says of its log.
type Status struct {
	Primary bool
	Term    ident.Term
	// Received is the position that its log holds.
	Received ident.Position
	// PausedTerm is the term for which it was paused; 0 when it receives.
	PausedTerm  ident.Term
	Lag         time.Duration
	Busy        int
	Connections int
}
