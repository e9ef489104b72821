package limit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// shareHalfLife is the time in which a borrower's past loans lose half of their weight in the sharing of scarce tokens.
const shareHalfLife = 500 * time.Millisecond

// minRetry bounds the load that starving borrowers put on the owner to 100 requests per second each.
const minRetry = 10 * time.Millisecond

// levelError exceeds the error of waterLevel, so that an exact share is not rounded down by a token.
const levelError = 0.01

// borrowerID is one start of a host; a restarted host has no claim on the loans of its earlier start.
type borrowerID struct {
	host        ident.Host
	incarnation ident.Incarnation
}

// bucket holds one team's tokens.
type bucket struct {
	mu   sync.Mutex
	rule Rule
	// parts is the content of the bucket in billionths of a token.
	parts int64
	at    ident.Time
	// lent counts tokens on loan that may still be spent.
	lent int64
	// wants is at least the sum of all live wants.
	wants int64
	// loans is ordered by expiry; spent loans stay until then.
	loans     []*loan
	borrowers map[borrowerID]*account
	swept     ident.Time
}

type loan struct {
	seq     uint64
	owed    int64
	back    int64
	amount  int64
	expires ident.Time
}

// account is what the owner knows of one borrower.
type account struct {
	loans map[uint64]*loan
	// waiting is unmet demand of requests that wait, and predicted that of the next horizon; both count until wantEnds.
	waiting   int64
	predicted int64
	wantEnds  ident.Time
	// got is the recent sum of loans, decaying since gotAt.
	got   float64
	gotAt ident.Time
	seen  ident.Time
}

func newBucket(now ident.Time, rule Rule) *bucket {
	return &bucket{rule: rule, at: now, swept: now, borrowers: map[borrowerID]*account{}}
}

func (b *bucket) setRule(now ident.Time, rule Rule) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.rule = rule
	b.clamp()
}

// advance expires loans and then refills the bucket up to what the burst leaves beside the live loans.
func (b *bucket) advance(now ident.Time) {
	if now <= b.at {
		return
	}
	n := 0
	for n < len(b.loans) && now >= b.loans[n].expires {
		// The part of the refill before the expiry must not use the room that the expiry makes.
		b.refill(b.loans[n].expires)
		b.lent -= b.loans[n].owed
		b.loans[n].owed = 0
		b.loans[n] = nil
		n++
	}
	b.loans = b.loans[n:]
	b.refill(now)
	if now.Sub(b.swept) >= idleLife {
		b.sweep(now)
	}
}

func (b *bucket) refill(until ident.Time) {
	elapsed := int64(until.Sub(b.at))
	if elapsed <= 0 {
		return
	}
	b.at = until
	if b.rule.Rate == 0 {
		return
	}
	// More time than fills the whole burst changes nothing, and the bound keeps the product within 64 bits.
	elapsed = min(elapsed, int64(b.rule.Burst)*second/int64(b.rule.Rate)+1)
	b.parts += elapsed * int64(b.rule.Rate)
	b.clamp()
}

func (b *bucket) clamp() {
	b.parts = max(0, min(b.parts, (int64(b.rule.Burst)-b.lent)*second))
}

// held lowers what a loan is counted for to what the borrower says that it still holds.
func (b *bucket) held(now ident.Time, who borrowerID, seq uint64, amount int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if l := b.loan(who, seq); l != nil && amount < l.owed {
		b.lent -= l.owed - amount
		l.owed = amount
	}
}

// returned puts tokens back that were not returned before; a loan that has expired counts as spent.
func (b *bucket) returned(now ident.Time, who borrowerID, seq uint64, total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	l := b.loan(who, seq)
	if l == nil || total <= l.back || total > l.amount-l.owed {
		return
	}
	b.parts += (total - l.back) * second
	l.back = total
	b.clamp()
}

// loan returns a live loan, or nil.
func (b *bucket) loan(who borrowerID, seq uint64) *loan {
	a := b.borrowers[who]
	if a == nil {
		return nil
	}
	l := a.loans[seq]
	if l == nil || b.at >= l.expires {
		return nil
	}
	return l
}

// lend makes the loan of a request. A repeated request gets the loan that it got before.
func (b *bucket) lend(now ident.Time, who borrowerID, seq uint64, want, waiting int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	// Concurrent requests may come with times slightly out of order; loans stay ordered by expiry.
	now = max(now, b.at)
	a := b.account(now, who)
	if l := a.loans[seq]; l != nil {
		return l.amount
	}
	waiting = min(want, waiting)
	b.wants += want - a.waiting - a.predicted
	a.waiting, a.predicted, a.wantEnds = waiting, want-waiting, now.Add(wantLife)
	amount := b.share(now, a)
	if amount <= 0 {
		return 0
	}
	a.decay(now)
	a.got += float64(amount)
	b.wants -= amount
	met := min(amount, a.waiting)
	a.waiting -= met
	a.predicted -= amount - met
	l := &loan{seq: seq, owed: amount, amount: amount, expires: now.Add(Lifetime)}
	a.loans[seq] = l
	b.loans = append(b.loans, l)
	b.lent += amount
	b.parts -= amount * second
	return amount
}

func (b *bucket) account(now ident.Time, who borrowerID) *account {
	a, found := b.borrowers[who]
	if !found {
		a = &account{loans: map[uint64]*loan{}, gotAt: now}
		b.borrowers[who] = a
	}
	a.seen = now
	for seq, l := range a.loans {
		if now >= l.expires {
			delete(a.loans, seq)
		}
	}
	return a
}

// share returns the part of the bucket for a borrower. Requests that wait come first. Predicted demand gets only what
// the bucket has above half of the burst: tokens held for predictions keep the bucket from refilling, so with all of the
// burst on loan ahead of need a team with a small burst could not reach its rate.
func (b *bucket) share(now ident.Time, a *account) int64 {
	available := b.parts / second
	spare := available - int64(b.rule.Burst/2)
	if b.wants <= min(available, spare) {
		return a.waiting + a.predicted
	}
	rivals := b.rivals(now)
	var waiting, predicted int64
	for _, r := range rivals {
		waiting += r.waiting
		predicted += r.predicted
	}
	// Every rival asks again within the retry time, by which this much has flowed in. Sharing the present content alone
	// would leave most of it to rivals that are not asking now, and a full bucket would waste the rate.
	inflow := int64(b.rule.Rate) * int64(b.retry()) / second
	amount := part(rivals, a, waiting, available, inflow, func(r *account) int64 { return r.waiting })
	amount += part(rivals, a, predicted, spare-waiting, inflow, func(r *account) int64 { return r.predicted })
	return amount
}

// retry is the time after which a borrower that got too little asks again: a quarter of the time that fills the burst,
// so that a team with a small burst still gets its whole rate.
func (b *bucket) retry() time.Duration {
	if b.rule.Rate == 0 {
		return RequestPeriod
	}
	fill := time.Duration(int64(b.rule.Burst) * second / int64(b.rule.Rate))
	return min(max(fill/4, minRetry), RequestPeriod)
}

// part shares the available tokens and the inflow among wants max-min fairly by recent loans and this one together: no
// borrower gets more while another with less wants tokens. What rivals lack to the borrower's recent loans stays in the
// bucket for them.
func part(rivals []*account, a *account, wants, available, inflow int64, want func(*account) int64) int64 {
	if available <= 0 || want(a) <= 0 {
		return 0
	}
	if wants <= available {
		return want(a)
	}
	level, due := waterLevel(rivals, float64(available+inflow), want), 0.0
	for _, r := range rivals {
		due += min(float64(want(r)), max(0, a.got-r.got))
	}
	amount := min(float64(want(a)), float64(available)-due, level-a.got)
	if due == 0 {
		// Less than a token for each: the one that got least is served first.
		amount = max(amount, 1)
	}
	return max(0, int64(amount+levelError))
}

// rivals drops expired wants and returns the accounts with live ones. The order keeps sums of floating-point numbers
// independent of the order of the map.
func (b *bucket) rivals(now ident.Time) []*account {
	var list []*account
	b.wants = 0
	for _, a := range b.borrowers {
		if now >= a.wantEnds {
			a.waiting, a.predicted = 0, 0
		}
		if a.waiting+a.predicted == 0 {
			continue
		}
		a.decay(now)
		b.wants += a.waiting + a.predicted
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y *account) int {
		return cmp.Or(cmp.Compare(x.got, y.got), cmp.Compare(x.waiting, y.waiting), cmp.Compare(x.predicted, y.predicted))
	})
	return list
}

// waterLevel returns the level up to which the accounts that want something can be filled with the available tokens.
func waterLevel(accounts []*account, available float64, want func(*account) int64) float64 {
	least := math.Inf(1)
	for _, a := range accounts {
		if want(a) > 0 {
			least = min(least, a.got)
		}
	}
	low, high := least, least+available
	// 40 halvings bring the error of any 32-bit amount below a hundredth of a token.
	for range 40 {
		level, need := (low+high)/2, 0.0
		for _, a := range accounts {
			need += min(float64(want(a)), max(0, level-a.got))
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
	if elapsed := now.Sub(a.gotAt); elapsed > 0 {
		a.got *= math.Exp2(-float64(elapsed) / float64(shareHalfLife))
		a.gotAt = now
	}
}

// sweep forgets borrowers without loans that have been silent for long.
func (b *bucket) sweep(now ident.Time) {
	b.swept = now
	for who, a := range b.borrowers {
		if now.Sub(a.seen) >= idleLife {
			b.wants -= a.waiting + a.predicted
			delete(b.borrowers, who)
		}
	}
}
