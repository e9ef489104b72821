package routing

import (
	"slices"

	"tamarackshunt.dev/fleet/ident"
)

// Changed returns a channel that is closed at the next change of a service's primary or upstreams. It is nil for an unknown service.
func (t *Table) Changed(service ident.Service) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[service]
	if g == nil {
		return nil
	}
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

// update replaces the members and the primary, and closes the channel of Changed if they differ. The caller must hold the table's mu.
func (g *group) update(members []*member, primary ident.Upstream) {
	same := slices.EqualFunc(g.members, members, func(x, y *member) bool {
		return x.pool == y.pool && x.leaving == y.leaving && x.evacuated == y.evacuated
	})
	if g.changed != nil && (!same || g.primary != primary) {
		close(g.changed)
		g.changed = nil
	}
	g.members, g.primary = members, primary
}
