// Package quota runs the decisions of a borrower of tokens on a host: one loop asks the owner for all teams, and Take
// blocks until a request may run.
package quota
