package control

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Applied follows a change that the Machine has just applied with the given answer. Every control host calls it, so that
// Explain can report changes from before a leader took office.
func (l *Leader) Applied(now ident.Time, change *fleetpb.Change, answer proto.Message) []Action {
	l.lists = nil
	switch answer := answer.(type) {
	case *fleetpb.ApplyResponse:
		l.appliedText(now, change.GetApply(), answer)
	case *fleetpb.KeyResponse:
		l.appliedKey(now, change, answer)
	case *fleetpb.Outcome:
		if answer.GetDone() {
			l.appliedChange(now, change)
		}
	}
	l.follow(now)
	l.decideEpoch(now)
	return l.take()
}

func (l *Leader) appliedText(now ident.Time, apply *fleetpb.ApplyText, answer *fleetpb.ApplyResponse) {
	switch {
	case answer.GetAccepted():
		l.record(now, KindText, fmt.Sprintf("version %d", answer.GetVersion()),
			fmt.Sprintf("%s applied by request %s", apply.GetFile(), apply.GetId()))
	case answer.GetRaced():
		l.record(now, KindRefused, apply.GetFile(),
			fmt.Sprintf("request %s lost to request %s: %s", apply.GetId(), answer.GetWinner(), answer.GetProblems()[0]))
	}
}

func (l *Leader) appliedKey(now ident.Time, change *fleetpb.Change, answer *fleetpb.KeyResponse) {
	if !answer.GetDone() {
		return
	}
	switch kind := change.GetKind().(type) {
	case *fleetpb.Change_Give:
		l.record(now, KindKey, kind.Give.GetTeam(), fmt.Sprintf("key %s given by request %s", kind.Give.GetKey(), kind.Give.GetId()))
	case *fleetpb.Change_Withdraw:
		l.record(now, KindKey, kind.Withdraw.GetKey(), fmt.Sprintf("withdrawn by request %s", kind.Withdraw.GetId()))
	}
}

func (l *Leader) appliedChange(now ident.Time, change *fleetpb.Change) {
	switch kind := change.GetKind().(type) {
	case *fleetpb.Change_Attempt:
		l.attempted(now, kind.Attempt)
	case *fleetpb.Change_Promoted:
		l.promoted(now, kind.Promoted)
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
		l.record(now, KindEpoch, fmt.Sprintf("epoch %d", kind.Keepers.GetEpoch()), cause)
	}
}

// attempted notes since when a group has no primary: since the last answer of the old one.
func (l *Leader) attempted(now ident.Time, a *fleetpb.Attempt) {
	service := ident.Service(a.GetService())
	l.record(now, KindAttempt, a.GetService(), fmt.Sprintf("term %d reserved: %s", a.GetTerm(), a.GetCause()))
	group := l.machine.Group(service)
	if _, running := l.outage[service]; running || group.GetTerm() == 0 {
		return
	}
	l.outage[service] = now
	if u := l.upstreams[upstreamID{service, ident.Upstream(group.GetPrimary())}]; u != nil && u.observed {
		l.outage[service] = u.contact
	}
}

func (l *Leader) promoted(now ident.Time, p *fleetpb.Promoted) {
	service := ident.Service(p.GetService())
	since, running := l.outage[service]
	delete(l.outage, service)
	if !running {
		l.record(now, KindPromoted, p.GetService()+"/"+p.GetUpstream(), fmt.Sprintf("primary under term %d", p.GetTerm()))
		return
	}
	gap := now.Sub(since)
	l.meter.Gap(now, gap)
	l.record(now, KindPromoted, p.GetService()+"/"+p.GetUpstream(),
		fmt.Sprintf("primary under term %d, %d ms after the last contact with the old one", p.GetTerm(), gap.Milliseconds()))
}

// Restored follows a snapshot that the Machine has just restored.
func (l *Leader) Restored(now ident.Time) []Action {
	l.lists = nil
	clear(l.outage)
	l.follow(now)
	return l.take()
}

// follow notices a new text, by a change or a restored snapshot.
func (l *Leader) follow(now ident.Time) {
	text := l.machine.Text()
	if text == l.text {
		return
	}
	before := map[string]bool{}
	for _, z := range l.text.GetZones() {
		before[z.GetName()] = z.GetOut()
	}
	for _, z := range text.GetZones() {
		if before[z.GetName()] == z.GetOut() {
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
