// Package limit enforces each team's rate and burst across the whole fleet. One Owner, on the control leader, keeps the
// token buckets and lends tokens. A Borrower on each host spends them, one per request of a caller, and sends borrow
// requests to the owner.
//
// At any moment the tokens in the bucket, plus the lent tokens that are neither spent nor returned, add up to at most
// the burst. Spending in any window is therefore at most burst + rate x window. Every uncertainty counts against the
// team: a loan that was lost or has expired counts as spent, reports can only lower the number of tokens that the
// owner counts as lent, and a borrower counts a loan's lifetime from the time of its request, so that the loan
// expires there before it expires at the owner.
//
// A team whose burst is small beside the number of its hosts is scarce: its tokens are lent on demand, the more urgent
// requests of all hosts first, and the owner forecasts when a host gets its next one, so that requests which can't wait for
// it are refused at once.
//
// Refund puts the token of an operation that did not run back into its loan. For the owner, the token was on loan all the
// time; after a report that counted it as spent, it stays spent.
//
// Two exceptions to the bound share an Overrun: the Reserve, which a host may spend without a loan while no owner responds, and the
// advance, which a new owner may lend before its buckets have refilled.
package limit
