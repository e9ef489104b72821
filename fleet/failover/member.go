package failover

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// changeSpacing is the minimum time between two changes of the member list. By then every host has adopted the first
	// one, or its lease of two seconds has ended, so no host acknowledges writes by the earlier list.
	changeSpacing = 4 * time.Second
	// changePollInterval is the time between queries for a change; changeProposeInterval is the time between its proposals.
	changePollInterval    = 200 * time.Millisecond
	changeProposeInterval = time.Second
)

// memberChange is the state of a change of the member list that is being prepared.
type memberChange struct {
	queried  ident.Time
	proposed ident.Time
	// reference is the primary's position, read after changeSpacing; holders are the members that hold it.
	reference ident.Position
	holders   map[ident.Upstream]bool
}

// proposeAnnounced proposes one difference between the announcements and the control state: a changed address or leaving
// mark of a member, or a new member of a group that has no primary yet.
func (g *Group) proposeAnnounced() {
	if g.change.proposed != 0 && g.now.Sub(g.change.proposed) < changeProposeInterval {
		return
	}
	for _, u := range g.announced() {
		a := g.announcements[u].member
		m, member := g.member(u)
		switch {
		case member && a.Leaving && !m.Leaving:
			g.emit(ProposeLeave{Upstream: u})
		case member && !a.Leaving && (m.Leaving || m.Address != a.Address):
			g.emit(ProposeJoin{a})
		case !member && !a.Leaving && g.control.Term == 0 && len(g.control.Members) < g.control.Size:
			g.emit(ProposeJoin{a})
		default:
			continue
		}
		g.change.proposed = g.now
		return
	}
}

// announced returns the upstreams with a valid announcement, sorted by name.
func (g *Group) announced() []ident.Upstream {
	var all []ident.Upstream
	for u := range g.announcements {
		if g.isAnnounced(u) {
			all = append(all, u)
		}
	}
	slices.Sort(all)
	return all
}

// changeMembers adds one new member, or removes one leaving member that has been replaced.
func (g *Group) changeMembers() {
	if leaving, found := g.removable(); found {
		remaining := slices.DeleteFunc(slices.Clone(g.control.Members), func(m Member) bool { return m.Upstream == leaving })
		if g.caughtUp(remaining, len(remaining)/2+1) {
			g.propose(ProposeLeave{Upstream: leaving, Remove: true})
		}
		return
	}
	candidate, found := g.candidate()
	if !found {
		return
	}
	g.requestFollow(candidate)
	if g.caughtUp([]Member{candidate}, 1) {
		g.propose(ProposeJoin{candidate})
	}
}

func (g *Group) propose(a Action) {
	if g.change.proposed == 0 || g.now.Sub(g.change.proposed) >= changeProposeInterval {
		g.change.proposed = g.now
		g.emit(a)
	}
}

// removable returns a leaving replica if the group has more members than the configuration requires.
func (g *Group) removable() (ident.Upstream, bool) {
	if len(g.control.Members) <= g.control.Size {
		return "", false
	}
	for _, m := range g.control.Members {
		if g.leaving(m) && m.Upstream != g.control.Primary {
			return m.Upstream, true
		}
	}
	return "", false
}

// candidate returns an announced upstream for a vacancy, or to replace a leaving member.
func (g *Group) candidate() (Member, bool) {
	vacancies := g.control.Size - len(g.control.Members)
	if slices.ContainsFunc(g.control.Members, g.leaving) {
		vacancies++
	}
	if vacancies <= 0 {
		return Member{}, false
	}
	for _, u := range g.announced() {
		a := g.announcements[u].member
		if _, member := g.member(u); !member && !a.Leaving {
			return a, true
		}
	}
	return Member{}, false
}

// caughtUp reports whether the needed number of members hold a position of the primary that was read changeSpacing or more
// after the last change. Until then it queries the primary, then the members.
func (g *Group) caughtUp(members []Member, needed int) bool {
	if g.now.Sub(g.membersChanged) < changeSpacing {
		return false
	}
	primary, known := g.member(g.control.Primary)
	if !known {
		return false
	}
	c := &g.change
	n := 0
	for _, m := range members {
		if c.holders[m.Upstream] {
			n++
		}
	}
	if n >= needed {
		return true
	}
	if c.queried != 0 && g.now.Sub(c.queried) < changePollInterval {
		return false
	}
	c.queried = g.now
	if c.holders == nil {
		g.emit(Query{primary.Upstream, primary.Address})
		return false
	}
	for _, m := range members {
		if !c.holders[m.Upstream] {
			g.emit(Query{m.Upstream, m.Address})
		}
	}
	return false
}

// handleChangeAnswer records the primary's position as the reference, and the members that hold it.
func (g *Group) handleChangeAnswer(e Answer) {
	c := &g.change
	if e.Kind != KindQuery || e.Failure != "" || e.State.Term != g.control.Term || c.queried == 0 {
		return
	}
	switch {
	case e.Upstream == g.control.Primary && e.State.Primary && c.holders == nil:
		c.reference = e.State.Last
		c.holders = map[ident.Upstream]bool{e.Upstream: true}
	case c.holders != nil && e.State.Following && e.State.Last.Covers(c.reference):
		c.holders[e.Upstream] = true
	}
}

func (g *Group) handleFollowAnswer(e Answer) {
	f := g.follows[e.Upstream]
	if e.Kind != KindFollow || e.Term != g.control.Term || f == nil {
		return
	}
	f.accepted, f.acked = e.Failure == "", g.now
}
