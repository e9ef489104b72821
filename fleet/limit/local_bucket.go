package limit

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Cause is the reason why a request got no token.
type Cause int

// Causes of a refusal.
const (
	// CauseRate means that the team is above its rate: the owner lent less than was wanted.
	CauseRate Cause = iota
	// CauseNoOwner means that no owner responded.
	CauseNoOwner
	// CauseCrowded means that too many requests of the team wait on the host.
	CauseCrowded
)

//go:generate enumer -type=Cause -trimprefix=Cause -transform=snake

// Exceeded is the error of a request that got no token in time and was not run.
type Exceeded struct {
	Team   ident.Team
	Cause  Cause
	Waited time.Duration
}

// Error names the team, the cause and the wait.
func (e *Exceeded) Error() string {
	switch e.Cause {
	case CauseNoOwner:
		return fmt.Sprintf("team %s got no token within %v, since the owner of its tokens does not answer", e.Team, rounded(e.Waited))
	case CauseCrowded:
		return fmt.Sprintf("team %s has as many requests waiting for tokens on this host as it may", e.Team)
	default:
		return fmt.Sprintf("team %s is above its rate and got no token within %v", e.Team, rounded(e.Waited))
	}
}

// rounded drops digits below a millisecond, which are of no use to operators.
func rounded(waited time.Duration) time.Duration {
	return waited.Round(time.Millisecond)
}

// localBucket holds one team's tokens and waiting requests on one host.
type localBucket struct {
	team    ident.Team
	mu      sync.Mutex
	loans   []*localLoan
	waiters []waiter
	demand  demand
	// waiting is the number of requests for which the last message wanted tokens. wantedSeq is the number of that
	// message until it is answered.
	waiting   int64
	wantedSeq uint64
	// retryAfter is the time between requests while the owner's last response lent less than waiting; 0 otherwise.
	retryAfter time.Duration
	// ownerUnresponsive is set while no owner responds to requests for tokens. ownerReturned is when the last such
	// time ended, and lastResponse is when an owner last responded to one.
	ownerUnresponsive bool
	ownerReturned     ident.Time
	lastResponse      ident.Time
	// lastDecision is when an owner last lent tokens that could still be spent, or fewer than were wanted.
	lastDecision ident.Time
	reserve      reserve
	// period is the time between borrow requests.
	period time.Duration
}

// localLoan is the borrower's record of a loan.
type localLoan struct {
	seq      uint64
	held     int64
	returned int64
	expires  ident.Time
	// reportedIn is the number of the borrow request that last reported held and returned, 0 after a change. acknowledged
	// is set once that request is answered.
	reportedIn   uint64
	acknowledged bool
}

type waiter struct {
	id       WaiterID
	since    ident.Time
	deadline ident.Time
	priority int
	maxWait  time.Duration
}

// enqueue adds a waiting request after those of the same or a higher urgency.
func (lb *localBucket) enqueue(w waiter) {
	at, _ := slices.BinarySearchFunc(lb.waiters, w.priority+1,
		func(other waiter, priority int) int { return other.priority - priority })
	lb.waiters = slices.Insert(lb.waiters, at, w)
}

// spend takes one token from the loan that expires first.
func (lb *localBucket) spend(now ident.Time) bool {
	lb.dropLoans(now)
	for _, l := range lb.loans {
		if l.held > 0 {
			l.held--
			l.reportedIn, l.acknowledged = 0, false
			return true
		}
	}
	return false
}

// dropLoans removes expired loans, and spent loans whose last report the owner has acknowledged.
func (lb *localBucket) dropLoans(now ident.Time) {
	lb.loans = slices.DeleteFunc(lb.loans, func(l *localLoan) bool {
		return now >= l.expires || (l.held == 0 && l.acknowledged)
	})
}

func (lb *localBucket) held(now ident.Time) int64 {
	lb.dropLoans(now)
	var sum int64
	for _, l := range lb.loans {
		sum += l.held
	}
	return sum
}

// addReport adds the team's part to a request and returns the time until the next one, 0 when none will be needed.
func (lb *localBucket) addReport(now ident.Time, request *fleetpb.BorrowRequest, all bool) time.Duration {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.dropLoans(now)
	expected := lb.demand.predict(now)
	if len(lb.waiters) == 0 {
		lb.returnUnused(now, expected, all)
	}
	for _, l := range lb.loans {
		if l.acknowledged {
			continue
		}
		l.reportedIn = request.GetSeq()
		request.Held = append(request.Held, lb.tokens(l.held, l.seq))
		if l.returned > 0 {
			request.Returned = append(request.Returned, lb.tokens(l.returned, l.seq))
		}
	}
	lb.waiting = int64(len(lb.waiters))
	if wanted := lb.waiting + expected - lb.held(now); wanted > 0 && !all {
		lb.wantedSeq = request.GetSeq()
		tokens := lb.tokens(wanted, 0)
		tokens.Waiting = uint32(min(wanted, lb.waiting))
		request.Wanted = append(request.Wanted, tokens)
	}
	switch {
	case len(lb.waiters) > 0 && lb.retryAfter > 0:
		return lb.retryAfter
	case len(lb.waiters) > 0 || len(lb.loans) > 0 || expected > 0:
		return lb.period
	}
	return 0
}

func (lb *localBucket) tokens(amount int64, loan uint64) *fleetpb.Tokens {
	return &fleetpb.Tokens{Team: string(lb.team), Amount: uint32(amount), Loan: loan}
}

// returnUnused marks tokens for return that predicted demand will not spend before they expire.
func (lb *localBucket) returnUnused(now ident.Time, expected int64, all bool) {
	used := int64(0)
	for _, l := range lb.loans {
		left := l.expires.Sub(now)
		usable := max(0, expected*int64(left)/int64(horizon)-used)
		keep := min(l.held, usable, max(0, expected-used))
		used += keep
		if all {
			keep = 0
		}
		if young := left > Lifetime-minReturnAge; (young && !all) || keep == l.held {
			continue
		}
		l.returned += l.held - keep
		l.held = keep
		l.reportedIn = 0
		l.acknowledged = false
	}
}

// handleResponse adds a loan and spends it on waiting requests in order.
func (lb *localBucket) handleResponse(
	now ident.Time, seq uint64, lent int64, retry time.Duration, expires ident.Time,
) []Outcome {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	for _, l := range lb.loans {
		if l.reportedIn == seq {
			l.acknowledged = true
		}
	}
	if lb.wantedSeq == seq {
		if lb.ownerUnresponsive {
			lb.ownerReturned = now
		}
		lb.retryAfter, lb.ownerUnresponsive, lb.wantedSeq, lb.lastResponse = 0, false, 0, now
		if lent < lb.waiting {
			// A long period means that calls to the owner are expensive. A team above its rate must not cause many times
			// as many calls as the others, so its retry interval is only RequestPeriod shorter than a long period.
			lb.retryAfter = max(min(max(retry, minRequestGap), RequestPeriod), lb.period-RequestPeriod)
		}
	}
	if lb.lastResponse == now && (lent < lb.waiting || now < expires) {
		lb.lastDecision = now
	}
	if lent > 0 && now < expires {
		lb.loans = append(lb.loans, &localLoan{seq: seq, held: lent, acknowledged: true, expires: expires})
		slices.SortStableFunc(lb.loans, func(x, y *localLoan) int { return int(x.expires - y.expires) })
	}
	outcomes := lb.refuseExpired(now)
	n := 0
	for n < len(lb.waiters) && lb.spend(now) {
		outcomes = append(outcomes, Outcome{ID: lb.waiters[n].id})
		n++
	}
	lb.waiters = slices.Delete(lb.waiters, 0, n)
	return outcomes
}

// handleFailure records that the owner did not respond, and lets waiting requests run on the reserve.
func (lb *localBucket) handleFailure(now ident.Time) []Outcome {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	if lb.wantedSeq != 0 {
		lb.ownerUnresponsive = true
	}
	var outcomes []Outcome
	for lb.ownerUnresponsive && len(lb.waiters) > 0 && lb.reserve.spend(now) {
		outcomes = append(outcomes, Outcome{ID: lb.waiters[0].id})
		lb.waiters = slices.Delete(lb.waiters, 0, 1)
	}
	return outcomes
}

// waitEnd returns the end of a request's wait as of now. MaxWait applies only once an owner has responded since the
// request arrived: until then, the call for its token may have gone to an owner that is down.
func (lb *localBucket) waitEnd(w waiter) ident.Time {
	if lb.ownerUnresponsive || lb.lastResponse < w.since {
		return w.deadline
	}
	return lb.maxWaitEnd(w)
}

func (lb *localBucket) maxWaitEnd(w waiter) ident.Time {
	return min(w.deadline, max(w.since, lb.ownerReturned).Add(w.maxWait))
}

func (lb *localBucket) refuseExpired(now ident.Time) []Outcome {
	var outcomes []Outcome
	lb.waiters = slices.DeleteFunc(lb.waiters, func(w waiter) bool {
		if now < lb.waitEnd(w) {
			return false
		}
		outcomes = append(outcomes, Outcome{ID: w.id, Refused: lb.exceeded(w, now)})
		return true
	})
	return outcomes
}

func (lb *localBucket) exceeded(w waiter, now ident.Time) *Exceeded {
	e := &Exceeded{Team: lb.team, Cause: CauseRate, Waited: now.Sub(w.since)}
	if lb.ownerUnresponsive || lb.lastDecision < w.since {
		e.Cause = CauseNoOwner
	}
	return e
}
