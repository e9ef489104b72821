package tracker

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/peer"
)

const (
	// waitBusy is the longest poll while a write waits for replication or reads choose replicas.
	waitBusy = 20 * time.Millisecond
	// waitQuiet is the longest poll when nobody asked lately.
	waitQuiet = 200 * time.Millisecond
	// busyFor is how long one question keeps the polls short.
	busyFor = time.Second
	// quietFor is how long a follower goes on without questions, so that an idle host asks nothing.
	quietFor = 10 * time.Second
	// callMargin is added to the poll for the way there and back.
	callMargin = 300 * time.Millisecond
	// leastInterval is the least time between two polls, so that answers without a wait do not make a busy loop.
	leastInterval = 2 * time.Millisecond
	// retryPause is the wait after an observer failed.
	retryPause = 20 * time.Millisecond
)

// SupersededError says that the term of a position ended before a majority was known to hold it.
type SupersededError struct {
	Position ident.Position
	Term     ident.Term
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("position %s was superseded by term %d", e.Position, e.Term)
}

// Options holds what New needs.
type Options struct {
	Clock *clock.Clock
	// Peers carries calls to observers.
	Peers *peer.Network
	// Observers returns the peer addresses of a service's observers, the nearest first.
	Observers func(service ident.Service) []string
}

// Tracker holds the latest positions of each group in use.
type Tracker struct {
	opts      Options
	client    *http.Client
	ctx       context.Context
	stop      context.CancelFunc
	group     sync.WaitGroup
	mutex     sync.Mutex
	followers map[ident.Service]*follower
}

// New returns a tracker that follows nothing yet.
func New(opts Options) *Tracker {
	ctx, stop := context.WithCancel(context.Background())
	return &Tracker{
		opts:      opts,
		client:    opts.Peers.Client(waitQuiet + callMargin),
		ctx:       ctx,
		stop:      stop,
		followers: make(map[ident.Service]*follower),
	}
}

// Close ends all followers.
func (t *Tracker) Close() {
	t.stop()
	t.group.Wait()
}

// Report is what observers said last about a group.
type Report struct {
	*fleetpb.PositionsResponse
	// Asked is when the question was sent; the answer is at least as new.
	Asked ident.Time
}

// Latest returns the last report of a group, waiting for the first one until the context ends.
func (t *Tracker) Latest(ctx context.Context, service ident.Service) (Report, error) {
	for {
		// Asking again keeps the follower from being retired during a long wait for its first report.
		report, changed := t.follower(service).latest()
		if report.PositionsResponse != nil {
			return report, nil
		}
		if err := waitFor(ctx, changed, busyFor); err != nil {
			return Report{}, err
		}
	}
}

// Next returns a channel that is closed at the next report of a group.
func (t *Tracker) Next(service ident.Service) <-chan struct{} {
	_, changed := t.follower(service).latest()
	return changed
}

// WaitMajority returns once a majority of the group holds the record at a position. The returned position is what reads of
// the session must cover; it has the current term when the term has moved on meanwhile.
func (t *Tracker) WaitMajority(ctx context.Context, service ident.Service, record ident.Position) (ident.Position, error) {
	f := t.follower(service)
	f.want(record)
	defer f.unwant(record)
	for {
		report, changed := f.latest()
		if report.PositionsResponse != nil {
			positions := group.PositionsOf(report.PositionsResponse)
			if position, acknowledged := positions.Acknowledged(record); acknowledged {
				return position, nil
			}
			if positions.Lost(record) {
				return ident.Position{}, trace.Wrap(&SupersededError{record, positions.Term})
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ident.Position{}, trace.Wrap(ctx.Err())
		}
	}
}

// Current returns the primary's position, requested after the call began and confirmed by a majority of its group.
func (t *Tracker) Current(ctx context.Context, service ident.Service) (ident.Position, error) {
	request := &fleetpb.PositionsRequest{Service: string(service), Fresh: true, WaitMs: uint32(waitQuiet / time.Millisecond)}
	var last error
	for _, address := range t.opts.Observers(service) {
		asked := t.opts.Clock.Now()
		answer, err := fleetpb.NewObserverProtobufClient(t.opts.Peers.URL(address), t.client).Positions(ctx, request)
		// After its wait an observer answers with what it knew before, which does not cover the latest writes.
		known := time.Duration(answer.GetKnownMs()) * time.Millisecond
		if err == nil && answer.GetConfirmed() && known <= t.opts.Clock.Now().Sub(asked) {
			return ident.Position{Term: ident.Term(answer.GetCurrent().GetTerm()), LSN: ident.LSN(answer.GetCurrent().GetLsn())}, nil
		}
		last = err
	}
	return ident.Position{}, trace.Wrap(&UnconfirmedError{Service: service, Cause: last})
}

// UnconfirmedError says that no observer could confirm the primary of a service.
type UnconfirmedError struct {
	Service ident.Service
	// Cause is the last observer's failure; nil when it answered without a confirmation.
	Cause error
}

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("no observer confirms the primary of service %q: %v", e.Service, e.Cause)
}

func (t *Tracker) follower(service ident.Service) *follower {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	f := t.followers[service]
	if f == nil {
		f = newFollower(service)
		t.followers[service] = f
		t.group.Go(func() { t.follow(f) })
	}
	f.touch(t.opts.Clock.Now())
	return f
}

// follow polls the observers of one group until nobody has asked for a while.
func (t *Tracker) follow(f *follower) {
	for try := 0; t.ctx.Err() == nil; {
		now := t.opts.Clock.Now()
		if t.retire(f, now) {
			return
		}
		observers := t.opts.Observers(f.service)
		if len(observers) == 0 {
			sleep(t.ctx, retryPause)
			continue
		}
		if err := t.poll(f, observers[try%len(observers)], now); err != nil {
			try++
			sleep(t.ctx, retryPause)
		}
		sleep(t.ctx, leastInterval-t.opts.Clock.Now().Sub(now))
	}
}

func (t *Tracker) poll(f *follower, address string, now ident.Time) error {
	wait := waitQuiet
	if f.busy(now) {
		wait = waitBusy
	}
	ctx, stop := context.WithTimeout(t.ctx, wait+callMargin)
	defer stop()
	interrupted := f.begin(stop)
	request := &fleetpb.PositionsRequest{
		Service: string(f.service),
		Wanted:  f.lowestWanted(),
		WaitMs:  uint32(wait / time.Millisecond),
	}
	answer, err := fleetpb.NewObserverProtobufClient(t.opts.Peers.URL(address), t.client).Positions(ctx, request)
	if err != nil {
		if interrupted() {
			return nil
		}
		return trace.Wrap(err)
	}
	f.record(Report{answer, now})
	return nil
}

// retire removes a follower that nobody uses.
func (t *Tracker) retire(f *follower, now ident.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !f.unused(now) {
		return false
	}
	delete(t.followers, f.service)
	return true
}

// waitFor waits for a change or until longest has passed, and returns the context's error when it ends first.
func waitFor(ctx context.Context, changed <-chan struct{}, longest time.Duration) error {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
