package limit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// shareHalfLife is the time in which past loans lose half of their weight in the sharing of scarce tokens.
const shareHalfLife = 500 * time.Millisecond

// minRetry limits each borrower that is short of tokens to 100 requests per second to the owner.
const minRetry = 10 * time.Millisecond

// levelError, in tokens, is larger than the error of waterLevel, so that an exact share is not rounded down by a token.
const levelError = 0.01

// borrowerID identifies one start of a host; a restarted host has no claim on the loans of its earlier start.
type borrowerID struct {
	host        ident.Host
	incarnation ident.Incarnation
}

// bucket holds one team's tokens at the owner.
type bucket struct {
	mu   sync.Mutex
	rule Rule
	// nanotokens is the content of the bucket in billionths of a token.
	nanotokens int64
	updated    ident.Time
	// lent counts tokens on loan that may still be spent.
	lent int64
	// wanted is the sum of all borrowers' waiting and predicted demand; it may still contain expired demand.
	wanted int64
	// ahead counts those of the lent tokens that were lent for predicted demand.
	ahead int64
	// demand is the sum of the borrowers' demand.
	demand int64
	// loans is ordered by expiry; spent loans stay until they expire.
	loans     []*loan
	borrowers map[borrowerID]*account
	// hosts counts the borrowers of each host, which are several after restarts.
	hosts     map[ident.Host]int
	lastSweep ident.Time
	// lastWait is when a request of each priority last waited for a token, if the team is scarce.
	lastWait [Priorities]ident.Time
}

type loan struct {
	seq uint64
	// outstanding counts the tokens that may still be spent, returned those that the borrower has given back, and amount
	// all tokens of the loan.
	outstanding int64
	returned    int64
	amount      int64
	// ahead counts the outstanding tokens that were lent for predicted demand.
	ahead   int64
	expires ident.Time
}

// account is the owner's record of one borrower.
type account struct {
	loans map[uint64]*loan
	// waiting is the unmet demand of waiting requests, waits the part of each priority in it, and predicted the unmet demand
	// of the next horizon. They count until wantExpires.
	waiting     int64
	waits       [Priorities]int64
	predicted   int64
	wantExpires ident.Time
	// demand is the number of requests in the last demandWindow. It counts until demandLifetime after lastRequest.
	demand int64
	// recentLoans is the sum of the borrower's loans, with exponential decay as of decayedAt.
	recentLoans float64
	decayedAt   ident.Time
	lastRequest ident.Time
}

func newBucket(now ident.Time, rule Rule) *bucket {
	b := &bucket{rule: rule, updated: now, lastSweep: now, borrowers: map[borrowerID]*account{}, hosts: map[ident.Host]int{}}
	for p := range b.lastWait {
		b.lastWait[p] = never
	}
	return b
}

func (b *bucket) setRule(now ident.Time, rule Rule) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.rule = rule
	b.clamp()
}

// advance expires loans and then refills the bucket up to the burst less the tokens on loan that may still be spent.
func (b *bucket) advance(now ident.Time) {
	if now <= b.updated {
		return
	}
	n := 0
	for n < len(b.loans) && now >= b.loans[n].expires {
		// Refill up to the expiry first, so that this part of the refill does not use the capacity that the expiry
		// frees.
		b.refill(b.loans[n].expires)
		b.lent -= b.loans[n].outstanding
		b.lower(b.loans[n], 0)
		b.loans[n] = nil
		n++
	}
	b.loans = b.loans[n:]
	b.refill(now)
	if now.Sub(b.lastSweep) >= idleTimeout {
		b.sweep(now)
	}
}

// add adds tokens, up to the burst less the tokens on loan.
func (b *bucket) add(now ident.Time, amount func(Rule) int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.nanotokens += amount(b.rule) * second
	b.clamp()
}

func (b *bucket) refill(until ident.Time) {
	elapsed := int64(until.Sub(b.updated))
	if elapsed <= 0 {
		return
	}
	b.updated = until
	if b.rule.Rate == 0 {
		return
	}
	// More time than it takes to fill the whole burst changes nothing, and the bound keeps the product within 64
	// bits.
	elapsed = min(elapsed, int64(b.rule.Burst)*second/int64(b.rule.Rate)+1)
	b.nanotokens += elapsed * int64(b.rule.Rate)
	b.clamp()
}

func (b *bucket) clamp() {
	b.nanotokens = max(0, min(b.nanotokens, (int64(b.rule.Burst)-b.lent)*second))
}

// reportHeld lowers the outstanding tokens of a loan to the number that the borrower reports as still held.
func (b *bucket) reportHeld(now ident.Time, id borrowerID, seq uint64, amount int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if l := b.liveLoan(id, seq); l != nil && amount < l.outstanding {
		b.lent -= l.outstanding - amount
		b.lower(l, amount)
	}
}

// lower sets the outstanding tokens of a loan.
func (b *bucket) lower(l *loan, outstanding int64) {
	l.outstanding = outstanding
	spent := max(0, l.ahead-outstanding)
	l.ahead -= spent
	b.ahead -= spent
}

// returnTokens puts tokens back into the bucket. Total is the number of all tokens of the loan that the borrower has
// returned so far; those that earlier reports returned are not put back again. A loan that has expired counts as spent. It
// returns the number of tokens put back.
func (b *bucket) returnTokens(now ident.Time, id borrowerID, seq uint64, total int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	l := b.liveLoan(id, seq)
	if l == nil || total <= l.returned || total > l.amount-l.outstanding {
		return 0
	}
	returned := total - l.returned
	b.nanotokens += returned * second
	l.returned = total
	b.clamp()
	return returned
}

// liveLoan returns a loan that has not expired, or nil.
func (b *bucket) liveLoan(id borrowerID, seq uint64) *loan {
	a := b.borrowers[id]
	if a == nil {
		return nil
	}
	l := a.loans[seq]
	if l == nil || b.updated >= l.expires {
		return nil
	}
	return l
}

// want is what a borrow request says about one team.
type want struct {
	// amount includes waiting, the tokens for requests that wait; the rest is predicted demand.
	amount, waiting int64
	// waits is the part of each priority in waiting.
	waits [Priorities]int64
	// patience is how long the most patient of the waiting requests still waits; 0 if it is not known.
	patience time.Duration
	demand   int64
}

// grant is the owner's answer to a want.
type grant struct {
	amount int64
	scarce bool
	// forecast applies while fewer tokens are lent than requests wait.
	forecast
}

// lend makes the loan for a borrow request. A repeated request gets the same loan as before.
func (b *bucket) lend(now ident.Time, id borrowerID, seq uint64, w want) grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	// Concurrent requests may arrive with times slightly out of order; loans must stay ordered by expiry.
	now = max(now, b.updated)
	a := b.account(now, id)
	if l := a.loans[seq]; l != nil {
		return grant{amount: l.amount, scarce: b.scarce(), forecast: forecast{retry: b.retry()}}
	}
	b.setWant(now, a, w)
	if b.scarce() {
		return b.lendScarce(now, a, seq, w)
	}
	amount := b.share(now, a)
	b.addLoan(now, a, seq, amount)
	return grant{amount: amount, forecast: forecast{retry: b.retry()}}
}

func (b *bucket) setWant(now ident.Time, a *account, w want) {
	w.waiting = min(w.amount, w.waiting)
	b.wanted += w.amount - a.waiting - a.predicted
	a.waiting, a.predicted, a.waits = w.waiting, w.amount-w.waiting, w.waits
	a.wantExpires = now.Add(wantLifetime)
	b.setDemand(a, w.demand)
}

func (b *bucket) setDemand(a *account, demand int64) {
	b.demand += demand - a.demand
	a.demand = demand
}

// addLoan lends tokens to a borrower, the waiting requests first and the most urgent of them before the others.
func (b *bucket) addLoan(now ident.Time, a *account, seq uint64, amount int64) {
	if amount <= 0 {
		return
	}
	a.decay(now)
	a.recentLoans += float64(amount)
	b.wanted -= amount
	met := min(amount, a.waiting)
	a.waiting -= met
	a.predicted -= amount - met
	l := &loan{seq: seq, outstanding: amount, amount: amount, ahead: amount - met, expires: now.Add(Lifetime)}
	for p := range a.waits {
		served := min(met, a.waits[p])
		a.waits[p] -= served
		met -= served
	}
	a.loans[seq] = l
	b.loans = append(b.loans, l)
	b.lent += amount
	b.ahead += l.ahead
	b.nanotokens -= amount * second
}

func (b *bucket) account(now ident.Time, id borrowerID) *account {
	a, found := b.borrowers[id]
	if !found {
		a = &account{loans: map[uint64]*loan{}, decayedAt: now}
		b.borrowers[id] = a
		b.hosts[id.host]++
	}
	a.lastRequest = now
	for seq, l := range a.loans {
		if now >= l.expires {
			delete(a.loans, seq)
		}
	}
	return a
}

// share returns the number of tokens to lend to a borrower. Waiting requests come first. Predicted demand gets only
// what the bucket holds above half of the burst: tokens held for predictions keep the bucket from refilling, so a
// team with a small burst could not reach its rate if its whole burst was lent in advance.
func (b *bucket) share(now ident.Time, a *account) int64 {
	available := b.nanotokens / second
	spare := available - int64(b.rule.Burst/2)
	if b.wanted <= min(available, spare) {
		return a.waiting + a.predicted
	}
	competitors := b.competitors(now)
	var waiting, predicted int64
	for _, c := range competitors {
		waiting += c.waiting
		predicted += c.predicted
	}
	// Every competitor sends another request within the retry time, during which this many tokens flow in. Sharing
	// only the present content would leave most of it to competitors that are not requesting now, and a full bucket
	// would waste the rate.
	inflow := int64(b.rule.Rate) * int64(b.retry()) / second
	amount := fairShare(competitors, a, waiting, available, inflow, func(c *account) int64 { return c.waiting })
	amount += fairShare(competitors, a, predicted, spare-waiting, inflow, func(c *account) int64 { return c.predicted })
	return amount
}

// retry returns the time after which a borrower that got too little sends another request. It is a quarter of the
// time that fills the burst, so that a team with a small burst still gets its whole rate.
func (b *bucket) retry() time.Duration {
	if b.rule.Rate == 0 {
		return RequestPeriod
	}
	fill := time.Duration(int64(b.rule.Burst) * second / int64(b.rule.Rate))
	return min(max(fill/4, minRetry), RequestPeriod)
}

// fairShare returns how many of the available tokens a may borrow now; wants is the sum of want over all competitors. The
// available tokens and the inflow are divided max-min fairly by the sum of recent loans and this one: no borrower gets
// more while another one with less wants tokens. Tokens that competitors need to catch up with the borrower's recent
// loans stay in the bucket for them.
func fairShare(competitors []*account, a *account, wants, available, inflow int64, want func(*account) int64) int64 {
	if available <= 0 || want(a) <= 0 {
		return 0
	}
	if wants <= available {
		return want(a)
	}
	level, owedToOthers := waterLevel(competitors, float64(available+inflow), want), 0.0
	for _, c := range competitors {
		owedToOthers += min(float64(want(c)), max(0, a.recentLoans-c.recentLoans))
	}
	amount := min(float64(want(a)), float64(available)-owedToOthers, level-a.recentLoans)
	if owedToOthers == 0 {
		// There is less than one token for each, so the borrower with the fewest recent loans is served first.
		amount = max(amount, 1)
	}
	return max(0, int64(amount+levelError))
}

// competitors drops expired wants and demand and returns the accounts with current ones. The sort order makes sums of
// floating-point numbers independent of map order.
func (b *bucket) competitors(now ident.Time) []*account {
	var list []*account
	b.wanted = 0
	for _, a := range b.borrowers {
		if now.Sub(a.lastRequest) >= demandLifetime {
			b.setDemand(a, 0)
		}
		if now >= a.wantExpires {
			a.waiting, a.predicted, a.waits = 0, 0, [Priorities]int64{}
		}
		if a.waiting+a.predicted == 0 {
			continue
		}
		a.decay(now)
		b.wanted += a.waiting + a.predicted
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y *account) int {
		return cmp.Or(
			cmp.Compare(x.recentLoans, y.recentLoans), cmp.Compare(x.waiting, y.waiting), cmp.Compare(x.predicted, y.predicted))
	})
	return list
}

// waterLevel returns the highest level, in tokens of recent loans, to which the available tokens can raise the accounts
// that want some. No account gets more than it wants.
func waterLevel(accounts []*account, available float64, want func(*account) int64) float64 {
	least := math.Inf(1)
	for _, a := range accounts {
		if want(a) > 0 {
			least = min(least, a.recentLoans)
		}
	}
	low, high := least, least+available
	// After 40 halvings the error is below a hundredth of a token for any 32-bit amount.
	for range 40 {
		level, need := (low+high)/2, 0.0
		for _, a := range accounts {
			need += min(float64(want(a)), max(0, level-a.recentLoans))
		}
		if need > available {
			high = level
		} else {
			low = level
		}
	}
	return low
}

func (a *account) decay(now ident.Time) {
	if elapsed := now.Sub(a.decayedAt); elapsed > 0 {
		a.recentLoans *= math.Exp2(-float64(elapsed) / float64(shareHalfLife))
		a.decayedAt = now
	}
}

// sweep removes borrowers that have requested no tokens for idleTimeout, by which time their loans have expired.
func (b *bucket) sweep(now ident.Time) {
	b.lastSweep = now
	for id, a := range b.borrowers {
		if now.Sub(a.lastRequest) >= idleTimeout {
			b.wanted -= a.waiting + a.predicted
			b.setDemand(a, 0)
			delete(b.borrowers, id)
			if b.hosts[id.host]--; b.hosts[id.host] == 0 {
				delete(b.hosts, id.host)
			}
		}
	}
}
