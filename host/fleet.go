package main

import (
	"context"
	"sort"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/controller"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/observer"
)

// fleetView implements the interfaces through which parts read this host's copy of the control state.
type fleetView struct {
	deps *deps
}

func (f fleetView) view() *member.View { return f.deps.member.View() }

// Now returns the host's logical time.
func (f fleetView) Now() ident.Time { return f.deps.clock.Now() }

// Services returns the services that have a primary, sorted. Without a primary there is no position that a keeper could read.
func (f fleetView) Services() []ident.Service {
	view := f.view()
	var names []ident.Service
	for name := range view.Services {
		if view.Groups[name].GetPrimary() != "" {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Current returns the confirmed position of a service's primary.
func (f fleetView) Current(ctx context.Context, service ident.Service) (ident.Position, error) {
	return f.deps.tracker.Current(ctx, service)
}

// Owner returns the peer address of the control leader, which owns the tokens of all teams.
func (f fleetView) Owner() string { return f.deps.member.Leader() }

// OwnerRedirected syncs at once to find the control leader, which is the owner.
func (f fleetView) OwnerRedirected(string) { f.deps.member.SyncNow() }

// OwnerUnresponsive implements quota.Fleet and does nothing: the syncs detect a lost owner, and are as frequent as failed
// requests for tokens can be.
func (fleetView) OwnerUnresponsive(string) {}

// Changed returns a channel that is closed at the next view.
func (f fleetView) Changed() <-chan struct{} { return f.deps.member.Changed() }

// Groups returns the groups in the form that the observer uses, sorted by service.
func (f fleetView) Groups() []observer.Group {
	view := f.view()
	var groups []observer.Group
	for name, state := range view.Groups {
		service := view.Services[name]
		if service == nil {
			continue
		}
		groups = append(groups, observerGroup(name, service, state))
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Service < groups[j].Service })
	return groups
}

func observerGroup(name ident.Service, service *fleetpb.Service, state *fleetpb.Group) observer.Group {
	base := state.GetBase()
	group := observer.Group{
		Service: name,
		Size:    int(service.GetUpstreams()),
		Term:    ident.Term(state.GetTerm()),
		Primary: ident.Upstream(state.GetPrimary()),
		Base:    ident.Position{Term: ident.Term(base.GetTerm()), LSN: ident.LSN(base.GetLsn())},
	}
	for _, m := range state.GetMembers() {
		group.Members = append(group.Members, observer.Member{Upstream: ident.Upstream(m.GetUpstream()), Address: m.GetAddress()})
	}
	return group
}

// Hosts returns the live hosts.
func (f fleetView) Hosts() []observer.Host {
	var hosts []observer.Host
	for _, h := range f.view().Hosts {
		hosts = append(hosts, observer.Host{ID: ident.Host(h.GetHost()), Zone: ident.Zone(h.GetZone()), Peer: h.GetPeer()})
	}
	return hosts
}

// Observers returns the peer addresses of a service's observers, with those in this host's zone first.
func (f fleetView) Observers(service ident.Service) []string {
	chosen := observer.Choose(service, f.Hosts())
	own := ident.Zone(f.deps.settings.GetZone())
	sort.SliceStable(chosen, func(i, j int) bool { return chosen[i].Zone == own && chosen[j].Zone != own })
	addresses := make([]string, 0, len(chosen))
	for _, host := range chosen {
		addresses = append(addresses, host.Peer)
	}
	return addresses
}

// Position returns the position of a session's last write, or false when no holder returned it.
func (f fleetView) Position(ctx context.Context, session ident.Session) (ident.Position, bool) {
	position, err := f.deps.keeper.Position(ctx, session)
	return position, err == nil
}

// announce forwards an announcement to the control leader.
func (f fleetView) announce(ctx context.Context, request *fleetpb.AnnounceRequest) (*fleetpb.AnnounceResponse, error) {
	leader := f.deps.member.Leader()
	if leader == "" {
		return nil, trace.ConnectionProblem(nil, "no control leader is known")
	}
	peers := f.deps.peers
	answer, err := fleetpb.NewControlProtobufClient(peers.URL(leader), peers.Client(controller.ForwardTimeout)).Announce(ctx, request)
	return answer, trace.Wrap(err)
}
