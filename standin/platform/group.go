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
	term    int
	primary *Upstream
	members []*Upstream
	// violations are the statements that violated the protocol of the upstreams.
	violations []string
}

// NewGroup returns a group without members.
func NewGroup(service string) *Group {
	return &Group{Service: service, term: 1}
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

// Store commits a write at the primary without the fleet's knowledge.
func (g *Group) Store(id, item, data string) bool {
	g.mu.Lock()
	primary := g.primary
	g.mu.Unlock()
	return g.commit(primary, id, map[string]string{item: data})
}

// promote makes a member the primary of the next term, and the others replicate its log. It returns false if the member is down.
func (g *Group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.ID != id || m.down {
			continue
		}
		if m == g.primary {
			return true
		}
		g.term++
		g.primary = m
		m.paused = false
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
	if m == g.primary || m.paused || m.replicationPaused || m.down || g.primary.down {
		return
	}
	m.log = append(m.log[:commonPrefix(m.log, g.primary.log)], g.primary.log[commonPrefix(m.log, g.primary.log):]...)
}

// commit appends an entry to the primary's log. It returns false if the member is not the primary or has stepped down.
func (g *Group) commit(m *Upstream, id string, items map[string]string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m != g.primary || m.steppedDown {
		return false
	}
	m.log = append(m.log, Entry{Term: g.term, ID: id, Items: maps.Clone(items)})
	for _, other := range g.members {
		g.replicate(other)
	}
	return true
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
