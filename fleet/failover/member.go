package failover

import (
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// changeSpacing is the time between two changes of the member list. Every host has adopted the first by then, or its
	// lease of two seconds has ended, so that nobody acknowledges by the list before.
	changeSpacing = 4 * time.Second
	// changePoll is the time between queries of a change, and between proposals of the same change.
	changePoll    = 200 * time.Millisecond
	changePropose = time.Second
)

// memberChange is the change of the member list that is being prepared.
type memberChange struct {
	asked    ident.Time
	proposed ident.Time
	// reference is the position of the primary, read after the spacing; holds are the members that hold it.
	reference ident.Position
	holds     map[ident.Upstream]bool
}

// announcedMembers passes changes of address and of the leaving mark on to the log, and fills a group that has no
// primary yet.
func (g *Group) announcedMembers() {
	if g.change.proposed != 0 && g.now.Sub(g.change.proposed) < changePropose {
		return
	}
	for _, u := range g.announced() {
		a := g.alive[u].member
		m, member := g.member(u)
		switch {
		case member && a.Leaving && !m.Leaving:
			g.act(ProposeLeave{Upstream: u})
		case member && !a.Leaving && (m.Leaving || m.Address != a.Address):
			g.act(ProposeJoin{a})
		case !member && !a.Leaving && g.control.Term == 0 && len(g.control.Members) < g.control.Size:
			g.act(ProposeJoin{a})
		default:
			continue
		}
		g.change.proposed = g.now
		return
	}
}

// announced returns the upstreams with a valid announcement, in order of their names.
func (g *Group) announced() []ident.Upstream {
	var all []ident.Upstream
	for u := range g.alive {
		if g.isAlive(u) {
			all = append(all, u)
		}
	}
	slices.Sort(all)
	return all
}

// changeMembers lets one new member in, or removes one leaving member that has a replacement.
func (g *Group) changeMembers() {
	if leaving, found := g.removable(); found {
		rest := slices.DeleteFunc(slices.Clone(g.control.Members), func(m Member) bool { return m.Upstream == leaving })
		if g.caughtUp(rest, len(rest)/2+1) {
			g.propose(ProposeLeave{Upstream: leaving, Remove: true})
		}
		return
	}
	candidate, found := g.candidate()
	if !found {
		return
	}
	g.tellFollow(candidate)
	if g.caughtUp([]Member{candidate}, 1) {
		g.propose(ProposeJoin{candidate})
	}
}

func (g *Group) propose(a Action) {
	if g.change.proposed == 0 || g.now.Sub(g.change.proposed) >= changePropose {
		g.change.proposed = g.now
		g.act(a)
	}
}

// removable returns a leaving replica when the list is longer than the configuration says.
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

// candidate returns an announced upstream that takes a free place, or the place of a leaving member.
func (g *Group) candidate() (Member, bool) {
	places := g.control.Size - len(g.control.Members)
	if slices.ContainsFunc(g.control.Members, g.leaving) {
		places++
	}
	if places <= 0 {
		return Member{}, false
	}
	for _, u := range g.announced() {
		a := g.alive[u].member
		if _, member := g.member(u); !member && !a.Leaving {
			return a, true
		}
	}
	return Member{}, false
}

// caughtUp queries members until the given number of them holds a position of the primary that was read after the
// spacing since the last change.
func (g *Group) caughtUp(members []Member, needed int) bool {
	if g.now.Sub(g.changed) < changeSpacing {
		return false
	}
	primary, known := g.member(g.control.Primary)
	if !known {
		return false
	}
	c := &g.change
	n := 0
	for _, m := range members {
		if c.holds[m.Upstream] {
			n++
		}
	}
	if n >= needed {
		return true
	}
	if c.asked != 0 && g.now.Sub(c.asked) < changePoll {
		return false
	}
	c.asked = g.now
	if c.holds == nil {
		g.act(Query{primary.Upstream, primary.Address})
		return false
	}
	for _, m := range members {
		if !c.holds[m.Upstream] {
			g.act(Query{m.Upstream, m.Address})
		}
	}
	return false
}

// changeAnswer notes the position of the primary, and which members hold it.
func (g *Group) changeAnswer(e Answer) {
	c := &g.change
	if e.Kind != KindQuery || e.Failure != "" || e.State.Term != g.control.Term || c.asked == 0 {
		return
	}
	switch {
	case e.Upstream == g.control.Primary && e.State.Primary && c.holds == nil:
		c.reference = e.State.Last
		c.holds = map[ident.Upstream]bool{e.Upstream: true}
	case c.holds != nil && e.State.Following && e.State.Last.Covers(c.reference):
		c.holds[e.Upstream] = true
	}
}

func (g *Group) followAnswer(e Answer) {
	f := g.follows[e.Upstream]
	if e.Kind != KindFollow || e.Term != g.control.Term || f == nil {
		return
	}
	f.done, f.acked = e.Failure == "", g.now
}
