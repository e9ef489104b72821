package retry

import "time"

const (
	// minPause and maxPause bound the pause before another attempt; each pause is twice as long as the one before.
	minPause = 25 * time.Millisecond
	maxPause = 200 * time.Millisecond
)

// Cause is why an attempt did not run.
type Cause int

//go:generate enumer -type=Cause -trimprefix=Cause -transform=snake

// Causes.
const (
	// CauseFull means that the upstream's queue can't serve the statement in time.
	CauseFull Cause = iota
	// CauseLagging means that the replica lacked a position, which the primary has.
	CauseLagging
	// CauseBusy means that the upstream itself was at capacity.
	CauseBusy
	// CauseUnreachable means that no answer came from the upstream or its gateway.
	CauseUnreachable
	// CauseState means that no upstream is known to be in the state that the statement needs, such as a primary.
	CauseState
)

// Step is what follows an attempt that did not run.
type Step int

//go:generate enumer -type=Step -trimprefix=Step -transform=snake

// Steps.
const (
	// StepRefuse tries no other upstream of this kind: it answers the caller, or leaves a lagging read to the primary.
	StepRefuse Step = iota
	// StepMove tries another upstream at once.
	StepMove
	// StepWait waits for a change of state, at most for the pause, and tries again.
	StepWait
)

// Plan follows the attempts of one statement.
type Plan struct {
	moved  bool
	pauses int
}

// Situation describes an attempt that did not run.
type Situation struct {
	Cause Cause
	// Others is set if another upstream may run the statement.
	Others bool
	// Funded is set if the budget allows another attempt.
	Funded bool
	// Jitter is a random number from 0 to 1, so that hosts don't try again at the same moment.
	Jitter float64
}

// Next returns what follows an attempt, and the pause for a StepWait. A full queue has said that waiting is of no use, and a lagging
// read need not wait; all other causes pass with time.
func (p *Plan) Next(s Situation) (Step, time.Duration) {
	if s.Others && s.Funded && !p.moved {
		p.moved = true
		return StepMove, 0
	}
	if s.Cause == CauseFull || s.Cause == CauseLagging {
		return StepRefuse, 0
	}
	p.moved = false
	pause := min(minPause<<min(p.pauses, 8), maxPause)
	p.pauses++
	if !s.Funded {
		pause = maxPause
	}
	return StepWait, pause/2 + time.Duration(s.Jitter*float64(pause/2))
}
