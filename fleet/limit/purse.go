package limit

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Cause says why a request got no token.
type Cause int

// Causes of a refusal.
const (
	// CauseRate is a team above its rate: the owner lent less than was wanted.
	CauseRate Cause = iota
	// CauseNoOwner is an owner that did not answer.
	CauseNoOwner
	// CauseCrowded is a team with too many requests waiting on the host.
	CauseCrowded
)

//go:generate enumer -type=Cause -trimprefix=Cause -transform=snake

// Exceeded is the refusal of a request that got no token in time; it was not run.
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

// rounded leaves out what says nothing to operators.
func rounded(waited time.Duration) time.Duration {
	return waited.Round(time.Millisecond)
}

// purse holds one team's tokens and waiting requests on one host.
type purse struct {
	team    ident.Team
	mu      sync.Mutex
	loans   []*borrowed
	waiters []waiter
	demand  demand
	// waiting is the number of requests for which the last message wanted tokens, and asked its number while it is
	// unanswered.
	waiting int64
	asked   uint64
	// starved is the time between requests while the owner's last answer lent less than waiting; 0 otherwise.
	starved time.Duration
	// silent is set while no owner answers requests for tokens, and back is when the last such time ended. Answered is when an
	// owner last answered one.
	silent   bool
	back     ident.Time
	answered ident.Time
	reserve  reserve
	// period is the time between requests.
	period time.Duration
}

// borrowed is a loan as the borrower counts it.
type borrowed struct {
	seq     uint64
	held    int64
	back    int64
	expires ident.Time
	// sent is the request that reported held and back last, 0 after a change; clean once that request was answered.
	sent  uint64
	clean bool
}

type waiter struct {
	id       WaiterID
	since    ident.Time
	deadline ident.Time
	priority int
	maxWait  time.Duration
}

// queue adds a waiting request, behind those that are as urgent and before the others.
func (p *purse) queue(w waiter) {
	at, _ := slices.BinarySearchFunc(p.waiters, w.priority+1, func(other waiter, priority int) int { return other.priority - priority })
	p.waiters = slices.Insert(p.waiters, at, w)
}

// spend takes one token from the loan that expires first.
func (p *purse) spend(now ident.Time) bool {
	p.drop(now)
	for _, l := range p.loans {
		if l.held > 0 {
			l.held--
			l.sent, l.clean = 0, false
			return true
		}
	}
	return false
}

// drop forgets expired loans, and spent loans that the owner knows of.
func (p *purse) drop(now ident.Time) {
	p.loans = slices.DeleteFunc(p.loans, func(l *borrowed) bool {
		return now >= l.expires || (l.held == 0 && l.clean)
	})
}

func (p *purse) held(now ident.Time) int64 {
	p.drop(now)
	var sum int64
	for _, l := range p.loans {
		sum += l.held
	}
	return sum
}

// report adds the team's part to a request and returns the time until the next one, 0 when none will be needed.
func (p *purse) report(now ident.Time, request *fleetpb.BorrowRequest, all bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(now)
	expected := p.demand.next(now)
	if len(p.waiters) == 0 {
		p.giveBack(now, expected, all)
	}
	for _, l := range p.loans {
		if l.clean {
			continue
		}
		l.sent = request.GetSeq()
		request.Held = append(request.Held, p.tokens(l.held, l.seq))
		if l.back > 0 {
			request.Returned = append(request.Returned, p.tokens(l.back, l.seq))
		}
	}
	p.waiting = int64(len(p.waiters))
	if wanted := p.waiting + expected - p.held(now); wanted > 0 && !all {
		p.asked = request.GetSeq()
		tokens := p.tokens(wanted, 0)
		tokens.Waiting = uint32(min(wanted, p.waiting))
		request.Wanted = append(request.Wanted, tokens)
	}
	switch {
	case len(p.waiters) > 0 && p.starved > 0:
		return p.starved
	case len(p.waiters) > 0 || len(p.loans) > 0 || expected > 0:
		return p.period
	}
	return 0
}

func (p *purse) tokens(amount int64, loan uint64) *fleetpb.Tokens {
	return &fleetpb.Tokens{Team: string(p.team), Amount: uint32(amount), Loan: loan}
}

// giveBack returns tokens that predicted demand will not spend before they expire.
func (p *purse) giveBack(now ident.Time, expected int64, all bool) {
	used := int64(0)
	for _, l := range p.loans {
		left := l.expires.Sub(now)
		usable := max(0, expected*int64(left)/int64(horizon)-used)
		keep := min(l.held, usable, max(0, expected-used))
		used += keep
		if all {
			keep = 0
		}
		if young := left > Lifetime-keepYoung; (young && !all) || keep == l.held {
			continue
		}
		l.back += l.held - keep
		l.held = keep
		l.sent = 0
		l.clean = false
	}
}

// answer adds a loan and spends it on waiting requests in order.
func (p *purse) answer(now ident.Time, seq uint64, lent int64, retry time.Duration, expires ident.Time) []Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.loans {
		if l.sent == seq {
			l.clean = true
		}
	}
	if p.asked == seq {
		if p.silent {
			p.back = now
		}
		p.starved, p.silent, p.asked, p.answered = 0, false, 0, now
		if lent < p.waiting {
			// Where calls are dear a team above its rate must not cost many times as many as the others.
			p.starved = max(min(max(retry, minGap), RequestPeriod), p.period-RequestPeriod)
		}
	}
	if lent > 0 && now < expires {
		p.loans = append(p.loans, &borrowed{seq: seq, held: lent, clean: true, expires: expires})
		slices.SortStableFunc(p.loans, func(x, y *borrowed) int { return int(x.expires - y.expires) })
	}
	outcomes := p.refuse(now)
	n := 0
	for n < len(p.waiters) && p.spend(now) {
		outcomes = append(outcomes, Outcome{ID: p.waiters[n].id})
		n++
	}
	p.waiters = slices.Delete(p.waiters, 0, n)
	return outcomes
}

// lost notes that the owner did not answer, and lets waiting requests run on the reserve.
func (p *purse) lost(now ident.Time) []Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked != 0 {
		p.silent = true
	}
	var outcomes []Outcome
	for p.silent && len(p.waiters) > 0 && p.reserve.spend(now) {
		outcomes = append(outcomes, Outcome{ID: p.waiters[0].id})
		p.waiters = slices.Delete(p.waiters, 0, 1)
	}
	return outcomes
}

// until returns the end of a request's wait as of now. Its maxWait ends while an owner lends: until one has answered since the
// request came, the call for its token may be on its way to an owner that is lost.
func (p *purse) until(w waiter) ident.Time {
	if p.silent || p.answered < w.since {
		return w.deadline
	}
	return p.maxWaitEnd(w)
}

func (p *purse) maxWaitEnd(w waiter) ident.Time {
	return min(w.deadline, max(w.since, p.back).Add(w.maxWait))
}

func (p *purse) refuse(now ident.Time) []Outcome {
	var outcomes []Outcome
	p.waiters = slices.DeleteFunc(p.waiters, func(w waiter) bool {
		if now < p.until(w) {
			return false
		}
		outcomes = append(outcomes, Outcome{ID: w.id, Refused: p.exceeded(now.Sub(w.since))})
		return true
	})
	return outcomes
}

func (p *purse) exceeded(waited time.Duration) *Exceeded {
	e := &Exceeded{Team: p.team, Cause: CauseRate, Waited: waited}
	if p.silent || p.starved == 0 {
		e.Cause = CauseNoOwner
	}
	return e
}
