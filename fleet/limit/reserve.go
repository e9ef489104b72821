package limit

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Reserve is what one host may spend of a team without a loan while no owner answers. It is the host's part of what the
// fleet may spend beyond rate and burst.
type Reserve struct {
	// Tokens may be spent in any span of the length of Window.
	Tokens int64
	Window time.Duration
}

// reserve counts what was spent without a loan.
type reserve struct {
	rule  Reserve
	since ident.Time
	known bool
	spent []ident.Time
}

// setRule changes the rule. What was spent before the borrower began is not known, so that nothing may be spent until one
// window has passed.
func (r *reserve) setRule(now ident.Time, rule Reserve) {
	if !r.known {
		r.known, r.since = true, now
	}
	r.rule = rule
}

// spend takes a token if the window allows it.
func (r *reserve) spend(now ident.Time) bool {
	if !r.known || now.Sub(r.since) < r.rule.Window {
		return false
	}
	r.spent = slices.DeleteFunc(r.spent, func(at ident.Time) bool { return now.Sub(at) >= r.rule.Window })
	if int64(len(r.spent)) >= r.rule.Tokens {
		return false
	}
	r.spent = append(r.spent, now)
	return true
}
