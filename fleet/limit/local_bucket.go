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
	// CauseTooLate means that the team is above its rate and that its next token comes after the end of the request's wait.
	CauseTooLate
)

//go:generate enumer -type=Cause -trimprefix=Cause -transform=snake

// Exceeded is the error of a request that got no token in time and was not run.
type Exceeded struct {
	Team   ident.Team
	Cause  Cause
	Waited time.Duration
	// Retry is the time after which a token can be expected; 0 if it is not known.
	Retry time.Duration
}

// Error names the team, the cause and the wait.
func (e *Exceeded) Error() string {
	switch e.Cause {
	case CauseNoOwner:
		return fmt.Sprintf("team %s got no token within %v, since the owner of its tokens does not answer", e.Team, rounded(e.Waited))
	case CauseCrowded:
		return fmt.Sprintf("team %s has as many requests waiting for tokens on this host as it may", e.Team)
	case CauseTooLate:
		return fmt.Sprintf("team %s is above its rate and its next token comes too late", e.Team)
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
	// scarce is set while the owner lends the team's tokens on demand; forecast is what it said last. askedFor is the priority of
	// the most urgent request for which the last message wanted a token.
	scarce    bool
	forecast  localForecast
	askedFor  int
	returning returnTimes
	// retryAfter is the time between requests while the owner's last response lent less than waiting; 0 otherwise.
	retryAfter time.Duration
	// ownerUnresponsive is set while no owner responds to requests for tokens. ownerReturned is when the last such
	// time ended, and lastResponse is when an owner last responded to one.
	ownerUnresponsive bool
	ownerReturned     ident.Time
	lastResponse      ident.Time
	// answeredAsk is when the last answered request for tokens was sent.
	answeredAsk ident.Time
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
	// reports is the number of reports to the owner that included the loan.
	reports uint64
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
	lb.waiters = slices.Insert(lb.waiters, lb.waitersUpTo(w.priority), w)
}

// waitersUpTo returns the number of waiting requests that get tokens before a further one of the priority.
func (lb *localBucket) waitersUpTo(priority int) int {
	n, _ := slices.BinarySearchFunc(lb.waiters, priority+1,
		func(other waiter, priority int) int { return other.priority - priority })
	return n
}

// spend takes one token from the loan that expires first. It returns false if there is none.
func (lb *localBucket) spend(now ident.Time) (Receipt, bool) {
	lb.dropLoans(now)
	for _, l := range lb.loans {
		if l.held > 0 {
			l.held--
			l.reportedIn, l.acknowledged = 0, false
			return Receipt{Team: lb.team, loan: l.seq, reports: l.reports}, true
		}
	}
	return Receipt{}, false
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
	expected := lb.expected(now)
	if len(lb.waiters) == 0 {
		lb.returnUnused(now, expected, all)
	}
	for _, l := range lb.loans {
		if l.acknowledged {
			continue
		}
		l.reportedIn = request.GetSeq()
		l.reports++
		request.Held = append(request.Held, lb.tokens(l.held, l.seq))
		if l.returned > 0 {
			request.Returned = append(request.Returned, lb.tokens(l.returned, l.seq))
		}
	}
	lb.waiting = int64(len(lb.waiters))
	if wanted := lb.waiting + expected - lb.held(now); wanted > 0 && !all && (!lb.scarce || lb.waiting > 0) {
		lb.wantedSeq = request.GetSeq()
		request.Wanted = append(request.Wanted, lb.want(now, wanted))
	}
	switch {
	case len(lb.waiters) > 0 && lb.retryAfter > 0:
		return lb.retryAfter
	case len(lb.waiters) > 0 || len(lb.loans) > 0 || (expected > 0 && !lb.scarce):
		return lb.period
	}
	return 0
}

// expected returns the predicted demand. Tokens of a scarce team are borrowed in advance for measured demand only.
func (lb *localBucket) expected(now ident.Time) int64 {
	if lb.scarce {
		return lb.demand.predictMeasured(now)
	}
	return lb.demand.predict(now)
}

// want returns the line of a borrow request for wanted tokens. What the owner needs for a scarce team is left out for others.
func (lb *localBucket) want(now ident.Time, wanted int64) *fleetpb.Tokens {
	tokens := lb.tokens(wanted, 0)
	tokens.Waiting = uint32(min(wanted, lb.waiting))
	if !lb.scarce {
		return tokens
	}
	lb.askedFor = 0
	tokens.Demand = uint32(lb.demand.measured(now))
	for i, w := range lb.waiters {
		p := min(max(w.priority, 0), Priorities-1)
		if i == 0 {
			lb.askedFor = p
		}
		for len(tokens.Waits) <= p {
			tokens.Waits = append(tokens.Waits, 0)
		}
		tokens.Waits[p]++
		patience := lb.maxWaitEnd(w).Sub(now)
		tokens.PatienceMs = max(tokens.PatienceMs, milliseconds(max(patience, time.Millisecond)))
	}
	return tokens
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
		// Others wait for the tokens of a scarce team, so it keeps no young ones.
		if young := left > Lifetime-minReturnAge; (young && !all && !lb.scarce) || keep == l.held {
			continue
		}
		l.returned += l.held - keep
		l.held = keep
		l.reportedIn = 0
		l.acknowledged = false
	}
}

// answer is the owner's response to the wants of one team.
type answer struct {
	seq  uint64
	lent int64
	// expires is the end of the loan; asked is when the request was sent.
	expires, asked ident.Time
	scarce         bool
	forecast       forecast
}

// handleResponse adds a loan, spends it on waiting requests in order, and refuses those whose token would come too late.
func (lb *localBucket) handleResponse(now ident.Time, a answer) []Outcome {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	for _, l := range lb.loans {
		if l.reportedIn == a.seq {
			l.acknowledged = true
		}
	}
	answered := lb.wantedSeq == a.seq
	if answered {
		lb.handleAnswer(now, a)
	}
	if answered && (a.lent < lb.waiting || now < a.expires) {
		lb.lastDecision = now
	}
	if a.lent > 0 && now < a.expires {
		lb.loans = append(lb.loans, &localLoan{seq: a.seq, held: a.lent, acknowledged: true, expires: a.expires})
		slices.SortStableFunc(lb.loans, func(x, y *localLoan) int { return int(x.expires - y.expires) })
	}
	if !lb.scarce {
		return append(lb.refuseExpired(now), lb.serveWaiters(now)...)
	}
	// A token that comes just after the end of a request's wait still serves it, since no other request of the host may need it.
	outcomes := append(lb.refuseWhere(now, func(w waiter) bool { return now >= w.deadline }), lb.serveWaiters(now)...)
	outcomes = append(outcomes, lb.refuseExpired(now)...)
	if answered {
		outcomes = append(outcomes, lb.refuseTooLate(now)...)
	}
	return outcomes
}

// handleAnswer records what the owner says to the wants of the last message.
func (lb *localBucket) handleAnswer(now ident.Time, a answer) {
	if lb.ownerUnresponsive {
		lb.ownerReturned = now
	}
	lb.retryAfter, lb.ownerUnresponsive, lb.wantedSeq, lb.lastResponse = 0, false, 0, now
	lb.answeredAsk, lb.scarce, lb.forecast = a.asked, a.scarce, localForecast{}
	switch short := a.lent < lb.waiting; {
	case short && a.scarce:
		lb.forecast = localForecast{
			askAt: a.asked.Add(a.forecast.retry), next: now.Add(a.forecast.retry), until: now.Add(min(a.forecast.retry, maxForecastAge)),
			slot: max(a.forecast.slot, time.Millisecond), priority: lb.askedFor,
		}
	case short:
		// A long period means that calls to the owner are expensive. A team above its rate must not cause many times
		// as many calls as the others, so its retry interval is only RequestPeriod shorter than a long period.
		lb.retryAfter = max(min(max(a.forecast.retry, minRequestGap), RequestPeriod), lb.period-RequestPeriod)
	}
}

// serveWaiters spends tokens on waiting requests in order.
func (lb *localBucket) serveWaiters(now ident.Time) []Outcome {
	var outcomes []Outcome
	for len(lb.waiters) > len(outcomes) {
		receipt, spent := lb.spend(now)
		if !spent {
			break
		}
		outcomes = append(outcomes, Outcome{ID: lb.waiters[len(outcomes)].id, Receipt: receipt})
	}
	lb.waiters = slices.Delete(lb.waiters, 0, len(outcomes))
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
	if lb.scarce && lb.answeredAsk < w.since {
		// The response was to an earlier request, and the one for this token may be on its way.
		return w.deadline
	}
	return lb.maxWaitEnd(w)
}

func (lb *localBucket) maxWaitEnd(w waiter) ident.Time {
	return min(w.deadline, max(w.since, lb.ownerReturned).Add(w.maxWait))
}

func (lb *localBucket) refuseExpired(now ident.Time) []Outcome {
	return lb.refuseWhere(now, func(w waiter) bool { return now >= lb.waitEnd(w) })
}

// refuseWhere refuses the waiting requests that expired returns true for.
func (lb *localBucket) refuseWhere(now ident.Time, expired func(waiter) bool) []Outcome {
	var outcomes []Outcome
	lb.waiters = slices.DeleteFunc(lb.waiters, func(w waiter) bool {
		if !expired(w) {
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
		return e
	}
	if lb.scarce {
		e.Retry = lb.returnTime(now, w.priority)
	}
	return e
}
