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
	// drainTimeout is the timeout of a drain; running write transactions get two seconds of it to finish.
	drainTimeout = 2300 * time.Millisecond
	// requestTimeout is the timeout of every other request, connecting included, so that an upstream that does not answer blocks
	// nothing else.
	requestTimeout = 900 * time.Millisecond
	// queueLength is the maximum number of requests queued for one upstream.
	queueLength = 8
)

// Options configure a Runner.
type Options struct {
	// User and Password are the credentials for the upstreams.
	User, Password string
	// TLS holds the certificate authority of the upstreams; nil means connections without TLS.
	TLS *certificate.Store
	// Deliver receives each answer; it is called from several goroutines.
	Deliver func(ident.Service, failover.Answer)
}

// request is one request to an upstream. It fails if it has not finished by the deadline.
type request struct {
	kind      failover.Kind
	term      ident.Term
	statement string
	timeout   time.Duration
	deadline  time.Time
}

// target identifies an upstream of a service at an address.
type target struct {
	service  ident.Service
	upstream ident.Upstream
	address  string
}

// Runner executes actions on upstreams, with at most one connection to each target.
type Runner struct {
	options Options

	mu      sync.Mutex
	workers map[target]*worker
	closed  bool
	running sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// New returns a runner without connections.
func New(options Options) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{options: options, workers: map[target]*worker{}, ctx: ctx, cancel: cancel}
}

// Close cancels all requests without delivering answers, and waits for their connections to close.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.running.Wait()
}

// Do starts an action and returns without waiting for it. It returns false for an action that is not performed on an upstream,
// such as a proposal to the control log.
func (r *Runner) Do(service ident.Service, action failover.Action) bool {
	switch a := action.(type) {
	case failover.Fence:
		r.send(target{service, a.Upstream, a.Address}, withTerm(failover.KindFence, "SELECT tamarack_fence(", a.Term))
	case failover.Promote:
		r.send(target{service, a.Upstream, a.Address}, withTerm(failover.KindPromote, "SELECT pg_promote(", a.Term))
	case failover.Drain:
		q := withTerm(failover.KindDrain, "SELECT tamarack_drain(", a.Term)
		q.timeout = drainTimeout
		r.send(target{service, a.Upstream, a.Address}, q)
	case failover.Follow:
		q := withTerm(failover.KindFollow, "SELECT tamarack_follow("+quote(a.Primary)+", ", a.Term)
		r.send(target{service, a.Upstream, a.Address}, q)
	case failover.Query:
		r.send(target{service, a.Upstream, a.Address}, request{kind: failover.KindQuery, timeout: requestTimeout})
	default:
		return false
	}
	return true
}

// withTerm returns a request that completes a function call with the term as its last argument.
func withTerm(kind failover.Kind, call string, term ident.Term) request {
	return request{kind: kind, term: term, statement: call + strconv.FormatUint(uint64(term), 10) + ")", timeout: requestTimeout}
}

// send queues a request unless one of the same kind and term is already queued or running for the upstream.
func (r *Runner) send(t target, q request) {
	q.deadline = time.Now().Add(q.timeout)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	w := r.workers[t]
	if w == nil {
		w = newWorker(r, t)
		r.workers[t] = w
		r.running.Add(1)
		go w.run(r.ctx)
	}
	key := requestKey{q.kind, q.term}
	if w.pending[key] {
		return
	}
	select {
	case w.queue <- q:
		w.pending[key] = true
	default:
		klog.Warningf("dropping a request, the queue of upstream %s of %s is full", t.upstream, t.service)
	}
}

func (r *Runner) deliver(t target, a failover.Answer) {
	a.Upstream = t.upstream
	r.options.Deliver(t.service, a)
}

// finished removes a request from the worker's pending requests.
func (r *Runner) finished(w *worker, q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(w.pending, requestKey{q.kind, q.term})
}

// retire removes an idle worker; it returns false if a request was queued meanwhile.
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
