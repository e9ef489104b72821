package statement

import (
	"fmt"

	"tamarackshunt.dev/fleet/ident"
)

// Code says why a statement failed.
type Code int

// Codes. Those up to CodeConnections promise that nothing of the caller's attempt is kept.
const (
	// CodeNone is a failure whose code is not known here.
	CodeNone Code = iota
	// CodeBusy is an upstream or a host without room, or a team above its rate.
	CodeBusy
	// CodeAborted is a transaction that was rolled back.
	CodeAborted
	// CodeLagging is a replica that lacks the position asked for.
	CodeLagging
	// CodeReadOnly is a write at an upstream that is not the primary.
	CodeReadOnly
	// CodeMoved is a connection to another upstream than the one expected.
	CodeMoved
	// CodeConnections is an upstream with as many connections as it may have.
	CodeConnections
	// CodeUnknown is a prepared statement that is not there.
	CodeUnknown
	// CodeFailed is a statement that ran and failed.
	CodeFailed
	// CodeTimeout is a statement that ran, or may have run, for too long.
	CodeTimeout
	// CodeInDoubt is an outcome that is not known.
	CodeInDoubt
	// CodeMalformed is a request that cannot be read or has no place in the session's state.
	CodeMalformed
	// CodeDenied is a key that opens nothing.
	CodeDenied
	// CodeNoDatabase is a name without a route.
	CodeNoDatabase
)

//go:generate enumer -type=Code -trimprefix=Code -transform=snake

// Promises reports whether the code promises that nothing of the caller's attempt is kept.
func (i Code) Promises() bool {
	return i >= CodeBusy && i <= CodeConnections
}

// State is the state of a session or of an upstream's connection.
type State int

// States.
const (
	// StateIdle is a session outside of a transaction.
	StateIdle State = iota
	// StateTransaction is a session inside a transaction.
	StateTransaction
	// StateFailed is a session inside a transaction that failed and can only be ended.
	StateFailed
)

//go:generate enumer -type=State -trimprefix=State -transform=snake

// Failure is the failure of a statement or of a session's start.
type Failure struct {
	Code Code
	// Text says more to people.
	Text string
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %s", f.Code, f.Text)
}

// Result is an upstream's complete answer to a statement.
type Result struct {
	// Rows are the rows as the upstream sent them.
	Rows []string
	// Signature proves which upstream ran the statement; empty after a failure.
	Signature string
	// Failure is nil after a success.
	Failure *Failure
	// State is the state of the connection after the statement.
	State State
	// Position is that of the upstream's log, zero when it told none.
	Position ident.Position
}
