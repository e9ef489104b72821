package control

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// upstreamID identifies an upstream; upstream ids are unique within a service.
type upstreamID struct {
	service  ident.Service
	upstream ident.Upstream
}

func (u upstreamID) String() string {
	return string(u.service) + "/" + string(u.upstream)
}

// upstream is the leader's record of an announced or observed upstream.
type upstream struct {
	member  *fleetpb.Member
	expires ident.Time
	alive   bool
	// lastContact is the latest time at which any observer received an answer; refused is set if connections were
	// refused since.
	lastContact ident.Time
	refused     bool
	observed    bool
}

// maxRefusals limits the refusals that are remembered, so that repeated refusals are recorded once.
const maxRefusals = 1024

// Announce renews the lease of an upstream's announcement. It refuses upstreams of services or zones that the text
// does not name. Package failover receives announcements too, and decides when members join and leave.
func (l *Leader) Announce(now ident.Time, request *fleetpb.AnnounceRequest) (*fleetpb.AnnounceResponse, []Action, error) {
	if err := l.checkServing(now); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	member := request.GetMember()
	id := upstreamID{ident.Service(request.GetService()), ident.Upstream(member.GetUpstream())}
	if problem := l.announcementProblem(request); problem != "" {
		l.recordRefusal(now, id, problem)
		return &fleetpb.AnnounceResponse{Problem: problem}, l.takeActions(), nil
	}
	delete(l.refusals, id)
	u := l.upstream(id)
	lease := min(time.Duration(request.GetLeaseMs())*time.Millisecond, maxAnnouncementLease)
	u.expires = now.Add(lease)
	if !u.alive {
		u.alive = true
		l.lists = nil
		l.record(now, KindUpstream, id.String(), fmt.Sprintf("announced at %s in zone %s", member.GetAddress(), member.GetZone()))
	}
	if member.GetLeaving() && !u.member.GetLeaving() {
		l.record(now, KindUpstream, id.String(), "announced as leaving")
	}
	u.member = member
	group := l.machine.Group(id.service)
	return &fleetpb.AnnounceResponse{
		Accepted: true,
		Primary:  MemberOf(group, group.GetPrimary()).GetAddress(),
		Term:     group.GetTerm(),
	}, l.takeActions(), nil
}

// announcementProblem returns why an announcement is refused, or "".
func (l *Leader) announcementProblem(request *fleetpb.AnnounceRequest) string {
	member := request.GetMember()
	switch {
	case member.GetUpstream() == "" || member.GetAddress() == "":
		return "the announcement names no upstream or no address"
	case !isAddress(member.GetAddress()):
		return fmt.Sprintf("the address %q is not a host with a port from 1 to 65535", member.GetAddress())
	case request.GetLeaseMs() == 0:
		return "the announcement has no lease, expected leaseMs above 0"
	case l.machine.service(request.GetService()) == nil:
		return fmt.Sprintf("the text names no service %q", request.GetService())
	case !hasZone(l.machine.Text(), member.GetZone()):
		return fmt.Sprintf("the text names no zone %q", member.GetZone())
	default:
		return ""
	}
}

// isAddress reports whether a text is a host with a port to which a connection can be opened.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

func (l *Leader) recordRefusal(now ident.Time, id upstreamID, problem string) {
	if l.refusals[id] == problem {
		return
	}
	if len(l.refusals) >= maxRefusals {
		clear(l.refusals)
	}
	l.refusals[id] = problem
	l.record(now, KindRefused, id.String(), problem)
}

func (l *Leader) upstream(id upstreamID) *upstream {
	u := l.upstreams[id]
	if u == nil {
		u = &upstream{}
		l.upstreams[id] = u
	}
	return u
}

// recordObservations records when observers last received an answer from each member.
func (l *Leader) recordObservations(now ident.Time, request *fleetpb.SyncRequest) {
	for _, o := range request.GetObserved() {
		group := l.machine.Group(ident.Service(o.GetService()))
		if MemberOf(group, o.GetUpstream()) == nil {
			continue
		}
		u := l.upstream(upstreamID{ident.Service(o.GetService()), ident.Upstream(o.GetUpstream())})
		silent := time.Duration(min(o.GetSilentMs(), uint64(time.Hour/time.Millisecond))) * time.Millisecond
		if contact := now.Add(-silent); !u.observed || contact >= u.lastContact {
			u.lastContact, u.refused, u.observed = contact, o.GetRefused(), true
		}
	}
}

func (l *Leader) expireUpstreams(now ident.Time) {
	for _, id := range slices.SortedFunc(maps.Keys(l.upstreams), compareIDs) {
		u := l.upstreams[id]
		if u.alive && now >= u.expires {
			u.alive = false
			l.lists = nil
			l.record(now, KindUpstream, id.String(), "announcement ended")
		}
		member := MemberOf(l.machine.Group(id.service), string(id.upstream)) != nil
		if !u.alive && !member {
			delete(l.upstreams, id)
		}
	}
	if end := l.leadership.Since.Add(maxAnnouncementLease); now >= end && now.Sub(end) < time.Second {
		l.lists = nil // members that were assumed to be alive may not be any more
	}
}

// isAlive reports whether an upstream's announcement is valid. A new leader assumes that a member it has no
// announcement of is alive, until the longest announcement to an earlier leader has ended.
func (l *Leader) isAlive(now ident.Time, id upstreamID) bool {
	u := l.upstreams[id]
	if u != nil && u.member != nil {
		return now < u.expires
	}
	return now < l.leadership.Since.Add(maxAnnouncementLease)
}

// aliveUpstreams returns the members that are alive, as service/upstream.
func (l *Leader) aliveUpstreams(now ident.Time) []string {
	var alive []string
	for _, s := range l.machine.Text().GetServices() {
		for _, member := range l.machine.Group(ident.Service(s.GetName())).GetMembers() {
			id := upstreamID{ident.Service(s.GetName()), ident.Upstream(member.GetUpstream())}
			if l.isAlive(now, id) {
				alive = append(alive, id.String())
			}
		}
	}
	slices.Sort(alive)
	return alive
}

func compareIDs(a, b upstreamID) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.upstream, b.upstream))
}
