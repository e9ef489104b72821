package routing

import (
	"slices"

	"tamarackshunt.dev/fleet/ident"
)

// Changed returns a channel that is closed at the next change of a service's primary or upstreams. It is nil for an unknown service.
func (t *Table) Changed(service ident.Service) <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if g := t.groups[service]; g != nil {
		return g.changed
	}
	return nil
}

// update replaces the members and the primary, and closes the channel of Changed if they differ. The caller must hold the table's mu.
func (g *group) update(members []*member, primary ident.Upstream) {
	same := g.primary == primary && slices.EqualFunc(g.members, members, func(x, y *member) bool {
		return x.pool == y.pool && x.leaving == y.leaving && x.evacuated == y.evacuated
	})
	g.members, g.primary = members, primary
	if g.changed != nil && same {
		return
	}
	if g.changed != nil {
		close(g.changed)
	}
	g.changed = make(chan struct{})
}
