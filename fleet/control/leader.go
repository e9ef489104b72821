package control

import (
	"maps"
	"time"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Timing of the control leader.
const (
	// Lease is how long a host may serve after it has sent a sync.
	Lease = 2 * time.Second
	// maxAnnouncementLease limits the lease of an announcement. A new leader assumes for this long that members are
	// alive.
	maxAnnouncementLease = 10 * time.Second
	// proposalTimeout is the time after which a proposal that was not applied is repeated.
	proposalTimeout = time.Second
	// hostRetention is the time since its last sync after which a host is no longer listed.
	hostRetention = 10 * time.Minute
	// contactTimeout is the time without an answer after which Status reports a primary as unreachable. Hosts report
	// every 250 ms, and observers treat a primary as unreachable after 1 s.
	contactTimeout = 1500 * time.Millisecond
)

// Leadership is the state of this control host's leadership, as given by the control log.
type Leadership struct {
	// Leads is set while this host leads and has applied every change of earlier leaders.
	Leads bool
	// Since is when this host became the leader; no earlier leader answers a host after that time.
	Since ident.Time
	// NoLeaderSince is a time at or before Since. No earlier leader was confirmed from then on.
	NoLeaderSince ident.Time
	// Until is the time before which no other host can lead. It follows from the last round of heartbeats that a
	// majority confirmed.
	Until ident.Time
}

// LeaderOptions configure a Leader.
type LeaderOptions struct {
	Host    ident.Host
	Machine *Machine
	Meter   *burn.Meter
}

// Leader makes those decisions of the control leader whose state is kept in memory only. Every control host has one, which
// follows the applied changes but decides only while the host leads. Its methods are not safe for concurrent use, and
// none may overlap with a call to its Machine.
type Leader struct {
	host       ident.Host
	machine    *Machine
	meter      *burn.Meter
	leadership Leadership

	hosts map[ident.Host]*host
	// replacedLeases are the leases of replaced incarnations, which may not have noticed yet that they were replaced.
	replacedLeases []replacedLease
	upstreams      map[upstreamID]*upstream
	refusals       map[upstreamID]string
	proposed       map[string]ident.Time
	lists          *lists
	// earlierLeasesEnded is set once every lease that an earlier leader granted has ended.
	earlierLeasesEnded bool

	// version and text are those of the Machine when updateFromMachine last ran.
	version ident.Version
	text    *fleetpb.Text
	// outages holds the services whose group has no primary.
	outages map[ident.Service]outage
	events  eventRing
	// rejections is separate from events, so that a burst of rejections does not displace changes of state.
	rejections eventRing
	actions    []Action
}

// NewLeader returns a Leader that does not lead.
func NewLeader(options LeaderOptions) *Leader {
	l := &Leader{
		host:    options.Host,
		machine: options.Machine,
		meter:   options.Meter,
		outages: map[ident.Service]outage{},
	}
	l.clear()
	return l
}

func (l *Leader) clear() {
	l.hosts = map[ident.Host]*host{}
	l.replacedLeases = nil
	l.upstreams = map[upstreamID]*upstream{}
	l.refusals = map[upstreamID]string{}
	l.proposed = map[string]ident.Time{}
	l.lists = nil
	l.earlierLeasesEnded = false
}

// SetLeadership sets the leadership as given by the control log. A new leadership starts without records of hosts and
// upstreams.
func (l *Leader) SetLeadership(now ident.Time, leadership Leadership) []Action {
	before := l.leadership
	l.leadership = leadership
	switch {
	case leadership.Leads && (!before.Leads || before.Since != leadership.Since):
		l.clear()
		// Another leader may have counted since this host last led, so the windows would have a gap.
		l.meter.Restart(now)
		l.record(now, KindLeader, string(l.host), "took office")
	case !leadership.Leads && before.Leads:
		l.clear()
		l.record(now, KindLeader, string(l.host), "left office")
	}
	l.updateFromMachine(now)
	return l.takeActions()
}

// Tick ends the leases and announcements that have expired, and proposes the changes that are due.
func (l *Leader) Tick(now ident.Time) []Action {
	l.updateFromMachine(now)
	if l.leadership.Leads {
		l.checkEarlierLeases(now)
		l.expireHosts(now)
		l.expireUpstreams(now)
		l.decideEpoch(now)
		l.forgetProposals(now)
	}
	return l.takeActions()
}

// checkServing returns an error if this host must not answer hosts.
func (l *Leader) checkServing(now ident.Time) error {
	if !l.leadership.Leads {
		return &NotLeaderError{}
	}
	if now >= l.leadership.Until {
		return &UnconfirmedError{}
	}
	return nil
}

// checkEarlierLeases sets earlierLeasesEnded once the leases granted by earlier leaders have ended, at most one Lease
// after this host became the leader.
func (l *Leader) checkEarlierLeases(now ident.Time) {
	if !l.earlierLeasesEnded && now >= l.leadership.Since.Add(Lease) {
		l.earlierLeasesEnded = true
		l.lists = nil
	}
}

// propose proposes a change, identified by key. Further calls with the same key have no effect for proposalTimeout, and
// after that propose the change again.
func (l *Leader) propose(now ident.Time, key string, change *fleetpb.Change) {
	if at, waiting := l.proposed[key]; waiting && now.Sub(at) < proposalTimeout {
		return
	}
	l.proposed[key] = now
	l.actions = append(l.actions, Propose{Change: change})
}

// forgetProposals drops the proposals that may be repeated.
func (l *Leader) forgetProposals(now ident.Time) {
	maps.DeleteFunc(l.proposed, func(_ string, at ident.Time) bool { return now.Sub(at) >= proposalTimeout })
}

func (l *Leader) record(now ident.Time, kind Kind, subject, cause string) {
	event := Event{At: now, Kind: kind, Subject: subject, Cause: cause}
	l.actions = append(l.actions, Record{Event: event})
	l.events.add(event)
}

// takeActions returns the collected actions and clears them.
func (l *Leader) takeActions() []Action {
	actions := l.actions
	l.actions = nil
	return actions
}
