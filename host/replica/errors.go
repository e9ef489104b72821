package replica

import "fmt"

// NotLeaderError rejects a proposal on a member that is not the leader; the change was not appended. Leader is the leader's
// peer address, or empty if it is unknown.
type NotLeaderError struct{ Leader string }

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this control host does not lead, and it knows no leader"
	}
	return fmt.Sprintf("this control host does not lead; the leader is at %s", e.Leader)
}

// UnknownOutcomeError reports a change that was proposed and may or may not be applied later.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of the change is unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotRunError reports a change that will never be applied.
type NotRunError struct{ Cause error }

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("the change was not run: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// SupersededError is the cause of a NotRunError when an entry of a later leader replaced the change in the log.
type SupersededError struct{ Index uint64 }

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("a later leader wrote another entry at index %d", e.Index)
}

// ClosedError reports that the replica was closed or has failed.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string { return "the control log of this host is closed" }
