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
	// RefusedOtherTransaction is the refusal of a lease that was given for another transaction.
	RefusedOtherTransaction
)

// lease is a connection that is kept for a transaction of another host.
type lease struct {
	executor upstream.Executor
	// transaction is the id under which the transaction's host asked to keep the connection.
	transaction string
	team        ident.Team
	lastUsed    ident.Time
	// busy is set while a statement runs, and ended if the transaction's host gives the lease up meanwhile.
	busy, ended bool
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

// open adds a lease for a connection on which its first statement is about to run, and returns its id.
func (l *leases) open(entry *lease) string {
	id := l.process + "." + rand.Text()
	l.mu.Lock()
	defer l.mu.Unlock()
	entry.busy = true
	l.kept[id] = entry
	leasesOpen.Inc()
	return id
}

// take returns a transaction's lease and marks it as busy until finish, or returns nil and why it is refused. Only the transaction for
// which a lease was given may use it, whatever has led another host to its id.
func (l *leases) take(id, transaction string) (*lease, Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.kept[id]
	switch {
	case entry == nil && !strings.HasPrefix(id, l.process+"."):
		return nil, RefusedOtherProcess
	case entry == nil:
		return nil, RefusedNotHeld
	case entry.transaction != transaction:
		return nil, RefusedOtherTransaction
	case entry.busy:
		return nil, RefusedBusy
	}
	entry.busy = true
	return entry, 0
}

// finish ends the statement of a lease. It removes the lease if keep is not set, and if its host has given it up meanwhile; the caller
// must then close the executor, which finish reports.
func (l *leases) finish(id string, keep bool) (kept bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.kept[id]
	entry.lastUsed, entry.busy = steady.Now(), false
	if keep && !entry.ended {
		return true
	}
	delete(l.kept, id)
	leasesOpen.Dec()
	return false
}

// end closes the connection of a transaction's lease, once its statement has ended if one runs. Without an id it searches for the
// transaction: its host may not have got the id.
func (l *leases) end(id, transaction string) {
	l.mu.Lock()
	if id == "" {
		id = l.find(transaction)
	}
	entry := l.kept[id]
	if entry == nil || entry.transaction != transaction {
		l.mu.Unlock()
		return
	}
	if entry.busy {
		entry.ended = true
		l.mu.Unlock()
		return
	}
	delete(l.kept, id)
	l.mu.Unlock()
	leasesOpen.Dec()
	entry.executor.Close()
}

// find returns the id of a transaction's lease, or an empty string. The caller must hold mu.
func (l *leases) find(transaction string) string {
	for id, entry := range l.kept {
		if entry.transaction == transaction {
			return id
		}
	}
	return ""
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
