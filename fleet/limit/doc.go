// Package limit enforces each team's rate and burst over the whole fleet: an owner lends tokens, borrowers spend them.
//
// At any moment the tokens in the bucket and the tokens lent, neither spent nor given back, are together at most the
// burst, so spending in any window is at most burst + rate x window. Each uncertainty counts against the team: a loan
// that was lost or has expired counts as spent, reports only lower what the owner counts as lent, and a borrower counts
// the lifetime of a loan from the time of its request, before the owner does.
package limit
