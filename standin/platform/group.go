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
	// ID is that of the caller's statement or commit, Items what it stored.
	ID    string
	Items map[string]string
}

// Position is the place of an entry under the term of its log.
type Position struct{ Term, Number int }

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
	// Violations are statements that break what upstreams expect.
	violations []string
}

// NewGroup returns a group without members.
func NewGroup(service string) *Group {
	return &Group{Service: service, term: 1}
}

// Violations returns what was seen to be wrong.
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

// Items returns what the primary's log stores, and how often each statement id is in it.
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

// Promote makes a member the primary behind the fleet's back, as an order does whose answer was lost.
func (g *Group) Promote(id string) bool { return g.promote(id) }

// Store commits a write at the primary behind the fleet's back.
func (g *Group) Store(id, item, data string) bool {
	g.mu.Lock()
	primary := g.primary
	g.mu.Unlock()
	return g.commit(primary, id, map[string]string{item: data})
}

// promote makes a member the primary of the next term; the others follow its log. It returns false for a member that is down.
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
			other.log = other.log[:common(other.log, m.log)]
			g.receive(other)
		}
		return true
	}
	return false
}

// common returns the length of the part that two logs share.
func common(x, y []Entry) int {
	n := 0
	for n < len(x) && n < len(y) && x[n].ID == y[n].ID && x[n].Term == y[n].Term {
		n++
	}
	return n
}

// receive brings a replica up to date, unless PAUSE or SetReplicationPaused has stopped it, or it is down; the caller holds
// the lock.
func (g *Group) receive(m *Upstream) {
	if m == g.primary || m.paused || m.replicationPaused || m.down || g.primary.down {
		return
	}
	m.log = append(m.log[:common(m.log, g.primary.log)], g.primary.log[common(m.log, g.primary.log):]...)
}

// commit appends an entry to the primary's log; false says that the member does not lead.
func (g *Group) commit(m *Upstream, id string, items map[string]string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m != g.primary || m.steppedDown {
		return false
	}
	m.log = append(m.log, Entry{Term: g.term, ID: id, Items: maps.Clone(items)})
	for _, other := range g.members {
		g.receive(other)
	}
	return true
}

func (g *Group) leads(m *Upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m == g.primary && !m.steppedDown
}

func (g *Group) violate(format string, arguments ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.violations = append(g.violations, fmt.Sprintf(format, arguments...))
}
