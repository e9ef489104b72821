package limit

import (
	"sync"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Lifetime is the time for which lent tokens may be spent.
const Lifetime = 500 * time.Millisecond

// Timing of an owner.
const (
	// wantLife is the time for which an unmet want competes for tokens: two periods of a borrower's requests, so that one
	// lost request does not forfeit the share.
	wantLife = 2 * RequestPeriod
	// idleLife is the time after which a borrower without loans is forgotten.
	idleLife = 10 * time.Second
	// second in nanoseconds is also the number of parts of a token: rate x elapsed nanoseconds is then exact.
	second = int64(time.Second)
)

// Rule is a team's rate in tokens per second and its burst in tokens.
type Rule struct {
	Rate  uint32
	Burst uint32
}

// OwnerOptions configure an owner.
type OwnerOptions struct {
	// Since is a time from which no earlier owner lends any more. The owner lends nothing until one lifetime later.
	Since ident.Time
}

// Owner keeps the token buckets of teams and lends from them. Its methods may be called from several goroutines.
type Owner struct {
	opens ident.Time
	mu    sync.RWMutex
	teams map[ident.Team]*bucket
}

// NewOwner returns an owner without teams.
func NewOwner(opts OwnerOptions) *Owner {
	return &Owner{opens: opts.Since.Add(Lifetime), teams: map[ident.Team]*bucket{}}
}

// SetRules replaces the teams and their rules. The bucket of a new team starts empty, since nothing here tells whether
// another owner has lent its tokens before.
func (o *Owner) SetRules(now ident.Time, rules map[ident.Team]Rule) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for team, b := range o.teams {
		if _, found := rules[team]; !found {
			// The bucket stays, so that a team that comes back does not start anew beside its live loans.
			b.setRule(now, Rule{})
		}
	}
	for team, rule := range rules {
		if b, found := o.teams[team]; found {
			b.setRule(now, rule)
			continue
		}
		o.teams[team] = newBucket(max(now, o.opens), rule)
	}
}

// Borrow takes a borrower's report and lends what it wants and the rule allows. Repeated, late and crossed requests are
// harmless. An owner that lends nothing yet says so by a lifetime of 0.
func (o *Owner) Borrow(now ident.Time, request *fleetpb.BorrowRequest) *fleetpb.BorrowResponse {
	response := &fleetpb.BorrowResponse{
		LifetimeMs: uint32(Lifetime / time.Millisecond),
		Seq:        request.GetSeq(),
	}
	who := borrowerID{ident.Host(request.GetHost()), ident.Incarnation(request.GetIncarnation())}
	for _, t := range request.GetHeld() {
		if b := o.team(t.GetTeam()); b != nil {
			b.held(now, who, t.GetLoan(), int64(t.GetAmount()))
		}
	}
	for _, t := range request.GetReturned() {
		if b := o.team(t.GetTeam()); b != nil {
			b.returned(now, who, t.GetLoan(), int64(t.GetAmount()))
		}
	}
	if now < o.opens {
		response.LifetimeMs = 0
		return response
	}
	for _, t := range request.GetWanted() {
		b := o.team(t.GetTeam())
		if b == nil {
			continue
		}
		amount := b.lend(now, who, request.GetSeq(), int64(t.GetAmount()), int64(t.GetWaiting()))
		lent := &fleetpb.Tokens{Team: t.GetTeam(), Amount: uint32(amount), Loan: request.GetSeq()}
		if amount < int64(t.GetWaiting()) {
			lent.RetryMs = uint32(b.retry() / time.Millisecond)
		}
		response.Lent = append(response.Lent, lent)
	}
	return response
}

func (o *Owner) team(name string) *bucket {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.teams[ident.Team(name)]
}

// Balance is what an owner counts for a team, in whole tokens.
type Balance struct {
	Bucket, Lent int64
	Borrowers    int
}

// Balance returns the team's tokens in the bucket and out on loan.
func (o *Owner) Balance(now ident.Time, team ident.Team) Balance {
	b := o.team(string(team))
	if b == nil {
		return Balance{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return Balance{Bucket: b.parts / second, Lent: b.lent, Borrowers: len(b.borrowers)}
}
