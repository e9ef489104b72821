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

// Options configure a Pool.
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
	opts        Options
	mutex       sync.Mutex
	targetPools map[member.Target]*targetPool
	group       sync.WaitGroup
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	return &Pool{opts: opts, targetPools: make(map[member.Target]*targetPool)}
}

// Acquire waits for a connection for one transaction. After an error nothing was sent.
func (p *Pool) Acquire(ctx context.Context, target member.Target, team ident.Team) (*Conn, error) {
	t := p.targetPool(target)
	deadline := p.opts.Clock.Now().Add(time.Hour)
	if at, ok := ctx.Deadline(); ok {
		deadline = p.opts.Clock.Now().Add(time.Until(at))
	}
	w, err := t.enqueue(team, deadline)
	if err != nil {
		return nil, toRejection(err)
	}
	select {
	case got := <-w.result:
		return got.conn, toRejection(got.err)
	case <-ctx.Done():
	}
	if !t.cancel(w) {
		// The work has just left the queue, so a connection that was assigned to it is released unused.
		if got := <-w.result; got.conn != nil {
			t.release(got.conn)
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
	p.targetPool(target).release(conn)
}

// Outstanding returns the number of statements that are queued or running at an upstream.
func (p *Pool) Outstanding(target member.Target) int {
	p.mutex.Lock()
	t := p.targetPools[target]
	p.mutex.Unlock()
	if t == nil {
		return 0
	}
	return t.outstanding()
}

// Report adds this host's demand for connections to a sync request.
func (p *Pool) Report(request *fleetpb.SyncRequest) {
	for target, t := range p.allTargetPools() {
		demand := t.demand()
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
	for _, t := range p.allTargetPools() {
		t.adopt(view, weights)
	}
}

// Close stops providing connections, closes each when it is released, and waits for connections being opened or cleaned.
func (p *Pool) Close() {
	for _, t := range p.allTargetPools() {
		t.leave()
	}
	p.group.Wait()
}

func (p *Pool) allTargetPools() map[member.Target]*targetPool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	targetPools := make(map[member.Target]*targetPool, len(p.targetPools))
	for target, t := range p.targetPools {
		targetPools[target] = t
	}
	return targetPools
}

func (p *Pool) targetPool(target member.Target) *targetPool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t := p.targetPools[target]
	if t == nil {
		t = newTargetPool(p, target)
		p.targetPools[target] = t
		p.opts.SyncNow()
	}
	return t
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
