package platform

import (
	"fmt"
	"slices"
)

// Run is a read, write or commit that an upstream has run, as the upstream saw it.
type Run struct {
	// ID and Text are those of the statement; the text of a prepared one is its definition and its arguments.
	ID, Text string
	// Team is the name under which the connection was opened, and Values are its session values.
	Team, Values string
	// Transaction numbers the transactions of the group from 1; it is 0 outside of one.
	Transaction int
}

// Runs returns the statements that the group's members have run.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs)
}

// newTransaction returns the number of a transaction that begins.
func (g *Group) newTransaction() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastTransaction++
	return g.lastTransaction
}

// newRun returns a statement that the session is about to run.
func (s *session) newRun(id, text string) Run {
	r := Run{ID: id, Text: text, Team: s.team, Values: fmt.Sprint(s.values)}
	if s.state != "I" {
		r.Transaction = s.transaction
	}
	return r
}

// recordRun records a statement that ran.
func (g *Group) recordRun(r Run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs = append(g.runs, r)
}
