package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/queue"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/member"
)

// Options configures a Pool.
type Options struct {
	Credential Credential
	Clock      *clock.Clock
	View       func() *member.View
	// SyncNow triggers a sync at once. It is called when the first work arrives for an upstream, which has no allotment yet.
	SyncNow func()
}

// MovedError reports that queued work has to choose its upstream again, because the group or its zones changed.
type MovedError struct {
	Target member.Target
}

func (e *MovedError) Error() string {
	return "the upstream " + string(e.Target.Upstream) + " of " + string(e.Target.Service) + " has another role now"
}

// Pool provides connections to upstreams within this host's allotment, shared fairly between teams.
type Pool struct {
	opts    Options
	mutex   sync.Mutex
	lanes   map[member.Target]*lane
	leaving bool
	group   sync.WaitGroup
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	return &Pool{opts: opts, lanes: make(map[member.Target]*lane)}
}

// Acquire waits for a connection for one transaction. After an error nothing was sent.
func (p *Pool) Acquire(ctx context.Context, target member.Target, team ident.Team) (*Conn, error) {
	l := p.lane(target)
	deadline := p.opts.Clock.Now().Add(time.Hour)
	if at, ok := ctx.Deadline(); ok {
		deadline = p.opts.Clock.Now().Add(time.Until(at))
	}
	w, err := l.enqueue(team, deadline)
	if err != nil {
		return nil, toRejection(err)
	}
	select {
	case got := <-w.result:
		return got.conn, toRejection(got.err)
	case <-ctx.Done():
	}
	if !l.cancel(w) {
		// The work has just left the queue, so a connection that was assigned to it is released unused.
		if got := <-w.result; got.conn != nil {
			l.release(got.conn)
		}
	}
	return nil, trace.Wrap(ctx.Err())
}

// toRejection converts the failure of dropped work to the rejection for its caller.
func toRejection(err error) error {
	var dropped *queue.Dropped
	if !errors.As(err, &dropped) {
		return trace.Wrap(err)
	}
	if dropped.Cause == queue.CauseDeadline {
		return trace.Wrap(sqlstate.New(sqlstate.DeadlinePassed, dropped))
	}
	return trace.Wrap(sqlstate.New(sqlstate.QueueFull, dropped))
}

// Release returns a connection to the pool. One in an unknown state is closed, and one with session state is cleaned.
func (p *Pool) Release(target member.Target, conn *Conn) {
	p.lane(target).release(conn)
}

// Outstanding returns the number of statements that are queued or running at an upstream.
func (p *Pool) Outstanding(target member.Target) int {
	p.mutex.Lock()
	l := p.lanes[target]
	p.mutex.Unlock()
	if l == nil {
		return 0
	}
	return l.outstanding()
}

// Report adds this host's demand for connections to a sync request.
func (p *Pool) Report(request *fleetpb.SyncRequest) {
	for target, l := range p.allLanes() {
		demand := l.demand()
		demand.Service = string(target.Service)
		demand.Upstream = string(target.Upstream)
		request.Demand = append(request.Demand, demand)
	}
}

// Adopt applies the allotments and weights of a new view. An empty view, as after the end of the lease, allots nothing.
func (p *Pool) Adopt(view *member.View) {
	weights := make(map[ident.Team]uint32, len(view.Teams))
	for name, team := range view.Teams {
		weights[name] = max(1, team.GetWeight())
	}
	for _, l := range p.allLanes() {
		l.adopt(view, weights)
	}
}

// Close stops providing connections, closes each when it is released, and waits for connections being opened or cleaned.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.leaving = true
	p.mutex.Unlock()
	for _, l := range p.allLanes() {
		l.leave()
	}
	p.group.Wait()
}

func (p *Pool) allLanes() map[member.Target]*lane {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	lanes := make(map[member.Target]*lane, len(p.lanes))
	for target, l := range p.lanes {
		lanes[target] = l
	}
	return lanes
}

func (p *Pool) lane(target member.Target) *lane {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l := p.lanes[target]
	if l == nil {
		l = newLane(p, target)
		p.lanes[target] = l
		p.opts.SyncNow()
	}
	return l
}

// dial opens a connection to an upstream at the address in the current view.
func (p *Pool) dial(target member.Target) (*Conn, error) {
	found := p.opts.View().Member(target)
	if found == nil {
		return nil, trace.Wrap(&ConnectError{Address: string(target.Upstream), Cause: trace.NotFound("not a member of its group")})
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return Dial(ctx, found.GetAddress(), target.Service, p.opts.Credential)
}
