package member

import (
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/key"
)

// View is an immutable copy of the control state; every answer to a sync makes a new View.
type View struct {
	Version     ident.Version
	TextVersion ident.Version
	Text        *fleetpb.Text
	Services    map[ident.Service]*fleetpb.Service
	Routes      map[ident.Route]Route
	Teams       map[ident.Team]*fleetpb.Team
	ZonesOut    map[ident.Zone]bool
	// ZonesOutSince has the time at which this host learned that an availability zone is out of service.
	ZonesOutSince map[ident.Zone]ident.Time
	Groups        map[ident.Service]*fleetpb.Group
	// Keys is shared by all views of a host, so that a withdrawn key becomes invalid at once.
	Keys       *key.Table
	Keepers    *fleetpb.KeeperSet
	Hosts      []*fleetpb.Alive
	Allotments map[Target]int
	Announced  map[Target]bool
	// Digest identifies the contents of Hosts and Announced; the leader's answer omits both lists while they are unchanged.
	Digest  uint64
	Expires ident.Time
}

// Target names one upstream of one service.
type Target struct {
	Service  ident.Service
	Upstream ident.Upstream
}

// Route holds the service that a database name leads to, and how callers of that name may use it.
type Route struct {
	Service ident.Service
	// Open is set if callers need no key.
	Open     bool
	ReadOnly bool
	// Team is the team whose limits apply to an open route.
	Team ident.Team
}

// Valid reports whether the host may act on the view at the time now.
func (v *View) Valid(now ident.Time) bool {
	return v.Text != nil && now < v.Expires
}

// Member returns the target's entry in the group of its service, or nil if the target is not a member.
func (v *View) Member(target Target) *fleetpb.Member {
	for _, member := range v.Groups[target.Service].GetMembers() {
		if member.GetUpstream() == string(target.Upstream) {
			return member
		}
	}
	return nil
}

// InService reports whether an upstream may get new work: it is announced and not leaving, and its zone is in service.
func (v *View) InService(target Target) bool {
	member := v.Member(target)
	if member == nil || member.GetLeaving() || !v.Announced[target] {
		return false
	}
	return !v.ZonesOut[ident.Zone(member.GetZone())]
}

// OutFor returns how long this host has known that a target's availability zone is out of service, or 0 if it is in service.
func (v *View) OutFor(now ident.Time, target Target) time.Duration {
	since, out := v.ZonesOutSince[ident.Zone(v.Member(target).GetZone())]
	if !out {
		return 0
	}
	return now.Sub(since)
}

// next returns a copy of v with the answer of a sync applied at now, valid until expires.
func (v *View) next(answer *fleetpb.SyncResponse, now, expires ident.Time) *View {
	n := *v
	n.Expires = expires
	n.Allotments = make(map[Target]int, len(answer.GetAllotments()))
	for _, a := range answer.GetAllotments() {
		target := Target{ident.Service(a.GetService()), ident.Upstream(a.GetUpstream())}
		n.Allotments[target] = int(a.GetConnections())
	}
	if answer.GetDigest() != v.Digest {
		n.applyLists(answer)
	}
	if state := answer.GetState(); state != nil {
		n.apply(state, now)
	}
	return &n
}

func (v *View) applyLists(answer *fleetpb.SyncResponse) {
	v.Digest = answer.GetDigest()
	v.Hosts = answer.GetHosts()
	v.Announced = make(map[Target]bool, len(answer.GetUpstreams()))
	for _, name := range answer.GetUpstreams() {
		v.Announced[parseTarget(name)] = true
	}
}

func (v *View) apply(state *fleetpb.State, now ident.Time) {
	if state.GetFull() {
		v.Groups = nil
	}
	v.Version = ident.Version(state.GetVersion())
	v.applyGroups(state.GetGroups())
	v.Keys.Update(state)
	if state.GetKeepers() != nil {
		v.Keepers = state.GetKeepers()
	}
	if state.GetText() != nil {
		v.applyText(state, now)
	}
}

func (v *View) applyGroups(changed []*fleetpb.Group) {
	groups := make(map[ident.Service]*fleetpb.Group, len(v.Groups)+len(changed))
	for name, group := range v.Groups {
		groups[name] = group
	}
	for _, group := range changed {
		groups[ident.Service(group.GetService())] = group
	}
	v.Groups = groups
}

func (v *View) applyText(state *fleetpb.State, now ident.Time) {
	text := state.GetText()
	v.Text = text
	v.TextVersion = ident.Version(state.GetTextVersion())
	v.Services = make(map[ident.Service]*fleetpb.Service)
	v.Routes = make(map[ident.Route]Route)
	v.Teams = make(map[ident.Team]*fleetpb.Team)
	v.ZonesOut = make(map[ident.Zone]bool)
	for _, service := range text.GetServices() {
		name := ident.Service(service.GetName())
		v.Services[name] = service
		v.Routes[ident.Route(name)] = Route{Service: name}
		for _, route := range service.GetRoutes() {
			v.Routes[ident.Route(route.GetName())] = Route{
				Service:  name,
				Open:     route.GetOpen(),
				ReadOnly: route.GetReadonly(),
				Team:     ident.Team(route.GetTeam()),
			}
		}
	}
	for _, team := range text.GetTeams() {
		v.Teams[ident.Team(team.GetName())] = team
	}
	before := v.ZonesOutSince
	v.ZonesOutSince = make(map[ident.Zone]ident.Time)
	for _, zone := range text.GetZones() {
		name := ident.Zone(zone.GetName())
		v.ZonesOut[name] = zone.GetOut()
		if since, known := before[name]; known && zone.GetOut() {
			v.ZonesOutSince[name] = since
		} else if zone.GetOut() {
			v.ZonesOutSince[name] = now
		}
	}
}
