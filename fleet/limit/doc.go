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
// The one exception is the Reserve, which a host may spend without a loan while no owner responds.
package limit
