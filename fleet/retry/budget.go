package retry

import "tamarackshunt.dev/fleet/ident"

const (
	// budgetShare is the number of further attempts that each first one allows.
	budgetShare = 0.1
	// budgetFloor is the number of further attempts per second that a host may make besides, so that one with few callers can retry.
	budgetFloor = 10.0
	// budgetLimit bounds the further attempts that a host saves up.
	budgetLimit = 50.0
)

// Budget bounds the attempts that a host makes beyond the first one of each statement. The zero value is a full budget. It isn't safe for
// concurrent use.
type Budget struct {
	// spent is what is missing from a full budget, as of updated.
	spent   float64
	updated ident.Time
}

// RecordFirst records the first attempt of a statement.
func (b *Budget) RecordFirst(now ident.Time) {
	b.refill(now)
	b.spent = max(0, b.spent-budgetShare)
}

// Spend reports whether the budget allows a further attempt, and counts it if so.
func (b *Budget) Spend(now ident.Time) bool {
	b.refill(now)
	if b.spent+1 > budgetLimit {
		return false
	}
	b.spent++
	return true
}

func (b *Budget) refill(now ident.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.spent = max(0, b.spent-budgetFloor*elapsed.Seconds())
		b.updated = now
	}
}
