package platform

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// Entry is one write in a group's log.
type Entry struct {
	Term int
	// ID is the id of the caller's statement or commit; Items holds the data that it stored, by item.
	ID    string
	Items map[string]string
}

// Position is a term and the number of entries in a log under that term.
type Position struct{ Term, Number int }

// String returns the term and the number separated by a dot, or "-" for the zero Position.
func (p Position) String() string {
	if p == (Position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.Term, p.Number)
}

// Group is a service with one primary and its replicas.
type Group struct {
	Service string
	mu      sync.Mutex
	// changed is signalled when a log, a pause or the primary changes.
	changed *sync.Cond
	term    int
	primary *Upstream
	members []*Upstream
	// syncReplicas is the number of replicas that must have received a write before it is acknowledged.
	syncReplicas int
	// violations are the statements that violated the protocol of the upstreams.
	violations []string
	// runs are the statements that ran, and lastTransaction is the number of the last transaction.
	runs            []Run
	lastTransaction int
}

// NewGroup returns a group without members.
func NewGroup(service string) *Group {
	g := &Group{Service: service, term: 1}
	g.changed = sync.NewCond(&g.mu)
	return g
}

// SetSyncReplicas sets how many replicas must have received a write before it is acknowledged.
func (g *Group) SetSyncReplicas(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncReplicas = n
}

// Violations returns the statements that violated the protocol of the upstreams.
func (g *Group) Violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.violations)
}

// Primary returns the primary's id.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary.ID
}

// Items returns the data that the primary's log stores, by item, and how often each statement id is in the log.
func (g *Group) Items() (items map[string]string, runs map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	items, runs = map[string]string{}, map[string]int{}
	for _, e := range g.primary.log {
		maps.Copy(items, e.Items)
		runs[e.ID]++
	}
	return items, runs
}

// Promote makes a member the primary without the fleet's knowledge, as does an order whose answer was lost.
func (g *Group) Promote(id string) bool { return g.promote(id) }

// Store commits a write at the primary without the fleet's knowledge, and reports whether the write is acknowledged.
func (g *Group) Store(id, item, data string) bool {
	g.mu.Lock()
	primary := g.primary
	g.mu.Unlock()
	return g.commit(primary, id, map[string]string{item: data}) == committed
}

// promote makes a member the primary of the next term, and the others replicate its log. It returns false if the member is down.
func (g *Group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.ID != id || m.down {
			continue
		}
		if m == g.primary && !m.steppedDown {
			return true
		}
		g.term++
		g.primary = m
		// The others stay paused until they are told to continue: a promotion need not end their pauses.
		m.pausedTerm, m.steppedDown = 0, false
		defer g.changed.Broadcast()
		for _, other := range g.members {
			other.log = other.log[:commonPrefix(other.log, m.log)]
			g.replicate(other)
		}
		return true
	}
	return false
}

// commonPrefix returns the length of the common prefix of two logs.
func commonPrefix(x, y []Entry) int {
	n := 0
	for n < len(x) && n < len(y) && x[n].ID == y[n].ID && x[n].Term == y[n].Term {
		n++
	}
	return n
}

// replicate copies the primary's log to a replica, unless PAUSE or SetReplicationPaused has stopped replication, or the replica
// or the primary is down. The caller holds the lock.
func (g *Group) replicate(m *Upstream) {
	if m == g.primary || m.pausedTerm != 0 || m.replicationPaused || m.down || g.primary.down {
		return
	}
	defer g.changed.Broadcast()
	m.log = append(m.log[:commonPrefix(m.log, g.primary.log)], g.primary.log[commonPrefix(m.log, g.primary.log):]...)
}

// commitResult is the outcome of a commit at an upstream.
type commitResult int

const (
	// committed is an acknowledged commit.
	committed commitResult = iota
	// refused is a commit at an upstream that is not the primary or has stepped down.
	refused
	// unanswered is a commit whose upstream lost the lead before enough replicas had received it.
	unanswered
)

// commit appends an entry to the primary's log and waits until enough replicas have received it.
func (g *Group) commit(m *Upstream, id string, items map[string]string) commitResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m != g.primary || m.steppedDown {
		return refused
	}
	term := g.term
	m.log = append(m.log, Entry{Term: term, ID: id, Items: maps.Clone(items)})
	number := len(m.log)
	for _, other := range g.members {
		g.replicate(other)
	}
	for g.receivers(number) < g.syncReplicas {
		if g.changed.Wait(); g.term != term || m.down {
			return unanswered
		}
	}
	return committed
}

// receivers returns the number of replicas that have received the log up to an entry's number. The caller holds the lock.
func (g *Group) receivers(number int) int {
	n := 0
	for _, m := range g.members {
		if m != g.primary && !m.down && len(m.log) >= number {
			n++
		}
	}
	return n
}

func (g *Group) isPrimary(m *Upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m == g.primary && !m.steppedDown
}

func (g *Group) recordViolation(format string, arguments ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.violations = append(g.violations, fmt.Sprintf(format, arguments...))
}
