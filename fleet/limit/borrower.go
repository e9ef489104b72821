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
	// RequestPeriod is the usual time between borrow requests while tokens are wanted or held, or their use is not yet
	// reported.
	RequestPeriod = 50 * time.Millisecond
	// DefaultMaxWait is the longest time that a request waits for a token while the owner lends, unless
	// Request.MaxWait is set. Time without an owner does not count: a team within its rate must not be refused
	// because the control leader changes, which takes longer than this.
	DefaultMaxWait = time.Second
	// horizon is how far ahead demand is predicted and tokens are borrowed.
	horizon = 200 * time.Millisecond
	// minRequestGap limits a borrower that keeps running out of tokens to 200 borrow requests per second.
	minRequestGap = 5 * time.Millisecond
	// minReturnAge is the age from which tokens without predicted use are returned. Younger ones are kept, since
	// demand often returns within the horizon.
	minReturnAge = horizon
)

// never is later than every time.
const never = ident.Time(math.MaxInt64)

// maxWaiters bounds the requests of one team that wait on one host. With a wait of 1 s, only a team that sends this
// many requests per second beyond its rate to one host reaches it.
const maxWaiters = 10_000

// BorrowerOptions configure a borrower.
type BorrowerOptions struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	// Period replaces RequestPeriod where calls to the owner are expensive; 0 means RequestPeriod. It must be below
	// the horizon of 200 ms for which tokens are prefetched, and below the owner's Lifetime. A request that finds no
	// token triggers a borrow request at once.
	Period time.Duration
	// Prefetch is the minimum number of tokens to borrow in advance for a team with recent requests, where waiting
	// for a call to the owner is expensive. With 0, a host with less than one request per horizon borrows on demand
	// only.
	Prefetch int64
}

// Borrower spends lent tokens on one host and decides when to request more. Its methods are safe for concurrent use,
// except that NextRequest, Drain, HandleResponse and HandleFailure must not run concurrently with each other.
type Borrower struct {
	opts       BorrowerOptions
	lastWaiter atomic.Uint64
	// due is the time of the next borrow request.
	due atomic.Int64
	// lastRequest is the time of the last borrow request.
	lastRequest atomic.Int64
	// mu guards buckets.
	mu      sync.RWMutex
	buckets map[ident.Team]*localBucket
	// seq is the number of the last borrow request. inFlight maps the numbers of unanswered ones to their times.
	seq      uint64
	inFlight map[uint64]ident.Time
}

// NewBorrower returns a borrower without tokens.
func NewBorrower(opts BorrowerOptions) *Borrower {
	if opts.Period == 0 {
		opts.Period = RequestPeriod
	}
	b := &Borrower{opts: opts, buckets: map[ident.Team]*localBucket{}, inFlight: map[uint64]ident.Time{}}
	b.due.Store(int64(never))
	b.lastRequest.Store(int64(-opts.Period))
	return b
}

// WaiterID identifies a request that waits for a token.
type WaiterID uint64

// Decision is the result of Take: Spent, Wait or Refuse.
type Decision interface{ decision() }

// Spent means that a token was spent and the request may run.
type Spent struct{ Receipt Receipt }

// Wait means that the request waits until HandleResponse, HandleFailure or Expire returns its outcome. It is refused
// at Until or, when no owner has responded by then, at a later time up to its deadline.
type Wait struct {
	ID    WaiterID
	Until ident.Time
}

// Refuse means that the request must be rejected.
type Refuse struct{ Exceeded Exceeded }

func (Spent) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Request describes a caller's request that needs a token.
type Request struct {
	Team ident.Team
	// Priority orders requests that wait for tokens of one team; 0 goes first.
	Priority int
	// MaxWait is the longest wait while the owner lends; 0 means DefaultMaxWait.
	MaxWait time.Duration
	// Receipt, if not nil, receives what Refund needs once a token was spent.
	Receipt *Receipt
}

// Take spends a token of the request's team, or queues the request for at most its MaxWait and until its deadline.
// Wake is true when Due has moved to an earlier time.
func (b *Borrower) Take(now ident.Time, request Request, deadline ident.Time) (decision Decision, wake bool) {
	lb := b.localBucket(request.Team)
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.demand.count(now)
	if len(lb.waiters) == 0 {
		if receipt, spent := lb.spend(now); spent {
			return Spent{receipt}, b.lowerDue(b.afterLastRequest(b.opts.Period))
		}
	}
	if lb.ownerUnresponsive && lb.reserve.spend(now) {
		return Spent{}, b.lowerDue(b.afterLastRequest(b.opts.Period))
	}
	if len(lb.waiters) >= maxWaiters {
		return Refuse{Exceeded{Team: request.Team, Cause: CauseCrowded}}, false
	}
	if request.MaxWait == 0 {
		request.MaxWait = DefaultMaxWait
	}
	w := waiter{
		id: WaiterID(b.lastWaiter.Add(1)), since: now, deadline: deadline, priority: request.Priority, maxWait: request.MaxWait,
	}
	if lb.comesTooLate(now, w, lb.waitersUpTo(w.priority)) {
		return Refuse{*lb.tooLate(now, w)}, false
	}
	until := w.deadline
	if !lb.ownerUnresponsive {
		until = lb.maxWaitEnd(w)
	}
	lb.enqueue(w)
	return Wait{w.id, until}, b.lowerDue(max(now, b.requestAt(now, lb, w)))
}

// requestAt returns the time of the borrow request for a request that waits.
func (b *Borrower) requestAt(now ident.Time, lb *localBucket, w waiter) ident.Time {
	switch {
	case lb.retryAfter > 0:
		// The owner has just lent less than was wanted, so a sooner request would only add load.
		return b.afterLastRequest(lb.retryAfter)
	case lb.forecast.appliesTo(now, w.priority):
		return max(lb.forecast.askAt, b.afterLastRequest(minRequestGap))
	}
	return b.afterLastRequest(minRequestGap)
}

func (b *Borrower) afterLastRequest(d time.Duration) ident.Time {
	return ident.Time(b.lastRequest.Load()).Add(d)
}

// lowerDue moves Due to an earlier time and reports whether it moved.
func (b *Borrower) lowerDue(to ident.Time) bool {
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

func (b *Borrower) localBucket(team ident.Team) *localBucket {
	b.mu.RLock()
	lb, found := b.buckets[team]
	b.mu.RUnlock()
	if found {
		return lb
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if lb, found := b.buckets[team]; found {
		return lb
	}
	lb = &localBucket{team: team, period: b.opts.Period, demand: demand{prefetch: b.opts.Prefetch}}
	b.buckets[team] = lb
	return lb
}

// sortedBuckets returns the buckets in the order of their teams, so that messages do not depend on map order.
func (b *Borrower) sortedBuckets() []*localBucket {
	b.mu.RLock()
	defer b.mu.RUnlock()
	list := make([]*localBucket, 0, len(b.buckets))
	for _, lb := range b.buckets {
		list = append(list, lb)
	}
	slices.SortFunc(list, func(x, y *localBucket) int {
		if x.team < y.team {
			return -1
		}
		return 1
	})
	return list
}

// Cancel removes a waiting request; it returns false when the request already got its token or was refused.
func (b *Borrower) Cancel(team ident.Team, id WaiterID) bool {
	lb := b.localBucket(team)
	lb.mu.Lock()
	defer lb.mu.Unlock()
	i := slices.IndexFunc(lb.waiters, func(w waiter) bool { return w.id == id })
	if i < 0 {
		return false
	}
	lb.waiters = slices.Delete(lb.waiters, i, i+1)
	return true
}

// Due returns the time at which NextRequest is due; the far future while nothing is wanted.
func (b *Borrower) Due() ident.Time {
	return ident.Time(b.due.Load())
}

// NextRequest returns the next message to the owner, or nil when there is nothing to request or report.
func (b *Borrower) NextRequest(now ident.Time) *fleetpb.BorrowRequest {
	return b.buildRequest(now, false)
}

// Drain returns the request that gives back all tokens, for shutdown, or nil when there is nothing to give back.
func (b *Borrower) Drain(now ident.Time) *fleetpb.BorrowRequest {
	return b.buildRequest(now, true)
}

func (b *Borrower) buildRequest(now ident.Time, all bool) *fleetpb.BorrowRequest {
	b.due.Store(int64(never))
	b.seq++
	request := &fleetpb.BorrowRequest{
		Host:        string(b.opts.Host),
		Incarnation: uint64(b.opts.Incarnation),
		Seq:         b.seq,
	}
	for _, lb := range b.sortedBuckets() {
		if next := lb.addReport(now, request, all); next > 0 {
			b.lowerDue(now.Add(next))
		}
	}
	if len(request.GetWanted())+len(request.GetHeld()) == 0 {
		return nil
	}
	b.lastRequest.Store(int64(now))
	for seq, at := range b.inFlight {
		if now.Sub(at) >= Lifetime {
			delete(b.inFlight, seq)
		}
	}
	b.inFlight[b.seq] = now
	return request
}

// Outcome is the result of a waiting request: it got its token or was refused.
type Outcome struct {
	ID WaiterID
	// Refused is nil when a token was spent for the request, which Receipt identifies then.
	Refused *Exceeded
	Receipt Receipt
}

// HandleResponse handles the owner's response and returns the outcomes of the waiting requests that it decides: for
// each team the refused ones, then those that got a token, both by priority and age. Of a scarce team, those whose wait
// is over, or would end before their token comes, are the last. Repeated and unknown responses are ignored, and so is a
// loan that has expired before its response arrives.
func (b *Borrower) HandleResponse(now ident.Time, response *fleetpb.BorrowResponse) []Outcome {
	at, found := b.inFlight[response.GetSeq()]
	if !found || response.GetLeader() != "" {
		return nil
	}
	delete(b.inFlight, response.GetSeq())
	if response.GetLifetimeMs() == 0 {
		return b.HandleFailure(now)
	}
	lent := map[ident.Team]*fleetpb.Tokens{}
	for _, t := range response.GetLent() {
		lent[ident.Team(t.GetTeam())] = t
	}
	var outcomes []Outcome
	for _, lb := range b.sortedBuckets() {
		t := lent[lb.team]
		outcomes = append(outcomes, lb.handleResponse(now, answer{
			seq: response.GetSeq(), lent: int64(t.GetAmount()), asked: at, expires: at.Add(duration(response.GetLifetimeMs())),
			scarce: t.GetScarce(), forecast: forecast{retry: duration(t.GetRetryMs()), slot: duration(t.GetSlotMs())},
		})...)
		if again, needed := lb.askAgainAt(now); needed {
			b.lowerDue(max(again, b.afterLastRequest(minRetry)))
		}
	}
	return outcomes
}

// duration converts the milliseconds of a message.
func duration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// HandleFailure handles a failed request, whose response may still arrive, and returns the outcomes of the waiting
// requests that run on the reserve.
func (b *Borrower) HandleFailure(now ident.Time) []Outcome {
	var outcomes []Outcome
	for _, lb := range b.sortedBuckets() {
		outcomes = append(outcomes, lb.handleFailure(now)...)
	}
	b.lowerDue(now.Add(b.opts.Period))
	return outcomes
}

// SetReserves replaces the reserves, which the host may spend while no owner responds. A team without an entry may
// spend nothing.
func (b *Borrower) SetReserves(now ident.Time, reserves map[ident.Team]Reserve) {
	for team := range reserves {
		b.localBucket(team)
	}
	for _, lb := range b.sortedBuckets() {
		lb.mu.Lock()
		lb.reserve.setRule(now, reserves[lb.team])
		lb.mu.Unlock()
	}
}

// Expire refuses the team's waiting requests whose time has passed and returns their outcomes.
func (b *Borrower) Expire(now ident.Time, team ident.Team) []Outcome {
	lb := b.localBucket(team)
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.refuseExpired(now)
}

// Held returns the number of the team's tokens that may be spent at now.
func (b *Borrower) Held(now ident.Time, team ident.Team) int64 {
	lb := b.localBucket(team)
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.held(now)
}
