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
	// busyWait is the longest wait of a poll while writes wait for replication or reads choose replicas.
	busyWait = 20 * time.Millisecond
	// idleWait is the longest wait of a poll when no caller waits and the service was not used within busyPeriod.
	idleWait = 200 * time.Millisecond
	// busyPeriod is how long polls stay short after a use of the service.
	busyPeriod = time.Second
	// retireAfter is how long a follower polls after the last use of the service, so that an idle host sends no requests.
	retireAfter = 10 * time.Second
	// networkMargin is added to the wait of a poll for the network round trip.
	networkMargin = 300 * time.Millisecond
	// minPollInterval is the minimum time between the starts of two polls, so that immediate responses do not cause a busy loop.
	minPollInterval = 2 * time.Millisecond
	// retryDelay is the wait after a failed poll or when there are no observers.
	retryDelay = 20 * time.Millisecond
)

// SupersededError reports that the term of a position ended before a majority was known to hold it.
type SupersededError struct {
	Position ident.Position
	Term     ident.Term
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("position %s was superseded by term %d", e.Position, e.Term)
}

// Options configure a Tracker.
type Options struct {
	Clock *clock.Clock
	// Peers is used to call observers.
	Peers *peer.Network
	// Observers returns the peer addresses of a service's observers, nearest first.
	Observers func(service ident.Service) []string
}

// Tracker holds the latest positions of each group in use.
type Tracker struct {
	opts      Options
	client    *http.Client
	ctx       context.Context
	stop      context.CancelFunc
	pollers   sync.WaitGroup
	mutex     sync.Mutex
	followers map[ident.Service]*follower
}

// New returns a tracker that does not follow any group yet.
func New(opts Options) *Tracker {
	ctx, stop := context.WithCancel(context.Background())
	return &Tracker{
		opts:      opts,
		client:    opts.Peers.Client(idleWait + networkMargin),
		ctx:       ctx,
		stop:      stop,
		followers: make(map[ident.Service]*follower),
	}
}

// Close stops all polls and waits for them to end.
func (t *Tracker) Close() {
	t.stop()
	t.pollers.Wait()
}

// Report is an observer's last response about a group.
type Report struct {
	*fleetpb.PositionsResponse
	// RequestedAt is when the request was sent; the response is at least that recent.
	RequestedAt ident.Time
}

// Latest returns the last report of a group. If there is none yet, it waits for the first one until the context ends.
func (t *Tracker) Latest(ctx context.Context, service ident.Service) (Report, error) {
	for {
		// Getting the follower again marks it as used, so that it is not retired during a long wait for its first report.
		report, changed := t.follower(service).latest()
		if report.PositionsResponse != nil {
			return report, nil
		}
		if err := waitFor(ctx, changed, busyPeriod); err != nil {
			return Report{}, err
		}
	}
}

// NextReport returns a channel that is closed when the next report of a group arrives.
func (t *Tracker) NextReport(service ident.Service) <-chan struct{} {
	_, changed := t.follower(service).latest()
	return changed
}

// WaitMajority waits until a majority of the group holds the record at a position. It returns the position that later reads of
// the session must cover, which has the current term if the term has changed meanwhile. It returns a SupersededError if the
// record was lost.
func (t *Tracker) WaitMajority(ctx context.Context, service ident.Service, record ident.Position) (ident.Position, error) {
	f := t.follower(service)
	f.addWanted(record)
	defer f.removeWanted(record)
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

// Current returns a position of the primary that was requested after the call began and is confirmed by a majority of the
// group. It returns an UnconfirmedError if no observer can provide one.
func (t *Tracker) Current(ctx context.Context, service ident.Service) (ident.Position, error) {
	request := &fleetpb.PositionsRequest{Service: string(service), Fresh: true, WaitMs: uint32(idleWait / time.Millisecond)}
	var last error
	for _, address := range t.opts.Observers(service) {
		requested := t.opts.Clock.Now()
		answer, err := fleetpb.NewObserverProtobufClient(t.opts.Peers.URL(address), t.client).Positions(ctx, request)
		// An observer whose wait ends responds with the positions that it had before, which do not cover the latest writes.
		known := time.Duration(answer.GetKnownMs()) * time.Millisecond
		if err == nil && answer.GetConfirmed() && known <= t.opts.Clock.Now().Sub(requested) {
			return ident.Position{Term: ident.Term(answer.GetCurrent().GetTerm()), LSN: ident.LSN(answer.GetCurrent().GetLsn())}, nil
		}
		last = err
	}
	return ident.Position{}, trace.Wrap(&UnconfirmedError{Service: service, Cause: last})
}

// UnconfirmedError reports that no observer could confirm the primary of a service.
type UnconfirmedError struct {
	Service ident.Service
	// Cause is the error of the last observer, or nil if it responded without a confirmation.
	Cause error
}

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("no observer confirms the primary of service %q: %v", e.Service, e.Cause)
}

// follower returns the follower of a service, which it starts if needed, and marks it as used.
func (t *Tracker) follower(service ident.Service) *follower {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	f := t.followers[service]
	if f == nil {
		f = newFollower(service)
		t.followers[service] = f
		t.pollers.Go(func() { t.follow(f) })
	}
	f.markUsed(t.opts.Clock.Now())
	return f
}

// follow polls the observers of one group until the follower is retired or the tracker is closed.
func (t *Tracker) follow(f *follower) {
	for try := 0; t.ctx.Err() == nil; {
		now := t.opts.Clock.Now()
		if t.retire(f, now) {
			return
		}
		observers := t.opts.Observers(f.service)
		if len(observers) == 0 {
			sleep(t.ctx, retryDelay)
			continue
		}
		if err := t.poll(f, observers[try%len(observers)], now); err != nil {
			try++
			sleep(t.ctx, retryDelay)
		}
		sleep(t.ctx, minPollInterval-t.opts.Clock.Now().Sub(now))
	}
}

// poll sends one long poll to an observer and records its report. An interrupted poll is not an error.
func (t *Tracker) poll(f *follower, address string, now ident.Time) error {
	wait := idleWait
	if f.busy(now) {
		wait = busyWait
	}
	ctx, stop := context.WithTimeout(t.ctx, wait+networkMargin)
	defer stop()
	interrupted := f.startPoll(stop)
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

// retire removes a follower that is no longer used, and reports whether it did.
func (t *Tracker) retire(f *follower, now ident.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !f.unused(now) {
		return false
	}
	delete(t.followers, f.service)
	return true
}

// waitFor waits for a change, but at most for the duration longest. It returns the context's error if the context ends first.
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
