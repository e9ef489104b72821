package limit

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Reserve is the number of a team's tokens that one host may spend without a loan while no owner responds. It is the
// host's part of the tokens that the fleet may spend beyond rate and burst.
type Reserve struct {
	// Tokens is the number that may be spent in any span of the length of Window.
	Tokens int64
	Window time.Duration
}

// reserve counts the tokens that were spent without a loan.
type reserve struct {
	rule      Reserve
	startedAt ident.Time
	started   bool
	spent     []ident.Time
}

// setRule changes the rule. Spending before the start of the borrower is not known, so nothing may be spent until one
// window has passed.
func (r *reserve) setRule(now ident.Time, rule Reserve) {
	if !r.started {
		r.started, r.startedAt = true, now
	}
	r.rule = rule
}

// spend takes a token if the window allows it.
func (r *reserve) spend(now ident.Time) bool {
	if !r.started || r.rule.Tokens == 0 || now.Sub(r.startedAt) < r.rule.Window {
		return false
	}
	r.spent = slices.DeleteFunc(r.spent, func(at ident.Time) bool { return now.Sub(at) >= r.rule.Window })
	if int64(len(r.spent)) >= r.rule.Tokens {
		return false
	}
	r.spent = append(r.spent, now)
	return true
}
