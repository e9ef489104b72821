package observer

import (
	"context"
	"sync"
	"sync/atomic"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
)

// watch observes one group: it holds a probe for each member, and the group's state according to their reports.
type watch struct {
	observer *Observer
	// waitingRequests counts the requests that need fast polls, and freshRequests those among them that wait for a fresh
	// position.
	waitingRequests, freshRequests atomic.Int64

	mu      sync.Mutex
	group   *group.Group
	primary ident.Upstream
	probes  map[ident.Upstream]*probe
	changed chan struct{}
	closed  bool
}

func newWatch(o *Observer, service ident.Service) *watch {
	return &watch{observer: o, group: group.New(service), probes: map[ident.Upstream]*probe{}, changed: make(chan struct{})}
}

// configure applies the control state: it starts probes for new members and changed addresses, and ends those of former ones.
func (w *watch) configure(ctx context.Context, g Group) {
	config := group.Config{Size: g.Size, Term: g.Term, Primary: g.Primary, Base: g.Base}
	w.mu.Lock()
	keep := map[ident.Upstream]bool{}
	var ended []*probe
	for _, m := range g.Members {
		config.Members = append(config.Members, m.Upstream)
		keep[m.Upstream] = true
		if p := w.probes[m.Upstream]; p != nil {
			if p.address == m.Address {
				continue
			}
			ended = append(ended, p)
		}
		w.probes[m.Upstream] = startProbe(ctx, w, m)
	}
	for u, p := range w.probes {
		if !keep[u] {
			ended = append(ended, p)
			delete(w.probes, u)
		}
	}
	w.group.Configure(w.observer.now(), config)
	w.primary = g.Primary
	w.notify()
	w.mu.Unlock()
	for _, p := range ended {
		p.close()
	}
}

func (w *watch) close() {
	w.mu.Lock()
	w.closed = true
	probes := w.probes
	w.probes = map[ident.Upstream]*probe{}
	w.notify()
	w.mu.Unlock()
	for _, p := range probes {
		p.close()
	}
}

// notify wakes up the waiting requests. The lock is held.
func (w *watch) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *watch) report(r group.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.group.Report(w.observer.now(), r)
	w.notify()
}

// positions returns the group's positions, and a channel that is closed at the next report or change of the configuration.
func (w *watch) positions() (group.Positions, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.group.Positions(w.observer.now()), w.changed
}

func (w *watch) observed() []*fleetpb.Observed {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.group.Observed(w.observer.now())
}

func (w *watch) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// pollFast reports whether requests wait for the next answer of an upstream. Fresh requests wait for all upstreams, other
// requests only for the primary.
func (w *watch) pollFast(u ident.Upstream) bool {
	if w.freshRequests.Load() > 0 {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.waitingRequests.Load() > 0 && u == w.primary
}

// wake makes all probes poll at once.
func (w *watch) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.probes {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}
