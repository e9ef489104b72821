package statement

import (
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Status is an upstream's report about its log and its load.
type Status struct {
	Primary bool
	Term    ident.Term
	// Received is the last position that its log holds.
	Received ident.Position
	// PausedTerm is the term for which replication to the upstream was paused; 0 while it receives.
	PausedTerm  ident.Term
	Lag         time.Duration
	Busy        int
	Connections int
}
