package quorum

import (
	"fmt"
	"time"
)

// NotLeaderError rejects a proposal to a member that is not the leader; Leader is the leader's peer address if known.
type NotLeaderError struct{ Leader string }

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this control host does not lead, and it knows no leader"
	}
	return fmt.Sprintf("this control host does not lead; the leader is at %s", e.Leader)
}

// BusyError rejects a membership change while an earlier one is not yet committed.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string {
	return "another membership change is in progress"
}

// OverloadError rejects a change while too many earlier changes are not yet committed.
type OverloadError struct{}

// Error implements error.
func (*OverloadError) Error() string {
	return "too many changes are not yet committed"
}

// ExpiredError rejects a change that reached the log after Propose.Until.
type ExpiredError struct{ By time.Duration }

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the change came %v too late to be appended", e.By.Round(time.Millisecond))
}

// MembershipError rejects a membership change that is not possible.
type MembershipError struct {
	Host   string
	Reason string
}

// Error implements error.
func (e *MembershipError) Error() string {
	return fmt.Sprintf("host %q: %s", e.Host, e.Reason)
}

// StateError reports stored state that no member can have written.
type StateError struct{ Reason string }

// Error implements error.
func (e *StateError) Error() string {
	return "stored state of the control log: " + e.Reason
}
