package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Lifetime is how long lent tokens may be spent.
const Lifetime = 500 * time.Millisecond

// Timing of an owner.
const (
	// wantLifetime is the time for which an unmet want competes for tokens: two periods of a borrower's requests, so
	// that one lost request does not forfeit the share.
	wantLifetime = 2 * RequestPeriod
	// demandLifetime is the time for which a borrower's demand counts after its last request.
	demandLifetime = time.Second
	// idleTimeout is the time without requests for tokens after which a borrower is removed.
	idleTimeout = 10 * time.Second
	// second is the number of nanoseconds in a second and of nanotokens in a token, which makes rate x elapsed
	// nanoseconds exact.
	second = int64(time.Second)
)

// Rule is a team's rate in tokens per second and its burst in tokens.
type Rule struct {
	Rate  uint32
	Burst uint32
}

// OwnerOptions configure an owner.
type OwnerOptions struct {
	// Since is a time such that no earlier owner lends tokens from then on. The owner lends nothing until one Lifetime later,
	// except an advance.
	Since ident.Time
}

// Owner keeps the teams' token buckets and lends from them. Its methods are safe for concurrent use.
type Owner struct {
	lendsFrom ident.Time
	mu        sync.RWMutex
	teams     map[ident.Team]*bucket
	// advanced is set once the owner has an advance, which it lends before lendsFrom.
	advanced  bool
	takenBack atomic.Int64
}

// NewOwner returns an owner without teams.
func NewOwner(opts OwnerOptions) *Owner {
	return &Owner{lendsFrom: opts.Since.Add(Lifetime), teams: map[ident.Team]*bucket{}}
}

// LendsFrom returns the time from which the owner lends tokens of its buckets.
func (o *Owner) LendsFrom() ident.Time {
	return o.lendsFrom
}

// Advance adds tokens beyond the teams' rules to their buckets, which the owner lends at once. Spending in spans that start before
// now or before LendsFrom then exceeds burst + rate x span by at most the advance: nothing that earlier owners lent can be spent after
// LendsFrom, the bucket refills from then on, and loans plus the bucket's content never exceed the burst. Later spans don't exceed it. The
// caller makes sure that no other owner has an advance in the same window.
func (o *Owner) Advance(now ident.Time, amount func(Rule) int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.advanced {
		return
	}
	o.advanced = true
	for _, b := range o.teams {
		b.add(now, amount)
	}
}

// SetRules replaces the teams and their rules. The bucket of a new team starts empty at LendsFrom, since another owner may have
// lent its tokens before. It has refilled since then, as nobody has lent tokens of this team.
func (o *Owner) SetRules(now ident.Time, rules map[ident.Team]Rule) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for team, b := range o.teams {
		if _, found := rules[team]; !found {
			// The bucket stays, so that a team that returns does not get a new bucket while its loans can still be
			// spent.
			b.setRule(now, Rule{})
		}
	}
	for team, rule := range rules {
		if b, found := o.teams[team]; found {
			b.setRule(now, rule)
			continue
		}
		o.teams[team] = newBucket(o.lendsFrom, rule)
	}
}

// Borrow applies a borrower's report and lends as many of the wanted tokens as the rule allows. It handles repeated,
// late and reordered requests. An owner that does not lend yet responds with a lifetime of 0.
func (o *Owner) Borrow(now ident.Time, request *fleetpb.BorrowRequest) *fleetpb.BorrowResponse {
	response := &fleetpb.BorrowResponse{
		LifetimeMs: uint32(Lifetime / time.Millisecond),
		Seq:        request.GetSeq(),
	}
	id := borrowerID{ident.Host(request.GetHost()), ident.Incarnation(request.GetIncarnation())}
	for _, t := range request.GetHeld() {
		if b := o.bucket(t.GetTeam()); b != nil {
			b.reportHeld(now, id, t.GetLoan(), int64(t.GetAmount()))
		}
	}
	for _, t := range request.GetReturned() {
		if b := o.bucket(t.GetTeam()); b != nil {
			o.takenBack.Add(b.returnTokens(now, id, t.GetLoan(), int64(t.GetAmount())))
		}
	}
	if !o.lends(now) {
		response.LifetimeMs = 0
		return response
	}
	for _, t := range request.GetWanted() {
		b := o.bucket(t.GetTeam())
		if b == nil {
			continue
		}
		w := newWant(t)
		g := b.lend(now, id, request.GetSeq(), w)
		lent := &fleetpb.Tokens{Team: t.GetTeam(), Amount: uint32(g.amount), Loan: request.GetSeq(), Scarce: g.scarce}
		if g.amount < w.waiting {
			lent.RetryMs = milliseconds(g.retry)
			lent.SlotMs = milliseconds(g.slot)
		}
		response.Lent = append(response.Lent, lent)
	}
	return response
}

// lends reports whether the owner lends tokens yet.
func (o *Owner) lends(now ident.Time) bool {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.advanced || now >= o.lendsFrom
}

// newWant converts a line of a borrow request. A request that names no priorities counts as one of the most urgent ones.
func newWant(t *fleetpb.Tokens) want {
	w := want{
		amount: int64(t.GetAmount()), waiting: int64(t.GetWaiting()), demand: int64(t.GetDemand()),
		patience: duration(t.GetPatienceMs()),
	}
	left := min(w.amount, w.waiting)
	for p, n := range t.GetWaits() {
		n := min(int64(n), left)
		w.waits[min(p, Priorities-1)] += n
		left -= n
	}
	w.waits[0] += left
	return w
}

func milliseconds(d time.Duration) uint32 {
	return uint32(d / time.Millisecond)
}

// TakenBack returns the number of unspent tokens that borrowers have given back.
func (o *Owner) TakenBack() int64 {
	return o.takenBack.Load()
}

func (o *Owner) bucket(name string) *bucket {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.teams[ident.Team(name)]
}

// Balance is the state of a team's bucket in whole tokens.
type Balance struct {
	Bucket, Lent int64
	Borrowers    int
}

// Balance returns the team's tokens in the bucket and on loan, and the number of its borrowers.
func (o *Owner) Balance(now ident.Time, team ident.Team) Balance {
	b := o.bucket(string(team))
	if b == nil {
		return Balance{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return Balance{Bucket: b.nanotokens / second, Lent: b.lent, Borrowers: len(b.borrowers)}
}
