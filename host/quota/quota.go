package quota

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/host/peer"
)

// callTimeout bounds one call to the owner. It is longer than the 10 ms between regions, with enough margin for a busy host,
// and short enough for several attempts while a request waits for 1 s.
const callTimeout = 200 * time.Millisecond

// drainTimeout bounds the call that returns tokens at shutdown; tokens that are not returned expire by themselves.
const drainTimeout = 500 * time.Millisecond

// Counters of the calls to the owner, of the tokens of operations that did not run, and of the requests that were refused before
// the end of their wait.
var (
	calls         = metrics.NewCounter("tamarack_quota_calls_total")
	failures      = metrics.NewCounter("tamarack_quota_call_failures_total")
	refunded      = metrics.NewCounter("tamarack_quota_refunded_total")
	notRefunded   = metrics.NewCounter("tamarack_quota_not_refunded_total")
	refusedAtOnce = metrics.NewCounter("tamarack_quota_refused_at_once_total")
)

// Fleet provides the time and the owner's address to a Quota, which reports calls that were redirected or failed.
type Fleet interface {
	// Now returns the host's logical time.
	Now() ident.Time
	// Owner returns the peer address of the owner of all teams, or "" while it is not known.
	Owner() string
	// OwnerRedirected reports the owner's address as named by a host that is not the owner.
	OwnerRedirected(owner string)
	// OwnerUnresponsive reports the address of an owner that did not answer a call.
	OwnerUnresponsive(owner string)
}

// Options configure a Quota.
type Options struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Fleet       Fleet
	// Peers sends calls to the owner.
	Peers *peer.Network
	// Period is the time between calls; 0 means limit.RequestPeriod.
	Period time.Duration
	// Prefetch is the minimum number of tokens to borrow ahead of need for a team with recent requests.
	Prefetch int64
}

// Quota borrows tokens for the requests of teams on one host.
type Quota struct {
	opts     Options
	borrower *limit.Borrower
	client   *http.Client
	wake     chan struct{}
	mu       sync.Mutex
	// waiting holds the channels of waiting requests, and earlyOutcomes the outcomes that were decided before the request
	// registered its channel.
	waiting       map[limit.WaiterID]chan limit.Outcome
	earlyOutcomes map[limit.WaiterID]limit.Outcome
}

// New returns a Quota without tokens.
func New(opts Options) *Quota {
	return &Quota{
		opts: opts,
		borrower: limit.NewBorrower(limit.BorrowerOptions{
			Host: opts.Host, Incarnation: opts.Incarnation, Period: opts.Period, Prefetch: opts.Prefetch,
		}),
		client:        opts.Peers.Client(0),
		wake:          make(chan struct{}, 1),
		waiting:       map[limit.WaiterID]chan limit.Outcome{},
		earlyOutcomes: map[limit.WaiterID]limit.Outcome{},
	}
}

// Take spends a token of the request's team. It waits up to the request's MaxWait, and longer while no owner lends, but not
// beyond the deadline of ctx. It returns *limit.Exceeded if there was no token in time, or the error of ctx if the caller
// cancelled the request. In both cases the request was not run.
func (q *Quota) Take(ctx context.Context, request limit.Request) error {
	now := q.opts.Fleet.Now()
	decision, wake := q.borrower.Take(now, request, deadline(ctx, now))
	if wake {
		q.signal()
	}
	switch d := decision.(type) {
	case limit.Spent:
		setReceipt(request, d.Receipt)
		return nil
	case limit.Refuse:
		countRefusal(&d.Exceeded)
		return trace.Wrap(&d.Exceeded)
	case limit.Wait:
		return q.wait(ctx, request, d)
	}
	return trace.BadParameter("unknown decision %T", decision)
}

// Refund gives back the token of an operation of which nothing was sent to an upstream. The next request that waits on this host
// gets it, or the owner does. A token that may count as spent already stays spent.
func (q *Quota) Refund(receipt limit.Receipt) {
	outcomes, done := q.borrower.Refund(q.opts.Fleet.Now(), receipt)
	if !done {
		notRefunded.Inc()
		return
	}
	refunded.Inc()
	q.signal()
	q.deliver(outcomes)
}

func setReceipt(request limit.Request, receipt limit.Receipt) {
	if request.Receipt != nil {
		*request.Receipt = receipt
	}
}

func countRefusal(exceeded *limit.Exceeded) {
	if exceeded.Cause == limit.CauseTooLate {
		refusedAtOnce.Inc()
	}
}

func deadline(ctx context.Context, now ident.Time) ident.Time {
	if end, found := ctx.Deadline(); found {
		return now.Add(time.Until(end))
	}
	return now.Add(limit.DefaultMaxWait)
}

func (q *Quota) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *Quota) wait(ctx context.Context, request limit.Request, w limit.Wait) error {
	outcome := q.register(w.ID)
	timeout := w.Until.Sub(q.opts.Fleet.Now())
	for {
		timer := time.NewTimer(max(0, timeout))
		select {
		case o := <-outcome:
			timer.Stop()
			return finish(request, o)
		case <-timer.C:
			q.deliver(q.borrower.Expire(q.opts.Fleet.Now(), request.Team))
			// While no owner answers, the request keeps waiting.
			timeout = limit.RequestPeriod
		case <-ctx.Done():
			timer.Stop()
			if q.borrower.Cancel(request.Team, w.ID) {
				q.unregister(w.ID)
				return trace.Wrap(ctx.Err())
			}
			// The outcome has been decided and will be delivered.
			return finish(request, <-outcome)
		}
	}
}

// finish hands the receipt of a spent token to the request, or returns the refusal as an error.
func finish(request limit.Request, o limit.Outcome) error {
	if o.Refused != nil {
		countRefusal(o.Refused)
		return trace.Wrap(o.Refused)
	}
	setReceipt(request, o.Receipt)
	return nil
}

func (q *Quota) register(id limit.WaiterID) <-chan limit.Outcome {
	outcome := make(chan limit.Outcome, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if early, found := q.earlyOutcomes[id]; found {
		delete(q.earlyOutcomes, id)
		outcome <- early
		return outcome
	}
	q.waiting[id] = outcome
	return outcome
}

func (q *Quota) unregister(id limit.WaiterID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
}

func (q *Quota) deliver(outcomes []limit.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, o := range outcomes {
		if outcome, found := q.waiting[o.ID]; found {
			delete(q.waiting, o.ID)
			outcome <- o
			continue
		}
		q.earlyOutcomes[o.ID] = o
	}
}

// SetReserves replaces the reserves, which the host may spend for each team while no owner answers.
func (q *Quota) SetReserves(reserves map[ident.Team]limit.Reserve) {
	q.borrower.SetReserves(q.opts.Fleet.Now(), reserves)
}

// Run requests tokens from the owner until ctx ends, and then returns the remaining ones.
func (q *Quota) Run(ctx context.Context) {
	for {
		timer := time.NewTimer(max(0, q.borrower.Due().Sub(q.opts.Fleet.Now())))
		select {
		case <-ctx.Done():
			timer.Stop()
			q.drain()
			return
		case <-q.wake:
			timer.Stop()
			// Due is read again, since it may still be in the future.
		case <-timer.C:
			q.requestTokens(ctx)
		}
	}
}

func (q *Quota) requestTokens(ctx context.Context) {
	request := q.borrower.NextRequest(q.opts.Fleet.Now())
	if request == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := q.borrow(ctx, request)
	if err != nil {
		failures.Inc()
		q.deliver(q.borrower.HandleFailure(q.opts.Fleet.Now()))
		return
	}
	q.deliver(q.borrower.HandleResponse(q.opts.Fleet.Now(), response))
}

// borrow calls the owner. A host that is not the owner lends nothing and returns the owner's address for the next call.
func (q *Quota) borrow(ctx context.Context, request *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error) {
	calls.Inc()
	owner := q.opts.Fleet.Owner()
	if owner == "" {
		return nil, trace.NotFound("the owner of tokens is not known")
	}
	response, err := fleetpb.NewControlProtobufClient(q.opts.Peers.URL(owner), q.client).Borrow(ctx, request)
	if err != nil {
		q.opts.Fleet.OwnerUnresponsive(owner)
		return nil, trace.Wrap(err)
	}
	if leader := response.GetLeader(); leader != "" {
		q.opts.Fleet.OwnerRedirected(leader)
		return nil, trace.NotFound("%s is not the owner of tokens", owner)
	}
	return response, nil
}

func (q *Quota) drain() {
	request := q.borrower.Drain(q.opts.Fleet.Now())
	if request == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if _, err := q.borrow(ctx, request); err != nil {
		failures.Inc()
	}
}
