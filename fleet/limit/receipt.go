package limit

import (
	"slices"

	"tamarackshunt.dev/fleet/ident"
)

// Receipt identifies a spent token by its loan and the number of reports that had included the loan. The zero Receipt stands for a
// token without a loan.
type Receipt struct {
	Team          ident.Team
	loan, reports uint64
}

// Refund puts the token of an operation that did not run back, and spends it on a request that waits. It returns false if the token
// must count as spent: its loan has expired, or a report may have told the owner that it was spent, so that the bucket may have
// refilled in its place.
func (b *Borrower) Refund(now ident.Time, receipt Receipt) ([]Outcome, bool) {
	if receipt.loan == 0 {
		return nil, false
	}
	lb := b.localBucket(receipt.Team)
	lb.mu.Lock()
	defer lb.mu.Unlock()
	if !lb.refund(now, receipt) {
		return nil, false
	}
	b.lowerDue(b.afterLastRequest(b.opts.Period))
	return lb.serveWaiters(now), true
}

func (lb *localBucket) refund(now ident.Time, receipt Receipt) bool {
	lb.dropLoans(now)
	i := slices.IndexFunc(lb.loans, func(l *localLoan) bool { return l.seq == receipt.loan })
	if i < 0 || lb.loans[i].reports != receipt.reports {
		return false
	}
	lb.loans[i].held++
	lb.loans[i].reportedIn, lb.loans[i].acknowledged = 0, false
	return true
}
