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

// callTimeout ends one call to the owner. It exceeds the 10 ms between regions by enough for a busy host, and lets a
// request that waits for 1 s see several attempts.
const callTimeout = 200 * time.Millisecond

// drainTimeout ends the call that gives tokens back at shutdown; tokens that do not arrive expire by themselves.
const drainTimeout = 500 * time.Millisecond

// Counters of the calls to the owner.
var (
	calls    = metrics.NewCounter("tamarack_quota_calls_total")
	failures = metrics.NewCounter("tamarack_quota_call_failures_total")
)

// Fleet is what the quota needs of the rest of its host.
type Fleet interface {
	// Now returns the host's logical time.
	Now() ident.Time
	// Owner returns the peer address of the owner of all teams, or nothing while it is unknown.
	Owner() string
	// OwnerRedirected takes the address that a host which is not the owner has named.
	OwnerRedirected(owner string)
	// OwnerUnresponsive takes the address of an owner that did not answer.
	OwnerUnresponsive(owner string)
}

// Options configure a quota.
type Options struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Fleet       Fleet
	// Peers carries calls to the owner.
	Peers *peer.Network
	// Period is the time between calls; 0 means limit.RequestPeriod.
	Period time.Duration
	// Prefetch is the least number of tokens borrowed before they are needed for a team with recent requests.
	Prefetch int64
}

// Quota is one host's part in the limits of teams.
type Quota struct {
	opts     Options
	borrower *limit.Borrower
	client   *http.Client
	wake     chan struct{}
	mu       sync.Mutex
	// waiting holds the channels of requests that wait, and early the outcomes that came before their channel.
	waiting map[limit.WaiterID]chan *limit.Exceeded
	early   map[limit.WaiterID]*limit.Exceeded
}

// New returns a quota without tokens.
func New(opts Options) *Quota {
	return &Quota{
		opts: opts,
		borrower: limit.NewBorrower(limit.BorrowerOptions{
			Host: opts.Host, Incarnation: opts.Incarnation, Period: opts.Period, Prefetch: opts.Prefetch,
		}),
		client:  opts.Peers.Client(0),
		wake:    make(chan struct{}, 1),
		waiting: map[limit.WaiterID]chan *limit.Exceeded{},
		early:   map[limit.WaiterID]*limit.Exceeded{},
	}
}

// Take spends a token of the request's team, waiting for up to its MaxWait, and for as long as no owner lends, but not beyond
// the deadline of ctx. It returns *limit.Exceeded when there was none in time, or the error of ctx when the caller went away;
// in both cases the request was not run.
func (q *Quota) Take(ctx context.Context, request limit.Request) error {
	now := q.opts.Fleet.Now()
	decision, wake := q.borrower.Take(now, request, deadline(ctx, now))
	if wake {
		q.signal()
	}
	switch d := decision.(type) {
	case limit.Spent:
		return nil
	case limit.Refuse:
		return trace.Wrap(&d.Exceeded)
	case limit.Wait:
		return q.wait(ctx, request.Team, d)
	}
	return trace.BadParameter("unknown decision %T", decision)
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

func (q *Quota) wait(ctx context.Context, team ident.Team, w limit.Wait) error {
	outcome := q.register(w.ID)
	pause := w.Until.Sub(q.opts.Fleet.Now())
	for {
		timer := time.NewTimer(max(0, pause))
		select {
		case exceeded := <-outcome:
			timer.Stop()
			return wrap(exceeded)
		case <-timer.C:
			q.deliver(q.borrower.Expire(q.opts.Fleet.Now(), team))
			// Without an owner the request waits on.
			pause = limit.RequestPeriod
		case <-ctx.Done():
			timer.Stop()
			if q.borrower.Cancel(team, w.ID) {
				q.forget(w.ID)
				return trace.Wrap(ctx.Err())
			}
			// The outcome has been decided and is on its way.
			return wrap(<-outcome)
		}
	}
}

// wrap keeps a nil outcome a nil error.
func wrap(exceeded *limit.Exceeded) error {
	if exceeded == nil {
		return nil
	}
	return trace.Wrap(exceeded)
}

func (q *Quota) register(id limit.WaiterID) <-chan *limit.Exceeded {
	outcome := make(chan *limit.Exceeded, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	if exceeded, found := q.early[id]; found {
		delete(q.early, id)
		outcome <- exceeded
		return outcome
	}
	q.waiting[id] = outcome
	return outcome
}

func (q *Quota) forget(id limit.WaiterID) {
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
			outcome <- o.Refused
			continue
		}
		q.early[o.ID] = o.Refused
	}
}

// SetReserves replaces what the host may spend of each team while no owner answers.
func (q *Quota) SetReserves(reserves map[ident.Team]limit.Reserve) {
	q.borrower.SetReserves(q.opts.Fleet.Now(), reserves)
}

// Run asks the owner for tokens until ctx ends, and then gives back what is left.
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
			// Due is read again; it may lie in the future.
		case <-timer.C:
			q.ask(ctx)
		}
	}
}

func (q *Quota) ask(ctx context.Context) {
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

// borrow calls the owner. A host that is not the owner has lent nothing and names the owner for the next call.
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
