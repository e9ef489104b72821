package gateway

import (
	"crypto/rand"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

// leaseTimeout is the time without a statement after which a lease expires. The session's host ends idle transactions sooner, so an
// expired lease means that the host was lost.
const leaseTimeout = 12 * time.Second

// processLength is the number of characters of a process's id.
const processLength = 8

var (
	leasesOpen    = metrics.NewCounter("tamarack_gateway_leases_open")
	leasesExpired = metrics.NewCounter("tamarack_gateway_leases_expired_total")
	// leasesMismatched counts statements whose lease is kept for another transaction.
	leasesMismatched = metrics.NewCounter("tamarack_gateway_leases_mismatched_total")
)

// Refusal is the reason why a statement's lease is refused.
type Refusal int

//go:generate enumer -type=Refusal -trimprefix=Refused -transform=snake

// Refusals.
const (
	// RefusedOtherProcess is the refusal of a lease that another process at this address has given.
	RefusedOtherProcess Refusal = iota
	// RefusedNotHeld is the refusal of a lease that has ended or expired.
	RefusedNotHeld
	// RefusedBusy is the refusal of a lease on which another statement runs.
	RefusedBusy
)

// lease is a connection that is kept for a transaction of another host.
type lease struct {
	executor upstream.Executor
	// transaction is the id under which the transaction's host asked to keep the connection.
	transaction string
	team        ident.Team
	lastUsed    ident.Time
	busy        bool
}

// leases holds the kept connections by their ids. It is safe for concurrent use.
type leases struct {
	// process identifies this start of the gateway and begins the id of each of its leases. It tells a lease of another start from one
	// that has ended.
	process string
	mu      sync.Mutex
	// kept has ids that are random and never used again, also not by a later process at the same address: hosts still send the ids of an
	// earlier process.
	kept map[string]*lease
}

func newLeases() *leases {
	return &leases{process: rand.Text()[:processLength], kept: map[string]*lease{}}
}

// add keeps a connection and returns the id of its lease.
func (l *leases) add(entry *lease) string {
	id := l.process + "." + rand.Text()
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.lastUsed = steady.Now()
	l.kept[id] = entry
	leasesOpen.Inc()
	return id
}

// take returns a lease and marks it as busy until release or remove, or returns why it is refused.
func (l *leases) take(id string) (*lease, Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.kept[id]
	switch {
	case entry == nil && !strings.HasPrefix(id, l.process+"."):
		return nil, RefusedOtherProcess
	case entry == nil:
		return nil, RefusedNotHeld
	case entry.busy:
		return nil, RefusedBusy
	}
	entry.busy = true
	return entry, 0
}

// release ends the statement of a lease, which is kept.
func (l *leases) release(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.kept[id]
	entry.lastUsed, entry.busy = steady.Now(), false
}

// remove forgets a lease whose statement has ended. Its connection is no longer kept.
func (l *leases) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.kept, id)
	leasesOpen.Dec()
}

// end closes the connection of a lease, unless the lease is unknown or busy.
func (l *leases) end(id string) {
	l.mu.Lock()
	entry := l.kept[id]
	if entry == nil || entry.busy {
		l.mu.Unlock()
		return
	}
	delete(l.kept, id)
	l.mu.Unlock()
	leasesOpen.Dec()
	entry.executor.Close()
}

// expire closes the connections of leases that had no statement for leaseTimeout.
func (l *leases) expire(now ident.Time) {
	l.mu.Lock()
	var expired []upstream.Executor
	for id, entry := range l.kept {
		if !entry.busy && now.Sub(entry.lastUsed) > leaseTimeout {
			expired = append(expired, entry.executor)
			delete(l.kept, id)
		}
	}
	l.mu.Unlock()
	for _, executor := range expired {
		leasesExpired.Inc()
		leasesOpen.Dec()
		executor.Close()
	}
}
