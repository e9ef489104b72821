package limit

import (
	"math"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Priorities is the number of priorities that the owner tells apart. Less urgent ones count as the last.
const Priorities = 4

const (
	// amplePerHost is the number of tokens of the burst for each host from which a team isn't scarce. Each host may then hold two
	// tokens in advance, and half of the burst is left.
	amplePerHost = 4
	// aheadPart of a scarce team's burst may be lent for predicted demand and unspent, over all borrowers.
	aheadPart = 8
	// urgentPart of a scarce team's burst is kept from less urgent requests for each more urgent priority that had requests within
	// urgentMemory, so that an urgent request gets its token with its first call to the owner.
	urgentPart   = 16
	urgentMemory = 10 * time.Second
	// maxForecast bounds what an owner says about the time of a borrower's next token.
	maxForecast = 3 * time.Second
)

// forecast is when a borrower may expect tokens for the requests that wait.
type forecast struct {
	// retry is the time until its next token, or until it should request again if the team isn't scarce. slot is the time
	// between the tokens after that.
	retry, slot time.Duration
}

// scarce reports whether the burst is small beside the number of hosts that borrow. Tokens that are lent in advance to many hosts
// then leave too few for the requests that wait.
func (b *bucket) scarce() bool {
	return int64(b.rule.Burst) < int64(amplePerHost*len(b.hosts))
}

// lendScarce lends tokens of a scarce team: on demand, the more urgent requests of all borrowers first, and in advance only from
// a surplus. A borrower whose requests can't wait for its next token no longer competes.
func (b *bucket) lendScarce(now ident.Time, a *account, seq uint64, w want) grant {
	competitors := b.competitors(now)
	for p, n := range a.waits {
		if n > 0 {
			b.lastWait[p] = now
		}
	}
	amount := b.shareWaiting(now, competitors, a)
	if amount == a.waiting {
		amount += b.shareAhead(competitors, a)
	}
	b.addLoan(now, a, seq, amount)
	g := grant{amount: amount, scarce: true}
	if a.waiting == 0 {
		return g
	}
	g.forecast = b.forecast(now, competitors, a)
	a.wantExpires = now.Add(g.retry + wantLifetime)
	if w.patience > 0 && g.retry > w.patience {
		b.wanted -= a.waiting + a.predicted
		a.waiting, a.predicted, a.waits = 0, 0, [Priorities]int64{}
	}
	return g
}

// shareWaiting returns the number of tokens to lend for waiting requests. Each priority shares what the more urgent ones of all
// borrowers leave, without what is kept for them.
func (b *bucket) shareWaiting(now ident.Time, competitors []*account, a *account) int64 {
	left := b.nanotokens / second
	inflow := int64(b.rule.Rate) * int64(b.retry()) / second
	var wants [Priorities]int64
	for _, c := range competitors {
		for p, n := range c.waits {
			wants[p] += n
		}
	}
	var amount int64
	for p := range Priorities {
		want := func(c *account) int64 { return c.waits[p] }
		amount += fairShare(competitors, a, wants[p], left-b.kept(now, p), inflow, want)
		left -= wants[p]
	}
	return amount
}

// kept returns the number of tokens that the bucket keeps from requests of a priority for more urgent ones to come.
func (b *bucket) kept(now ident.Time, priority int) int64 {
	var kept int64
	for _, last := range b.lastWait[:priority] {
		if last != never && now.Sub(last) < urgentMemory {
			kept += max(1, int64(b.rule.Burst/urgentPart))
		}
	}
	return kept
}

// shareAhead returns the number of tokens to lend for predicted demand: from what the bucket holds above half of the burst beyond
// the waiting requests, as long as all tokens lent in advance are a small part of the burst.
func (b *bucket) shareAhead(competitors []*account, a *account) int64 {
	surplus := b.nanotokens/second - int64(b.rule.Burst/2)
	for _, c := range competitors {
		surplus -= c.waiting
	}
	return max(0, min(a.predicted, surplus, int64(b.rule.Burst/aheadPart)-b.ahead))
}

// forecast returns when the borrower may expect tokens for its most urgent requests that wait.
func (b *bucket) forecast(now ident.Time, competitors []*account, a *account) forecast {
	if b.rule.Rate == 0 {
		return forecast{maxForecast, maxForecast}
	}
	first := a.mostUrgent()
	before := servedBefore(competitors, a, first) + float64(b.kept(now, first))
	tokens := max(0, (before+1)*float64(second)-float64(b.nanotokens))
	retry := time.Duration(math.Ceil(tokens / float64(b.rule.Rate)))
	slot := time.Duration(float64(time.Second) / b.shareOfRate(a))
	return forecast{min(max(retry, minRetry), maxForecast), min(slot, maxForecast)}
}

// mostUrgent returns the priority of the borrower's most urgent requests that wait.
func (a *account) mostUrgent() int {
	p := 0
	for a.waits[p] == 0 && p < Priorities-1 {
		p++
	}
	return p
}

// servedBefore returns the number of waiting requests at other borrowers that are served before the borrower's ones of the
// priority: more urgent ones, and those of the same priority at borrowers without more recent loans, up to the difference of these.
func servedBefore(competitors []*account, a *account, priority int) float64 {
	var before float64
	for _, c := range competitors {
		if c == a {
			continue
		}
		for _, n := range c.waits[:priority] {
			before += float64(n)
		}
		if c.recentLoans <= a.recentLoans {
			before += min(float64(c.waits[priority]), 1+a.recentLoans-c.recentLoans)
		}
	}
	return before
}

// shareOfRate returns the borrower's tokens per second: what the others' demand leaves of the rate, at least its part by demand.
func (b *bucket) shareOfRate(a *account) float64 {
	own, others := float64(max(a.demand, 1)), float64(b.demand-a.demand)
	rate := float64(b.rule.Rate)
	return max(rate-others/demandWindow.Seconds(), rate*own/(own+others))
}
