package control

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// attempt reserves a term. It must exceed every term that was reserved before, so that no two attempts share a term.
func (m *Machine) attempt(a *fleetpb.Attempt) *fleetpb.Outcome {
	group := m.Group(ident.Service(a.GetService()))
	highest := max(group.GetAttempt(), group.GetTerm())
	switch {
	case m.service(a.GetService()) == nil:
		return m.refuse("the text names no service %q", a.GetService())
	case group == nil:
		return m.refuse("service %q has no upstreams", a.GetService())
	case a.GetTerm() <= highest:
		return m.refuse("attempt under term %d, but term %d of %q is already reserved", a.GetTerm(), highest, a.GetService())
	}
	m.change(group, func(g *fleetpb.Group) { g.Attempt = a.GetTerm() })
	return m.done()
}

// promoted records a primary. Only the latest attempt can succeed, because members fenced under it refuse older
// terms.
func (m *Machine) promoted(p *fleetpb.Promoted) *fleetpb.Outcome {
	group := m.Group(ident.Service(p.GetService()))
	switch {
	case group == nil:
		return m.refuse("service %q has no upstreams", p.GetService())
	case p.GetTerm() != group.GetAttempt():
		return m.refuse("promotion under term %d, but the current attempt of %q is term %d", p.GetTerm(), p.GetService(), group.GetAttempt())
	case p.GetTerm() == group.GetTerm() && p.GetUpstream() == group.GetPrimary():
		return m.done()
	case p.GetTerm() == group.GetTerm():
		return m.refuse("term %d of %q already has the primary %q", p.GetTerm(), p.GetService(), group.GetPrimary())
	case MemberOf(group, p.GetUpstream()) == nil:
		return m.refuse("%q is no member of %q", p.GetUpstream(), p.GetService())
	}
	m.change(group, func(g *fleetpb.Group) {
		g.Term = p.GetTerm()
		g.Primary = p.GetUpstream()
	})
	return m.done()
}

func (m *Machine) join(j *fleetpb.Join) *fleetpb.Outcome {
	member := j.GetMember()
	service := m.service(j.GetService())
	switch {
	case service == nil:
		return m.refuse("the text names no service %q", j.GetService())
	case member.GetUpstream() == "" || member.GetAddress() == "":
		return m.refuse("an upstream of %q has no id or no address", j.GetService())
	case !hasZone(m.Text(), member.GetZone()):
		return m.refuse("the text names no zone %q", member.GetZone())
	}
	group := m.Group(ident.Service(j.GetService()))
	if group == nil {
		group = &fleetpb.Group{Service: j.GetService()}
	}
	index := slices.IndexFunc(group.GetMembers(), func(o *fleetpb.Member) bool { return o.GetUpstream() == member.GetUpstream() })
	maxMembers := int(service.GetUpstreams())
	if slices.ContainsFunc(group.GetMembers(), (*fleetpb.Member).GetLeaving) {
		maxMembers++ // a replacement joins before the leaving member is removed
	}
	if index < 0 && len(group.GetMembers()) >= maxMembers {
		return m.refuse("%q has all of its %d upstreams", j.GetService(), service.GetUpstreams())
	}
	if index >= 0 && proto.Equal(group.GetMembers()[index], member) {
		return m.done()
	}
	m.change(group, func(g *fleetpb.Group) {
		if index < 0 {
			g.Members = append(g.Members, member)
		} else {
			g.Members[index] = member
		}
	})
	return m.done()
}

// leave marks a member as leaving, or removes a member that is marked. Between the two steps, the control leader
// checks that the other members hold everything that the leaving member helped to acknowledge.
func (m *Machine) leave(l *fleetpb.Leave) *fleetpb.Outcome {
	group := m.Group(ident.Service(l.GetService()))
	member := MemberOf(group, l.GetUpstream())
	switch {
	case member == nil:
		return m.refuse("%q is no member of %q", l.GetUpstream(), l.GetService())
	case !l.GetRemove() && member.GetLeaving():
		return m.done()
	case l.GetRemove() && !member.GetLeaving():
		return m.refuse("%q is not leaving, so it stays a member of %q", l.GetUpstream(), l.GetService())
	case l.GetRemove() && group.GetPrimary() == l.GetUpstream():
		return m.refuse("%q is the primary of %q", l.GetUpstream(), l.GetService())
	}
	m.change(group, func(g *fleetpb.Group) {
		index := slices.IndexFunc(g.GetMembers(), func(o *fleetpb.Member) bool { return o.GetUpstream() == l.GetUpstream() })
		if l.GetRemove() {
			g.Members = slices.Delete(g.Members, index, index+1)
		} else {
			g.Members[index].Leaving = true
		}
	})
	return m.done()
}

// change replaces a group with a modified copy under a new version.
func (m *Machine) change(group *fleetpb.Group, modify func(g *fleetpb.Group)) {
	changed := proto.CloneOf(group)
	modify(changed)
	m.groups[ident.Service(group.GetService())] = &fleetpb.SavedGroup{Group: changed, Changed: m.nextVersion()}
}

// setKeepers starts the epoch that follows the current one, or settles the current one.
func (m *Machine) setKeepers(set *fleetpb.KeeperSet) *fleetpb.Outcome {
	current := m.keepers
	if set.GetSettled() {
		switch {
		case set.GetEpoch() != current.GetEpoch():
			return m.refuse("epoch %d cannot be settled, epoch %d is current", set.GetEpoch(), current.GetEpoch())
		case current.GetSettled():
			return m.done()
		}
		m.replaceKeepers(&fleetpb.KeeperSet{Epoch: current.GetEpoch(), Current: current.GetCurrent(), Settled: true})
		return m.done()
	}
	switch {
	case set.GetEpoch() != current.GetEpoch()+1:
		return m.refuse("epoch %d does not follow epoch %d", set.GetEpoch(), current.GetEpoch())
	case !current.GetSettled():
		return m.refuse("epoch %d cannot start before epoch %d is settled", set.GetEpoch(), current.GetEpoch())
	case len(set.GetCurrent()) == 0:
		return m.refuse("epoch %d has no keepers", set.GetEpoch())
	}
	m.replaceKeepers(&fleetpb.KeeperSet{Epoch: set.GetEpoch(), Current: set.GetCurrent(), Previous: current.GetCurrent()})
	return m.done()
}

func (m *Machine) replaceKeepers(set *fleetpb.KeeperSet) {
	m.keepers = set
	m.keepersChanged = ident.Version(m.nextVersion())
}

// MemberOf returns the member of a group with the given upstream id, or nil.
func MemberOf(group *fleetpb.Group, upstream string) *fleetpb.Member {
	for _, member := range group.GetMembers() {
		if member.GetUpstream() == upstream {
			return member
		}
	}
	return nil
}

func hasZone(t *fleetpb.Text, name string) bool {
	for _, z := range t.GetZones() {
		if z.GetName() == name {
			return true
		}
	}
	return false
}
