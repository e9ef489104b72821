package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Status reports for each service whether it is in the state that the text requires (met) and, if not, why. It also
// reports the hosts' versions.
func (l *Leader) Status(now ident.Time) *fleetpb.StatusResponse {
	response := &fleetpb.StatusResponse{
		TextVersion: uint64(l.machine.TextVersion()),
		Version:     uint64(l.machine.Version()),
		LeaderHost:  string(l.host),
		Source:      l.machine.Source(),
	}
	for _, s := range l.machine.Text().GetServices() {
		response.Services = append(response.Services, l.serviceStatus(now, s))
	}
	for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
		h := l.hosts[name]
		if h.stopped {
			continue
		}
		response.Hosts = append(response.Hosts, &fleetpb.HostStatus{
			Host:        string(name),
			Zone:        h.alive.GetZone(),
			Version:     uint64(h.known),
			TextVersion: uint64(h.textVersion),
			Current:     now < h.expires && h.textVersion == l.machine.TextVersion(),
			SilentMs:    uint64(now.Sub(h.lastSync) / time.Millisecond),
		})
	}
	return response
}

func (l *Leader) serviceStatus(now ident.Time, s *fleetpb.Service) *fleetpb.ServiceStatus {
	service := ident.Service(s.GetName())
	group := l.machine.Group(service)
	status := &fleetpb.ServiceStatus{Service: s.GetName(), Group: group}
	for _, member := range group.GetMembers() {
		if l.isAlive(now, upstreamID{service, ident.Upstream(member.GetUpstream())}) {
			status.Alive = append(status.Alive, member.GetUpstream())
		}
	}
	var reasons []string
	if reason := l.primaryProblem(now, s); reason != "" {
		reasons = append(reasons, reason)
	}
	reasons = append(reasons, l.dependencyProblems(now, s)...)
	reasons = append(reasons, l.memberProblems(now, s, group)...)
	reasons = append(reasons, l.hostProblems(now)...)
	status.Met = len(reasons) == 0
	status.Reason = strings.Join(reasons, "; ")
	return status
}

// primaryProblem returns why a service's primary cannot take writes, or "".
func (l *Leader) primaryProblem(now ident.Time, s *fleetpb.Service) string {
	service := ident.Service(s.GetName())
	group := l.machine.Group(service)
	if group.GetTerm() == 0 {
		return fmt.Sprintf("no primary yet, %d of %d upstreams are announced", l.countAnnounced(now, service), s.GetUpstreams())
	}
	if group.GetAttempt() > group.GetTerm() {
		alive, all := l.countAnnounced(now, service), max(int(s.GetUpstreams()), len(group.GetMembers()))
		reason := fmt.Sprintf("no primary, a promotion under term %d is running with %d of %d upstreams", group.GetAttempt(), alive, all)
		if needed := all/2 + 1; alive < needed {
			reason += fmt.Sprintf(" and waits for %d of them", needed)
		}
		return reason
	}
	member := MemberOf(group, group.GetPrimary())
	id := upstreamID{service, ident.Upstream(group.GetPrimary())}
	name := fmt.Sprintf("primary %s in zone %s", group.GetPrimary(), member.GetZone())
	u := l.upstreams[id]
	silent := time.Duration(0)
	if u != nil && u.observed {
		silent = now.Sub(u.lastContact)
	}
	switch {
	case u != nil && u.observed && u.refused:
		return name + " refuses connections"
	case silent >= contactTimeout:
		return fmt.Sprintf("%s has not answered for %d ms", name, silent.Milliseconds())
	case !l.isAlive(now, id) && (u == nil || !u.observed):
		return name + " is not announced"
	default:
		return ""
	}
}

func (l *Leader) countAnnounced(now ident.Time, service ident.Service) int {
	n := 0
	for id, u := range l.upstreams {
		if id.service == service && u.alive && now < u.expires && !u.member.GetLeaving() {
			n++
		}
	}
	return n
}

// dependencyProblems lists the services that a service needs, directly or not, and that cannot take writes.
func (l *Leader) dependencyProblems(now ident.Time, s *fleetpb.Service) []string {
	var problems []string
	visited := map[string]bool{s.GetName(): true}
	var visit func(names []string, through string)
	visit = func(names []string, through string) {
		for _, name := range names {
			needed := l.machine.service(name)
			if visited[name] || needed == nil {
				continue
			}
			visited[name] = true
			if reason := l.primaryProblem(now, needed); reason != "" {
				problems = append(problems, fmt.Sprintf("needs %s%s: %s", name, through, reason))
			}
			visit(needed.GetNeeds(), " (through "+name+")")
		}
	}
	visit(s.GetNeeds(), "")
	return problems
}

// memberProblems lists the upstreams that are missing or leaving, and a primary whose zone is out of service. Other
// upstreams in such a zone may be missing.
func (l *Leader) memberProblems(now ident.Time, s *fleetpb.Service, group *fleetpb.Group) []string {
	var problems []string
	service := ident.Service(s.GetName())
	for _, member := range group.GetMembers() {
		name := fmt.Sprintf("upstream %s in zone %s", member.GetUpstream(), member.GetZone())
		primary := member.GetUpstream() == group.GetPrimary()
		out := l.zoneOut(member.GetZone())
		switch {
		case primary && out:
			problems = append(problems, name+" is still primary though its zone is out of service")
		case primary && member.GetLeaving():
			problems = append(problems, name+" is still primary though it is leaving")
		case out:
		case member.GetLeaving():
			problems = append(problems, name+" is leaving")
		case !l.isAlive(now, upstreamID{service, ident.Upstream(member.GetUpstream())}):
			problems = append(problems, name+" is not announced")
		}
	}
	if missing := int(s.GetUpstreams()) - len(group.GetMembers()); missing > 0 && group.GetTerm() > 0 {
		problems = append(problems, fmt.Sprintf("%d of %d upstreams have not joined", missing, s.GetUpstreams()))
	}
	return problems
}

// hostProblems lists the hosts that may still serve by an older text.
func (l *Leader) hostProblems(now ident.Time) []string {
	var behind []string
	for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
		h := l.hosts[name]
		if now < h.expires && h.textVersion < l.machine.TextVersion() {
			behind = append(behind, string(name))
		}
	}
	if !l.earlierLeasesEnded && l.leadership.Leads {
		return []string{"the leader is new and does not know yet which hosts are alive"}
	}
	if len(behind) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("version %d of the text has not reached host %s", l.machine.TextVersion(), strings.Join(behind, ", "))}
}

// Explain returns the recent events about a subject, oldest first; an empty subject selects all events. On the
// leader, the result ends with the reasons why services are not met, as far as they concern the subject.
func (l *Leader) Explain(now ident.Time, subject string) []Event {
	found := append(l.events.find(subject), l.rejections.find(subject)...)
	for _, s := range l.machine.Text().GetServices() {
		if !l.leadership.Leads {
			break
		}
		status := l.serviceStatus(now, s)
		event := Event{At: now, Kind: KindStatus, Subject: s.GetName(), Cause: "not met: " + status.GetReason()}
		if !status.GetMet() && concerns(event, subject) {
			found = append(found, event)
		}
	}
	slices.SortStableFunc(found, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return found
}

// concerns reports whether a subject is the event's kind or subject, or a whole name within its subject or cause.
func concerns(event Event, subject string) bool {
	if subject == "" || event.Subject == subject || event.Kind.String() == subject {
		return true
	}
	if slices.Contains(strings.Split(event.Subject, "/"), subject) {
		return true
	}
	return slices.Contains(strings.FieldsFunc(event.Cause, func(r rune) bool { return strings.ContainsRune(" ,:;", r) }), subject)
}

// Meter returns the meter of the service levels. Like the Leader, it is not safe for concurrent use.
func (l *Leader) Meter() *burn.Meter {
	return l.meter
}

// Report returns the service levels and the request counts of each team, summed over the hosts that this leader
// knows.
func (l *Leader) Report(now ident.Time) string {
	var b strings.Builder
	b.WriteString(l.meter.Report(now))
	b.WriteString("\n")
	b.WriteString(teamTable(l.totals()))
	return b.String()
}
