package admission

import (
	"fmt"
	"time"
)

// Reason is why a statement is refused.
type Reason int

//go:generate enumer -type=Reason -trimprefix=Reason -transform=snake

// Reasons of a refusal.
const (
	// ReasonHopeless means that the statement can't end by its deadline behind the work ahead of it.
	ReasonHopeless Reason = iota
	// ReasonDeadline means that the statement waited until it could no longer end by its deadline.
	ReasonDeadline
	// ReasonFull means that as many statements wait as may, none of which has to give way.
	ReasonFull
	// ReasonTeamFull means that as many statements of the team wait as may.
	ReasonTeamFull
	// ReasonDisplaced means that the statement gave way to others: more urgent ones, or those of a team with fewer.
	ReasonDisplaced
	// ReasonConnection means that the statement got its turn but no connection.
	ReasonConnection
	// ReasonStalled means that the upstream has ended no statement for so long that nothing is known about its rate.
	ReasonStalled
	// ReasonWarmup means that this host may send nothing to the upstream while it warms up.
	ReasonWarmup
)

// Refused is the error of a statement that has not run.
type Refused struct {
	Reason Reason
	// Waited is the time since the statement arrived, and Ahead the number of statements that were to go before it.
	Waited time.Duration
	Ahead  int
	// Retry is the time after which the caller can expect room; 0 if that isn't known.
	Retry time.Duration
}

// Error names the reason and the wait.
func (r *Refused) Error() string {
	return fmt.Sprintf("%s after %v behind %d statements", r.Reason, r.Waited.Round(time.Millisecond), r.Ahead)
}
