package routing

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/route"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/entry"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/tracker"
)

const (
	// avoidPeriod is how long this host sends no reads to a replica that failed; observers detect the failure within that time.
	avoidPeriod = 500 * time.Millisecond
	// maxReportAge is the age from which a report no longer confirms a primary; it equals the lease of hosts.
	maxReportAge = 2 * time.Second
	// busyThreshold is the number of outstanding statements from which reads prefer a replica in another zone.
	busyThreshold = 8
	// maxWait is the longest single wait, so that a change without a notification is also noticed.
	maxWait = 20 * time.Millisecond
)

// Positions looks up the write positions of sessions.
type Positions interface {
	// Position returns the position of the session's last write, or false if none of the hosts that store it reported it.
	Position(ctx context.Context, session ident.Session) (ident.Position, bool)
}

// Load provides this host's outstanding work at upstreams.
type Load interface {
	// Outstanding returns the number of statements that are queued or running.
	Outstanding(target member.Target) int
}

// Options configure a Routing.
type Options struct {
	Clock     *clock.Clock
	View      func() *member.View
	Changed   func() <-chan struct{}
	Tracker   *tracker.Tracker
	Positions Positions
	Load      Load
	Zone      ident.Zone
	Region    ident.Region
}

// Routing chooses upstreams for the statements of one host.
type Routing struct {
	opts Options
	// turn counts statements, to select between equal replicas in turn.
	turn  atomic.Uint64
	mutex sync.Mutex
	// failed holds the time of the last failure of each upstream, as recorded by Avoid.
	failed map[member.Target]ident.Time
}

// New returns a Routing without failed replicas.
func New(opts Options) *Routing {
	return &Routing{opts: opts, failed: make(map[member.Target]ident.Time)}
}

// rejectedError is the error of a statement for which no upstream was found.
type rejectedError struct {
	service ident.Service
	cause   route.Cause
}

func (e *rejectedError) Error() string {
	return fmt.Sprintf("no upstream of service %q: %s", e.service, e.cause)
}

// Read returns a replica whose position covers the session's writes, or else the primary.
func (r *Routing) Read(ctx context.Context, session ident.Session) (entry.Choice, error) {
	need := r.baseNeed(ctx, session.Service)
	position, known := r.opts.Positions.Position(ctx, session)
	if !known {
		need.Primary = true
		need.Cause = route.CauseUnknownPosition
	}
	need.Position = position
	return r.choose(ctx, session.Service, need)
}

// Primary returns the service's primary, which its group must confirm under the current term.
func (r *Routing) Primary(ctx context.Context, service ident.Service) (entry.Choice, error) {
	need := r.baseNeed(ctx, service)
	need.Primary = true
	need.Cause = route.CauseWrite
	return r.choose(ctx, service, need)
}

// Avoid makes reads avoid a replica that has just failed, for avoidPeriod.
func (r *Routing) Avoid(target member.Target) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failed[target] = r.opts.Clock.Now()
}

// baseNeed returns the requirements that do not depend on the kind of statement.
func (r *Routing) baseNeed(ctx context.Context, service ident.Service) route.Need {
	now := r.opts.Clock.Now()
	need := route.Need{
		MaxAge:        r.opts.View().Services[service].GetAge().AsDuration(),
		Zone:          r.opts.Zone,
		Region:        r.opts.Region,
		Since:         now,
		Deadline:      now.Add(time.Minute),
		BusyThreshold: busyThreshold,
		Turn:          r.turn.Add(1),
	}
	if deadline, ok := ctx.Deadline(); ok {
		need.Deadline = now.Add(time.Until(deadline))
	}
	return need
}

// choose waits until route.Choose selects an upstream or rejects the statement.
func (r *Routing) choose(ctx context.Context, service ident.Service, need route.Need) (entry.Choice, error) {
	for {
		changed := r.opts.Changed()
		next := r.opts.Tracker.NextReport(service)
		report, err := r.opts.Tracker.Latest(ctx, service)
		if err != nil {
			return entry.Choice{}, trace.Wrap(sqlstate.New(sqlstate.NoPrimary, &rejectedError{service, route.CauseUnconfirmed}))
		}
		now := r.opts.Clock.Now()
		group := r.group(now, service, report)
		switch d := route.Choose(now, need, group).(type) {
		case route.ToReplica:
			return entry.Choice{Target: member.Target{Service: service, Upstream: d.Upstream}, Replica: true}, nil
		case route.ToPrimary:
			return entry.Choice{Target: member.Target{Service: service, Upstream: d.Upstream}}, nil
		case route.Reject:
			return entry.Choice{}, trace.Wrap(sqlstate.New(sqlstate.NoPrimary, &rejectedError{service, d.Cause}))
		case route.Wait:
			if ctx.Err() != nil {
				// Every further wait would return at once, which would be a busy loop until the statement's deadline.
				return entry.Choice{}, trace.Wrap(sqlstate.New(sqlstate.NoPrimary, &rejectedError{service, d.Cause}))
			}
			wait(ctx, min(maxWait, d.Until.Sub(now)), changed, next)
		}
	}
}

// wait returns after the duration longest, at a change or report, or when the context ends.
func wait(ctx context.Context, longest time.Duration, changed, next <-chan struct{}) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-next:
	case <-ctx.Done():
	}
}

// group combines the control state with the last report of the observers. If the control state has a later term than the
// report, its primary is used and counts as unconfirmed.
func (r *Routing) group(now ident.Time, service ident.Service, report tracker.Report) route.Group {
	view := r.opts.View()
	state := view.Groups[service]
	group := route.Group{
		Term:      ident.Term(report.GetTerm()),
		Primary:   ident.Upstream(report.GetPrimary()),
		Confirmed: report.GetConfirmed() && now.Sub(report.RequestedAt) < maxReportAge,
	}
	if ident.Term(state.GetTerm()) > group.Term {
		group.Term = ident.Term(state.GetTerm())
		group.Primary = ident.Upstream(state.GetPrimary())
		group.Confirmed = false
	}
	for _, m := range state.GetMembers() {
		group.Members = append(group.Members, r.candidate(now, view, service, m, report))
	}
	return group
}

// candidate returns a member of the group with its position according to the report.
func (r *Routing) candidate(now ident.Time, view *member.View, service ident.Service, m *fleetpb.Member, report tracker.Report) route.Candidate {
	target := member.Target{Service: service, Upstream: ident.Upstream(m.GetUpstream())}
	c := route.Candidate{
		Upstream:    target.Upstream,
		Zone:        ident.Zone(m.GetZone()),
		Region:      ident.Region(m.GetRegion()),
		Announced:   view.Announced[target],
		Leaving:     m.GetLeaving(),
		ZoneOut:     view.ZonesOut[ident.Zone(m.GetZone())],
		Outstanding: r.opts.Load.Outstanding(target),
	}
	for _, held := range report.GetHeld() {
		if held.GetUpstream() != m.GetUpstream() {
			continue
		}
		position := held.GetPosition()
		c.Position = ident.Position{Term: ident.Term(position.GetTerm()), LSN: ident.LSN(position.GetLsn())}
		c.Age = time.Duration(held.GetAgeMs())*time.Millisecond + now.Sub(report.RequestedAt)
		c.Reachable = held.GetReachable() && !r.avoided(target, now, report.GetPrimary())
	}
	return c
}

// avoided reports whether a replica failed within avoidPeriod. The primary is never avoided, since no other upstream can
// replace it.
func (r *Routing) avoided(target member.Target, now ident.Time, primary string) bool {
	if string(target.Upstream) == primary {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at, failed := r.failed[target]
	if !failed {
		return false
	}
	if now.Sub(at) > avoidPeriod {
		delete(r.failed, target)
		return false
	}
	return true
}
