package control

import (
	"time"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Timing of the control leader.
const (
	// Lease is the time from its sync for which a host may serve.
	Lease = 2 * time.Second
	// longestAnnouncement bounds the lease of an announcement; a new leader takes members for alive for as long.
	longestAnnouncement = 10 * time.Second
	// proposalWait is the time after which a proposal that was not applied is made again.
	proposalWait = time.Second
	// forgetHost is the time after which a silent host is no longer listed.
	forgetHost = 10 * time.Minute
	// contactWait is the silence after which status counts a primary as unreachable: hosts report every 250 ms, and
	// observers take a primary for unreachable after 1 s.
	contactWait = 1500 * time.Millisecond
)

// Leadership is what the control log says about this control host's leadership.
type Leadership struct {
	// Leads is set while this host leads and has applied every change of earlier leaders.
	Leads bool
	// Since is when it became the leader; no earlier leader answers a host after it.
	Since ident.Time
	// NoLeaderSince is a time at or before Since from which no earlier leader was confirmed.
	NoLeaderSince ident.Time
	// Until is the time before which no other host can lead, by its last round of heartbeats that a majority confirmed.
	Until ident.Time
}

// LeaderOptions configure a Leader.
type LeaderOptions struct {
	Host    ident.Host
	Machine *Machine
	Meter   *burn.Meter
}

// Leader takes the decisions of the control leader that are kept in memory. Every control host has one, which follows
// the applied changes and decides only while it leads. Its methods are not safe for concurrent use, and none may overlap
// with a call to its Machine.
type Leader struct {
	host       ident.Host
	machine    *Machine
	meter      *burn.Meter
	leadership Leadership

	hosts map[ident.Host]*host
	// ghosts are leases of ended incarnations, which may not have noticed their end.
	ghosts    []ghost
	upstreams map[upstreamID]*upstream
	refusals  map[upstreamID]string
	proposed  map[string]ident.Time
	lists     *lists
	// matured is set once every lease that an earlier leader granted has ended.
	matured bool

	// version and text are those that the leader has followed.
	version ident.Version
	text    *fleetpb.Text
	// outage holds the groups without a primary.
	outage map[ident.Service]outage
	events ring
	// rejections are apart from events, so that a burst of them does not push out changes of state.
	rejections ring
	actions    []Action
}

// NewLeader returns a Leader that does not lead.
func NewLeader(options LeaderOptions) *Leader {
	l := &Leader{
		host:    options.Host,
		machine: options.Machine,
		meter:   options.Meter,
		outage:  map[ident.Service]outage{},
	}
	l.clear()
	return l
}

func (l *Leader) clear() {
	l.hosts = map[ident.Host]*host{}
	l.ghosts = nil
	l.upstreams = map[upstreamID]*upstream{}
	l.refusals = map[upstreamID]string{}
	l.proposed = map[string]ident.Time{}
	l.lists = nil
	l.matured = false
}

// SetLeadership takes over what the control log says. A new leadership starts without knowledge of hosts and upstreams.
func (l *Leader) SetLeadership(now ident.Time, leadership Leadership) []Action {
	before := l.leadership
	l.leadership = leadership
	switch {
	case leadership.Leads && (!before.Leads || before.Since != leadership.Since):
		l.clear()
		// Another leader may have counted since this host last led, so windows with a hole in them would mislead.
		l.meter.Restart(now)
		l.record(now, KindLeader, string(l.host), "took office")
	case !leadership.Leads && before.Leads:
		l.clear()
		l.record(now, KindLeader, string(l.host), "left office")
	}
	l.follow(now)
	return l.take()
}

// Tick lets time pass: leases end, and what is due is proposed.
func (l *Leader) Tick(now ident.Time) []Action {
	l.follow(now)
	if l.leadership.Leads {
		l.mature(now)
		l.expireHosts(now)
		l.expireUpstreams(now)
		l.decideEpoch(now)
	}
	return l.take()
}

// serving returns why this host must not answer hosts, or nil.
func (l *Leader) serving(now ident.Time) error {
	if !l.leadership.Leads {
		return &NotLeaderError{}
	}
	if now >= l.leadership.Until {
		return &UnconfirmedError{}
	}
	return nil
}

// mature notices that leases that an earlier leader granted have ended: they end at most one Lease after this host became
// the leader.
func (l *Leader) mature(now ident.Time) {
	if !l.matured && now >= l.leadership.Since.Add(Lease) {
		l.matured = true
		l.lists = nil
	}
}

// propose asks for a change once, and again when it was not applied in time; key names what it is about.
func (l *Leader) propose(now ident.Time, key string, change *fleetpb.Change) {
	if at, waiting := l.proposed[key]; waiting && now.Sub(at) < proposalWait {
		return
	}
	l.proposed[key] = now
	l.actions = append(l.actions, Propose{Change: change})
}

func (l *Leader) record(now ident.Time, kind Kind, subject, cause string) {
	event := Event{At: now, Kind: kind, Subject: subject, Cause: cause}
	l.actions = append(l.actions, Record{Event: event})
	l.events.add(event)
}

// take returns the collected actions.
func (l *Leader) take() []Action {
	actions := l.actions
	l.actions = nil
	return actions
}
