package statement

import (
	"fmt"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Code is the reason why a statement failed.
type Code int

// Codes of failures. CodeBusy to CodeConnections guarantee that nothing of the caller's attempt was kept.
const (
	// CodeNone means that the failure has no code that is known here.
	CodeNone Code = iota
	// CodeBusy means that an upstream or a host is at capacity, or that a team is above its rate.
	CodeBusy
	// CodeAborted means that the transaction was rolled back.
	CodeAborted
	// CodeLagging means that the replica lacks the requested position.
	CodeLagging
	// CodeReadOnly means that a write reached an upstream that is not the primary.
	CodeReadOnly
	// CodeMoved means that the connection leads to another upstream than expected.
	CodeMoved
	// CodeConnections means that the upstream is at its maximum number of connections.
	CodeConnections
	// CodeUnknown means that the prepared statement does not exist.
	CodeUnknown
	// CodeFailed means that the statement ran and failed.
	CodeFailed
	// CodeTimeout means that the statement ran, or may have run, for too long.
	CodeTimeout
	// CodeInDoubt means that the outcome is not known.
	CodeInDoubt
	// CodeMalformed means that the request cannot be parsed or is not allowed in the session's state.
	CodeMalformed
	// CodeDenied means that the key gives no access.
	CodeDenied
	// CodeNoDatabase means that no route has the given name.
	CodeNoDatabase
)

//go:generate enumer -type=Code -trimprefix=Code -transform=snake

// NoEffect reports whether the code guarantees that nothing of the caller's attempt was kept.
func (i Code) NoEffect() bool {
	return i >= CodeBusy && i <= CodeConnections
}

// State is the state of a session or of an upstream's connection.
type State int

// States of a session or connection.
const (
	// StateIdle means outside of a transaction.
	StateIdle State = iota
	// StateTransaction means inside a transaction.
	StateTransaction
	// StateFailed means inside a transaction that failed and can only be ended.
	StateFailed
)

//go:generate enumer -type=State -trimprefix=State -transform=snake

// Failure is the error of a statement or of a session's start.
type Failure struct {
	Code Code
	// Text is the description for people.
	Text string
	// Retry is the time after which it makes sense to come back; 0 if nothing is known.
	Retry time.Duration
}

// Error returns the code and the text.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %s", f.Code, f.Text)
}

// Result is an upstream's complete response to a statement.
type Result struct {
	// Rows are the rows as the upstream sent them.
	Rows []string
	// Signature proves which upstream ran the statement; empty after a failure.
	Signature string
	// Failure is nil after a success.
	Failure *Failure
	// State is the state of the connection after the statement.
	State State
	// Position is the position of the upstream's log, zero when the upstream reported none.
	Position ident.Position
}
