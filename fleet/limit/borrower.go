package limit

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Timing of a borrower.
const (
	// RequestPeriod is the usual time between requests while tokens are wanted, held or unreported.
	RequestPeriod = 50 * time.Millisecond
	// DefaultMaxWait is the longest wait of a request for a token while the owner lends, unless it says another one. Time
	// without an owner does not count: a team within its rate must not be refused because the control leader changes, which
	// takes longer than this.
	DefaultMaxWait = time.Second
	// horizon is the time for which demand is predicted and borrowed ahead.
	horizon = 200 * time.Millisecond
	// minGap bounds the requests of a borrower that keeps running short, at 200 per second.
	minGap = 5 * time.Millisecond
	// keepYoung is the age from which tokens without predicted use are given back. Younger ones are kept, since demand
	// often returns within the horizon.
	keepYoung = horizon
)

// never is later than every time.
const never = ident.Time(math.MaxInt64)

// maxWaiters bounds the requests of a team that wait on one host. At 1 s of waiting it is reached only by a team that
// sends this many requests per second to one host beyond its rate.
const maxWaiters = 10_000

// BorrowerOptions configure a borrower.
type BorrowerOptions struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	// Period replaces RequestPeriod where calls to the owner are dear; 0 means RequestPeriod. It must be below the horizon of
	// 200 ms for which tokens are borrowed ahead, and below the owner's Lifetime. A request that finds no token asks at once.
	Period time.Duration
	// Prefetch is the least number of tokens borrowed before they are needed for a team with recent requests, where waiting
	// for a call to the owner is dear. With 0 a host with less than one request in the horizon borrows on demand only.
	Prefetch int64
}

// Borrower spends lent tokens on one host and decides when to ask for more. Its methods may be called from several
// goroutines; NextRequest, HandleResponse and HandleFailure from one at a time.
type Borrower struct {
	opts    BorrowerOptions
	waiters atomic.Uint64
	// due is the time of the next request.
	due atomic.Int64
	// last is the time of the last request.
	last   atomic.Int64
	mu     sync.RWMutex
	purses map[ident.Team]*purse
	seq    uint64
	asked  map[uint64]ident.Time
}

// NewBorrower returns a borrower without tokens.
func NewBorrower(opts BorrowerOptions) *Borrower {
	if opts.Period == 0 {
		opts.Period = RequestPeriod
	}
	b := &Borrower{opts: opts, purses: map[ident.Team]*purse{}, asked: map[uint64]ident.Time{}}
	b.due.Store(int64(never))
	b.last.Store(int64(-opts.Period))
	return b
}

// WaiterID names a request that waits for a token.
type WaiterID uint64

// Decision is the answer to Take: Spent, Wait or Refuse.
type Decision interface{ decision() }

// Spent says that a token was spent and the request may run.
type Spent struct{}

// Wait says that the request waits until a later HandleResponse or Expire names it: at Until, or, when no owner has answered
// by then, later up to its deadline.
type Wait struct {
	ID    WaiterID
	Until ident.Time
}

// Refuse says that the request must be rejected.
type Refuse struct{ Exceeded Exceeded }

func (Spent) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Request is what a request says of the token that it needs.
type Request struct {
	Team ident.Team
	// Priority orders requests that wait for tokens of one team; 0 goes first.
	Priority int
	// MaxWait is the longest wait while the owner lends; 0 means DefaultMaxWait.
	MaxWait time.Duration
}

// Take spends a token of the request's team, or queues it for its MaxWait and until its deadline at most. Wake is true when
// Due has moved to an earlier time.
func (b *Borrower) Take(now ident.Time, request Request, deadline ident.Time) (decision Decision, wake bool) {
	p := b.purse(request.Team)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.count(now)
	if len(p.waiters) == 0 && p.spend(now) {
		return Spent{}, b.lower(b.after(b.opts.Period))
	}
	if p.silent && p.reserve.spend(now) {
		return Spent{}, b.lower(b.after(b.opts.Period))
	}
	if len(p.waiters) >= maxWaiters {
		return Refuse{Exceeded{Team: request.Team, Cause: CauseCrowded}}, false
	}
	if request.MaxWait == 0 {
		request.MaxWait = DefaultMaxWait
	}
	w := waiter{
		id: WaiterID(b.waiters.Add(1)), since: now, deadline: deadline, priority: request.Priority, maxWait: request.MaxWait,
	}
	until := w.deadline
	if !p.silent {
		until = p.maxWaitEnd(w)
	}
	p.queue(w)
	if p.starved > 0 {
		// The owner has just lent less than was wanted, so asking sooner would only add load.
		return Wait{w.id, until}, b.lower(b.after(p.starved))
	}
	return Wait{w.id, until}, b.lower(max(now, b.after(minGap)))
}

func (b *Borrower) after(d time.Duration) ident.Time {
	return ident.Time(b.last.Load()).Add(d)
}

// lower moves Due to an earlier time and reports whether it moved.
func (b *Borrower) lower(to ident.Time) bool {
	for {
		old := b.due.Load()
		if int64(to) >= old {
			return false
		}
		if b.due.CompareAndSwap(old, int64(to)) {
			return true
		}
	}
}

func (b *Borrower) purse(team ident.Team) *purse {
	b.mu.RLock()
	p, found := b.purses[team]
	b.mu.RUnlock()
	if found {
		return p
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, found := b.purses[team]; found {
		return p
	}
	p = &purse{team: team, period: b.opts.Period, demand: demand{prefetch: b.opts.Prefetch}}
	b.purses[team] = p
	return p
}

// sorted returns the purses in the order of their teams, so that messages do not depend on the order of a map.
func (b *Borrower) sorted() []*purse {
	b.mu.RLock()
	defer b.mu.RUnlock()
	list := make([]*purse, 0, len(b.purses))
	for _, p := range b.purses {
		list = append(list, p)
	}
	slices.SortFunc(list, func(x, y *purse) int {
		if x.team < y.team {
			return -1
		}
		return 1
	})
	return list
}

// Cancel removes a waiting request; it returns false when the request has got its token or was refused already.
func (b *Borrower) Cancel(team ident.Team, id WaiterID) bool {
	p := b.purse(team)
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.waiters, func(w waiter) bool { return w.id == id })
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return true
}

// Due returns the time of the NextRequest that is due; the far future while nothing is wanted.
func (b *Borrower) Due() ident.Time {
	return ident.Time(b.due.Load())
}

// NextRequest returns the message to the owner, or nil when there is nothing to say.
func (b *Borrower) NextRequest(now ident.Time) *fleetpb.BorrowRequest {
	return b.ask(now, false)
}

// Drain returns a message that gives back everything, for shutdown; nil when there is nothing to give back.
func (b *Borrower) Drain(now ident.Time) *fleetpb.BorrowRequest {
	return b.ask(now, true)
}

func (b *Borrower) ask(now ident.Time, all bool) *fleetpb.BorrowRequest {
	b.due.Store(int64(never))
	b.seq++
	request := &fleetpb.BorrowRequest{
		Host:        string(b.opts.Host),
		Incarnation: uint64(b.opts.Incarnation),
		Seq:         b.seq,
	}
	for _, p := range b.sorted() {
		if next := p.report(now, request, all); next > 0 {
			b.lower(now.Add(next))
		}
	}
	if len(request.GetWanted())+len(request.GetHeld()) == 0 {
		return nil
	}
	b.last.Store(int64(now))
	for seq, at := range b.asked {
		if now.Sub(at) >= Lifetime {
			delete(b.asked, seq)
		}
	}
	b.asked[b.seq] = now
	return request
}

// Outcome tells a waiting request whether it got its token.
type Outcome struct {
	ID WaiterID
	// Refused is nil when a token was spent for the request.
	Refused *Exceeded
}

// HandleResponse takes the owner's response and returns the waiting requests that it decides, oldest first. Responses that are
// repeated, unknown or older than the lifetime of their loans are ignored.
func (b *Borrower) HandleResponse(now ident.Time, response *fleetpb.BorrowResponse) []Outcome {
	at, found := b.asked[response.GetSeq()]
	if !found || response.GetLeader() != "" {
		return nil
	}
	delete(b.asked, response.GetSeq())
	if response.GetLifetimeMs() == 0 {
		return b.HandleFailure(now)
	}
	expires := at.Add(time.Duration(response.GetLifetimeMs()) * time.Millisecond)
	lent := map[ident.Team]*fleetpb.Tokens{}
	for _, t := range response.GetLent() {
		lent[ident.Team(t.GetTeam())] = t
	}
	var outcomes []Outcome
	for _, p := range b.sorted() {
		t := lent[p.team]
		retry := time.Duration(t.GetRetryMs()) * time.Millisecond
		outcomes = append(outcomes, p.answer(now, response.GetSeq(), int64(t.GetAmount()), retry, expires)...)
	}
	return outcomes
}

// HandleFailure takes the failure of a request, whose answer may still come, and returns the waiting requests that the
// reserve lets run.
func (b *Borrower) HandleFailure(now ident.Time) []Outcome {
	var outcomes []Outcome
	for _, p := range b.sorted() {
		outcomes = append(outcomes, p.lost(now)...)
	}
	b.lower(now.Add(b.opts.Period))
	return outcomes
}

// SetReserves replaces what the host may spend of each team while no owner answers; a team that is not named may spend
// nothing.
func (b *Borrower) SetReserves(now ident.Time, reserves map[ident.Team]Reserve) {
	for team := range reserves {
		b.purse(team)
	}
	for _, p := range b.sorted() {
		p.mu.Lock()
		p.reserve.setRule(now, reserves[p.team])
		p.mu.Unlock()
	}
}

// Expire returns the team's waiting requests whose time has passed; they are refused.
func (b *Borrower) Expire(now ident.Time, team ident.Team) []Outcome {
	p := b.purse(team)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refuse(now)
}

// Held returns the tokens of the team that may be spent at now.
func (b *Borrower) Held(now ident.Time, team ident.Team) int64 {
	p := b.purse(team)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held(now)
}
