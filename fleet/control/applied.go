package control

import (
	"fmt"
	"strconv"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Applied updates the Leader after the Machine has applied a change with the given answer. Every control host calls
// it, so that Explain can report changes from before a host became the leader.
func (l *Leader) Applied(now ident.Time, change *fleetpb.Change, answer proto.Message) []Action {
	if refused, isText := answer.(*fleetpb.ApplyResponse); isText && refused.GetRaced() {
		// The refusal is recorded under the subject request/<id>, in place of service/upstream.
		request := change.GetApply().GetId()
		l.recordRefusal(now, upstreamID{"request", ident.Upstream(request)},
			fmt.Sprintf("lost to request %s: %s", refused.GetWinner(), refused.GetProblems()[0]))
	}
	// Refused and repeated changes leave the version as it was.
	if l.machine.Version() != l.version {
		l.lists = nil
		l.recordChange(now, change)
	}
	l.updateFromMachine(now)
	l.decideEpoch(now)
	return l.takeActions()
}

func (l *Leader) recordChange(now ident.Time, change *fleetpb.Change) {
	switch kind := change.GetKind().(type) {
	case *fleetpb.Change_Apply:
		l.record(now, KindText, fmt.Sprintf("version %d", l.machine.TextVersion()),
			fmt.Sprintf("%s applied by request %s", kind.Apply.GetFile(), kind.Apply.GetId()))
	case *fleetpb.Change_Give:
		l.record(now, KindKey, kind.Give.GetTeam()+"/"+kind.Give.GetKey(), "given by request "+kind.Give.GetId())
	case *fleetpb.Change_Withdraw:
		l.record(now, KindKey, kind.Withdraw.GetKey(), "withdrawn by request "+kind.Withdraw.GetId())
	case *fleetpb.Change_Attempt:
		l.recordAttempt(now, kind.Attempt)
	case *fleetpb.Change_Promoted:
		l.recordPromotion(now, kind.Promoted)
	case *fleetpb.Change_Join:
		member := kind.Join.GetMember()
		l.record(now, KindMember, kind.Join.GetService()+"/"+member.GetUpstream(),
			fmt.Sprintf("joined at %s in zone %s", member.GetAddress(), member.GetZone()))
	case *fleetpb.Change_Leave:
		cause := "marked as leaving"
		if kind.Leave.GetRemove() {
			cause = "removed"
		}
		l.record(now, KindMember, kind.Leave.GetService()+"/"+kind.Leave.GetUpstream(), cause)
	case *fleetpb.Change_Keepers:
		clear(l.proposed)
		cause := fmt.Sprintf("started with %d keepers", len(l.machine.Keepers().GetCurrent()))
		if kind.Keepers.GetSettled() {
			cause = "settled"
		}
		l.record(now, KindEpoch, strconv.FormatUint(kind.Keepers.GetEpoch(), 10), cause)
	}
}

// outage is a period in which a group has no primary.
type outage struct {
	since ident.Time
	// primary is the previous primary, and cause that of the first attempt to replace it.
	primary string
	cause   string
}

// recordAttempt records an attempt to promote a primary. The first one starts an outage, which is counted from the
// last answer of the previous primary, or from now if none was observed.
func (l *Leader) recordAttempt(now ident.Time, a *fleetpb.Attempt) {
	service := ident.Service(a.GetService())
	l.record(now, KindAttempt, a.GetService(), fmt.Sprintf("term %d reserved: %s", a.GetTerm(), a.GetCause()))
	group := l.machine.Group(service)
	if _, running := l.outages[service]; running || group.GetTerm() == 0 {
		return
	}
	o := outage{since: now, primary: group.GetPrimary(), cause: a.GetCause()}
	if u := l.upstreams[upstreamID{service, ident.Upstream(group.GetPrimary())}]; u != nil && u.observed {
		o.since = u.lastContact
	}
	l.outages[service] = o
}

func (l *Leader) recordPromotion(now ident.Time, p *fleetpb.Promoted) {
	service := ident.Service(p.GetService())
	o, running := l.outages[service]
	delete(l.outages, service)
	if !running {
		l.record(now, KindPromoted, p.GetService()+"/"+p.GetUpstream(), fmt.Sprintf("primary under term %d", p.GetTerm()))
		return
	}
	gap := now.Sub(o.since)
	l.meter.Gap(now, gap)
	before := "in place of " + o.primary
	if o.primary == p.GetUpstream() {
		before = "again"
	}
	l.record(now, KindPromoted, p.GetService()+"/"+p.GetUpstream(), fmt.Sprintf(
		"primary under term %d %s, %d ms after the last contact with the old one; cause: %s", p.GetTerm(), before, gap.Milliseconds(), o.cause))
}

// Restored updates the Leader after the Machine has restored a snapshot.
func (l *Leader) Restored(now ident.Time) []Action {
	l.lists = nil
	clear(l.outages)
	l.updateFromMachine(now)
	return l.takeActions()
}

// updateFromMachine reads the version and the text of the Machine, which may differ after a change or a restored
// snapshot. It records zone changes and passes the teams' limits to the meter.
func (l *Leader) updateFromMachine(now ident.Time) {
	l.version = l.machine.Version()
	text := l.machine.Text()
	if text == l.text {
		return
	}
	wasOut := map[string]bool{}
	for _, z := range l.text.GetZones() {
		wasOut[z.GetName()] = z.GetOut()
	}
	for _, z := range text.GetZones() {
		if wasOut[z.GetName()] == z.GetOut() {
			continue
		}
		cause := "returned to service"
		if z.GetOut() {
			cause = "taken out of service"
		}
		l.record(now, KindZone, z.GetName(), cause)
		l.meter.ZoneChanged(now)
	}
	l.text = text
	l.lists = nil
	var limits []burn.Limit
	for _, t := range text.GetTeams() {
		limits = append(limits, burn.Limit{
			Team: ident.Team(t.GetName()), Rate: float64(t.GetRate()), Burst: float64(t.GetBurst()), Weight: float64(t.GetWeight()),
		})
	}
	l.meter.SetLimits(limits)
}
