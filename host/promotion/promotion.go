package promotion

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/failover"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// drainLimit covers the two seconds that running write transactions have.
	drainLimit = 2300 * time.Millisecond
	// requestLimit bounds every other request with its connection, so that a frozen upstream blocks nothing.
	requestLimit = 900 * time.Millisecond
	// queueLength is the number of requests to one upstream that may wait.
	queueLength = 8
)

// Options say how upstreams are reached and where answers go.
type Options struct {
	// User and Password are the credentials at the upstreams.
	User, Password string
	// TLS holds the authority of upstreams' certificates; nil means connections without TLS.
	TLS *certificate.Store
	// Deliver takes each answer; it is called from several goroutines.
	Deliver func(ident.Service, failover.Answer)
}

// request is an action on an upstream.
type request struct {
	kind      failover.Kind
	term      ident.Term
	statement string
	limit     time.Duration
	expires   time.Time
}

// target is an upstream at an address.
type target struct {
	service  ident.Service
	upstream ident.Upstream
	address  string
}

// Runner carries out actions; each upstream has at most one connection.
type Runner struct {
	options Options

	mu      sync.Mutex
	workers map[target]*worker
	closed  bool
	wait    sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// New returns a runner.
func New(options Options) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{options: options, workers: map[target]*worker{}, ctx: ctx, cancel: cancel}
}

// Close ends all requests, without answers, and waits for their connections to close.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.wait.Wait()
}

// Do starts an action and returns at once; it reports false for an action that concerns no upstream, which is for the
// control log.
func (r *Runner) Do(service ident.Service, action failover.Action) bool {
	switch a := action.(type) {
	case failover.Fence:
		r.send(target{service, a.Upstream, a.Address}, withTerm(failover.KindFence, "SELECT tamarack_fence(", a.Term))
	case failover.Promote:
		r.send(target{service, a.Upstream, a.Address}, withTerm(failover.KindPromote, "SELECT pg_promote(", a.Term))
	case failover.Drain:
		q := withTerm(failover.KindDrain, "SELECT tamarack_drain(", a.Term)
		q.limit = drainLimit
		r.send(target{service, a.Upstream, a.Address}, q)
	case failover.Follow:
		q := withTerm(failover.KindFollow, "SELECT tamarack_follow("+quote(a.Primary)+", ", a.Term)
		r.send(target{service, a.Upstream, a.Address}, q)
	case failover.Query:
		r.send(target{service, a.Upstream, a.Address}, request{kind: failover.KindQuery, limit: requestLimit})
	default:
		return false
	}
	return true
}

func withTerm(kind failover.Kind, call string, term ident.Term) request {
	return request{kind: kind, term: term, statement: call + strconv.FormatUint(uint64(term), 10) + ")", limit: requestLimit}
}

// send queues a request unless the same one is already queued or running.
func (r *Runner) send(t target, q request) {
	q.expires = time.Now().Add(q.limit)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	w := r.workers[t]
	if w == nil {
		w = newWorker(r, t)
		r.workers[t] = w
		r.wait.Add(1)
		go w.run(r.ctx)
	}
	same := identity{q.kind, q.term}
	if w.pending[same] {
		return
	}
	select {
	case w.queue <- q:
		w.pending[same] = true
	default:
		klog.Warningf("too many requests wait for upstream %s of %s", t.upstream, t.service)
	}
}

func (r *Runner) deliver(t target, a failover.Answer) {
	a.Upstream = t.upstream
	r.options.Deliver(t.service, a)
}

// finished removes a request from the pending ones.
func (r *Runner) finished(w *worker, q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(w.pending, identity{q.kind, q.term})
}

// retire removes a worker that has nothing to do; it reports false when a request came meanwhile.
func (r *Runner) retire(w *worker) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(w.queue) > 0 {
		return false
	}
	delete(r.workers, w.target)
	return true
}

var errExpired = trace.LimitExceeded("the request waited too long for another one to the upstream")
