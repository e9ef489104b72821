package observer

import (
	"context"
	"sync"
	"sync/atomic"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
)

// watch is the observation of one group.
type watch struct {
	observer *Observer
	// waiting counts the requests that wait for a position, fresh those among them that wait for a confirmation.
	waiting, fresh atomic.Int64

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

// configure takes over a change of the control state, and connects to new members and new addresses.
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

// notify wakes the waiting requests; the lock is held.
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

// positions returns what is known, and a channel that is closed at the next report.
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

// hurry reports whether requests wait for the next answer of an upstream.
func (w *watch) hurry(u ident.Upstream) bool {
	if w.fresh.Load() > 0 {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.waiting.Load() > 0 && u == w.primary
}

// wake makes the probes poll at once.
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
