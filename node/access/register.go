package access

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
)

// Register holds the configuration in force and the operations that go on under it. It is safe for concurrent use.
type Register struct {
	catalog atomic.Pointer[catalog.Catalog]
	mu      sync.Mutex
	watches map[*watch]struct{}
}

// watch is an operation that ends with its permit.
type watch struct {
	permit catalog.Permit
	// verified is the version under which the permit is known to hold; older ones don't end the operation.
	verified ident.Version
	end      context.CancelFunc
}

func (w *watch) isLost(c *catalog.Catalog) bool {
	return c != nil && c.Version > w.verified && c.Standing(w.permit) != catalog.StandingHeld
}

// New returns a register without a configuration.
func New() *Register {
	return &Register{watches: map[*watch]struct{}{}}
}

// Catalog returns the configuration in force, or nil before the first one.
func (r *Register) Catalog() *catalog.Catalog {
	return r.catalog.Load()
}

// SetCatalog puts a configuration into force unless the current version is as high or higher, and reports whether it did. Operations that
// it no longer allows end.
func (r *Register) SetCatalog(c *catalog.Catalog) bool {
	for {
		old := r.catalog.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if r.catalog.CompareAndSwap(old, c) {
			r.endLost()
			return true
		}
	}
}

// endLost ends the operations that the current configuration does not allow.
func (r *Register) endLost() {
	c := r.catalog.Load()
	var lost []*watch
	r.mu.Lock()
	for w := range r.watches {
		if w.isLost(c) {
			lost = append(lost, w)
			delete(r.watches, w)
		}
	}
	r.mu.Unlock()
	for _, w := range lost {
		w.end()
	}
	if len(lost) > 0 {
		klog.InfoS("Operations ended with their keys", "configuration", c.Version, "operations", len(lost))
	}
}

// Watch returns a context that ends with ctx, and as soon as the configuration in force does not allow what a permit was given for. The
// version verified has the same meaning as for Check. The caller must call stop when the operation has ended.
func (r *Register) Watch(
	ctx context.Context, permit catalog.Permit, verified ident.Version,
) (watched context.Context, stop context.CancelFunc) {
	if permit.Key == 0 {
		return ctx, func() {}
	}
	watched, end := context.WithCancel(ctx)
	w := &watch{permit: permit, verified: verified, end: end}
	r.mu.Lock()
	r.watches[w] = struct{}{}
	r.mu.Unlock()
	// The configuration may have changed before the watch was registered.
	if w.isLost(r.catalog.Load()) {
		end()
	}
	return watched, func() {
		r.mu.Lock()
		delete(r.watches, w)
		r.mu.Unlock()
		end()
	}
}

// Check returns a statement.Failure if a statement must not be sent because its caller's key does not belong to its team any more. Otherwise it
// returns the version under which the permit holds: that of the configuration in force, or verified if that is newer. verified is the version
// under which another host, or an earlier check, has found that the permit holds; 0 if there is none. inTransaction is set if the statement
// belongs to a transaction that is open.
func (r *Register) Check(permit catalog.Permit, verified ident.Version, inTransaction bool) (ident.Version, error) {
	c := r.catalog.Load()
	if c == nil || c.Version <= verified {
		return verified, nil
	}
	standing := c.Standing(permit)
	if standing == catalog.StandingHeld {
		return c.Version, nil
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("tamarack_access_refused_total{standing=%q}", standing)).Inc()
	return 0, refusal(standing, inTransaction)
}

// refusal returns the failure of a statement whose permit does not hold.
func refusal(standing catalog.Standing, inTransaction bool) *statement.Failure {
	switch {
	case inTransaction && standing == catalog.StandingMoved:
		return &statement.Failure{Code: statement.CodeAborted, Text: "the key was given to another team during the transaction"}
	case inTransaction:
		return &statement.Failure{Code: statement.CodeAborted, Text: "the key was withdrawn during the transaction"}
	case standing == catalog.StandingMoved:
		return &statement.Failure{Code: statement.CodeBusy, Text: "the key was given to another team meanwhile"}
	}
	return &statement.Failure{Code: statement.CodeDenied, Text: "no team holds this key"}
}
