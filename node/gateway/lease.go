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
	// leasesOpen counts the leases, those included whose first statement is waiting or running.
	leasesOpen    = metrics.NewCounter("tamarack_gateway_leases_open")
	leasesExpired = metrics.NewCounter("tamarack_gateway_leases_expired_total")
)

// Refusal is the reason why a statement's lease is refused.
type Refusal int

//go:generate enumer -type=Refusal -trimprefix=Refused -transform=snake

// Refusals.
const (
	// RefusedOtherProcess is the refusal of a lease that another process at this address has given.
	RefusedOtherProcess Refusal = iota + 1
	// RefusedNotHeld is the refusal of a lease that has ended or expired.
	RefusedNotHeld
	// RefusedBusy is the refusal of a lease on which another statement runs.
	RefusedBusy
	// RefusedOtherTransaction is the refusal of a lease that was given for another transaction.
	RefusedOtherTransaction
	// RefusedEnded is the refusal of a new lease for a transaction that its host has ended.
	RefusedEnded
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
	// ended has the time of each end that found no lease. The transaction's first statement may still arrive, for instance at a process
	// that was frozen, and nobody would end what it opens.
	ended map[string]ident.Time
}

func newLeases() *leases {
	return &leases{process: rand.Text()[:processLength], kept: map[string]*lease{}, ended: map[string]ident.Time{}}
}

// open adds a lease for a connection on which its first statement is about to run, and returns its id. It refuses a transaction that has
// ended.
func (l *leases) open(held *lease) (id string, refusal Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.ended[held.transaction]; found {
		return "", RefusedEnded
	}
	id = l.process + "." + rand.Text()
	held.busy = true
	l.kept[id] = held
	leasesOpen.Inc()
	return id, 0
}

// take returns a transaction's lease and marks it as busy until finish, or returns nil and why it is refused. Only the transaction for
// which a lease was given may use it, whatever has led another host to its id.
func (l *leases) take(id, transaction string) (*lease, Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.kept[id]
	switch {
	case held == nil && !strings.HasPrefix(id, l.process+"."):
		return nil, RefusedOtherProcess
	case held == nil:
		return nil, RefusedNotHeld
	case held.transaction != transaction:
		return nil, RefusedOtherTransaction
	case held.busy:
		return nil, RefusedBusy
	}
	held.busy = true
	return held, 0
}

// finish marks the end of a lease's statement and reports whether the lease is still held. It is removed if keep is not set or its host
// has given it up meanwhile; the caller must then close its executor.
func (l *leases) finish(id string, keep bool) (stillHeld bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.kept[id]
	held.lastUsed, held.busy = steady.Now(), false
	if keep && !held.ended {
		return true
	}
	delete(l.kept, id)
	leasesOpen.Dec()
	return false
}

// end closes the connection of a transaction's lease, once its statement has ended if one runs. Without an id it searches for the
// transaction: its host may not have got the id.
func (l *leases) end(id, transaction string) {
	if held := l.giveUp(id, transaction); held != nil {
		held.executor.Close()
	}
}

// giveUp removes a transaction's lease and returns it, or makes sure that finish or open does so and returns nil.
func (l *leases) giveUp(id, transaction string) *lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id == "" && transaction != "" {
		id = l.find(transaction)
	}
	held := l.kept[id]
	switch {
	case held == nil && transaction != "":
		l.ended[transaction] = steady.Now()
		return nil
	case held == nil || held.transaction != transaction:
		return nil
	case held.busy:
		held.ended = true
		return nil
	}
	delete(l.kept, id)
	leasesOpen.Dec()
	return held
}

// find returns the id of a transaction's lease, or an empty string. The caller must hold mu.
func (l *leases) find(transaction string) string {
	for id, held := range l.kept {
		if held.transaction == transaction {
			return id
		}
	}
	return ""
}

// expire closes the connections of leases that had no statement for leaseTimeout, and forgets the ends that are as old.
func (l *leases) expire(now ident.Time) {
	l.mu.Lock()
	var expired []upstream.Executor
	for id, held := range l.kept {
		if !held.busy && now.Sub(held.lastUsed) > leaseTimeout {
			expired = append(expired, held.executor)
			delete(l.kept, id)
		}
	}
	for transaction, at := range l.ended {
		if now.Sub(at) > leaseTimeout {
			delete(l.ended, transaction)
		}
	}
	l.mu.Unlock()
	for _, executor := range expired {
		leasesExpired.Inc()
		leasesOpen.Dec()
		executor.Close()
	}
}
