package statement

import "tamarackshunt.dev/fleet/ident"

// Start is the first message of a session: the database and the caller's key, which is empty when the caller sends
// none.
type Start struct {
	Database ident.Route
	Key      string
}

// Query is a request with the id that the caller gave it. Request is nil when the text is not a valid request.
type Query struct {
	ID      string
	Text    string
	Request Request
}

// Request is a caller's request in its session: one of the types in this file.
type Request interface{ request() }

// Begin opens a transaction. A ReadOnly transaction contains no writes and may run on a replica.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction and keeps its writes.
type Commit struct{}

// Rollback ends a transaction and discards its writes.
type Rollback struct{}

// Read returns the rows of one data item. Text is the statement as the caller sent it.
type Read struct{ Text string }

// Write stores data in one data item. Text is the statement as the caller sent it.
type Write struct{ Text string }

// Set sets a session value, which stays in force until the session ends.
type Set struct{ Name, Value string }

// Prepare defines a named statement of the session for later execution.
type Prepare struct {
	Name     string
	Prepared Prepared
}

// Execute runs a prepared statement. Arguments is the text after the name, as the caller sent it.
type Execute struct{ Name, Arguments string }

// Deallocate drops a prepared statement.
type Deallocate struct{ Name string }

// Passthrough is a caller's request that is forwarded to the upstream unchanged.
type Passthrough struct{ Text string }

// Discard drops all values and prepared statements of a session on an upstream.
type Discard struct{}

// AskStatus asks an upstream for its Status.
type AskStatus struct{}

// StepDown makes a primary of a lower term a replica. The upstream answers with its Status.
type StepDown struct{ Term ident.Term }

// Pause stops an upstream from receiving the primary's log until Continue or a promotion, if the term is above the newest one. The
// upstream answers with its Status.
type Pause struct{ Term ident.Term }

// Continue lets an upstream receive the primary's log again. The upstream answers with its Status.
type Continue struct{}

// Prepared is the definition of a prepared statement.
type Prepared struct {
	// Writes is set for statements that store data.
	Writes bool
	// Shape is the rest of the definition, as the caller sent it.
	Shape string
}

func (Begin) request()       {}
func (Commit) request()      {}
func (Rollback) request()    {}
func (Read) request()        {}
func (Write) request()       {}
func (Set) request()         {}
func (Prepare) request()     {}
func (Execute) request()     {}
func (Deallocate) request()  {}
func (Passthrough) request() {}
func (Discard) request()     {}
func (AskStatus) request()   {}
func (StepDown) request()    {}
func (Pause) request()       {}
func (Continue) request()    {}
