package failover

import (
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Event is an input of a Group; it is one of the types below.
type Event interface {
	event()
}

// Member is an upstream that belongs to a group or is announced for it.
type Member struct {
	Upstream ident.Upstream
	Address  string
	Zone     ident.Zone
	Region   ident.Region
	Leaving  bool
}

// State is the state that an upstream reports about itself.
type State struct {
	Primary bool
	// Following is set on a replica whose replication stream runs.
	Following bool
	// Term is the highest term under which the upstream was fenced, promoted or instructed to follow.
	Term ident.Term
	// Last is the position of its last record, with the term of that record.
	Last ident.Position
}

// Kind is the type of action that an Answer belongs to.
type Kind int

// Kinds of answers.
const (
	KindFence Kind = iota
	KindDrain
	KindQuery
	KindPromote
	KindFollow
)

//go:generate enumer -type Kind -trimprefix Kind -transform lower

type (
	// Control is the control state of the group. It is passed at the start and after each change.
	Control struct {
		// Members are sorted by name.
		Members []Member
		// Size is the member count of the configuration.
		Size    int
		Term    ident.Term
		Primary ident.Upstream
		// Attempt is the highest reserved term.
		Attempt ident.Term
		// ObserverZones is the number of availability zones with hosts that observe the group; 0 means three.
		ObserverZones int
	}
	// Observed is the report of one observer, a host that watches the group, on one upstream.
	Observed struct {
		Host     ident.Host
		Zone     ident.Zone
		Upstream ident.Upstream
		// Silent is the time since the last answer; Refused is set when connections are refused.
		Silent  time.Duration
		Refused bool
		State   State
	}
	// Announced is an announcement of an upstream, valid for its lease.
	Announced struct {
		Member Member
		Lease  time.Duration
	}
	// Zones lists the availability zones that are out of service.
	Zones struct {
		Out []ident.Zone
	}
	// AttemptCommitted reports that the log holds the reservation of a term that this Group proposed.
	AttemptCommitted struct {
		Term ident.Term
	}
	// PromotionCommitted reports that the log holds the primary of a term that this Group proposed.
	PromotionCommitted struct {
		Term     ident.Term
		Upstream ident.Upstream
	}
	// Answer is the answer of an upstream to an action, or its failure when Failure is not empty.
	Answer struct {
		Kind     Kind
		Upstream ident.Upstream
		// Term is the term of the action; it is 0 for queries.
		Term    ident.Term
		Failure string
		State   State
	}
	// Tick reports only that time has passed.
	Tick struct{}
)

func (Control) event()            {}
func (Observed) event()           {}
func (Announced) event()          {}
func (Zones) event()              {}
func (AttemptCommitted) event()   {}
func (PromotionCommitted) event() {}
func (Answer) event()             {}
func (Tick) event()               {}

// ControlOf converts a group of the control state; size is the member count of the configuration.
func ControlOf(g *fleetpb.Group, size, observerZones int) Control {
	c := Control{
		Size: size, ObserverZones: observerZones,
		Term: ident.Term(g.GetTerm()), Primary: ident.Upstream(g.GetPrimary()), Attempt: ident.Term(g.GetAttempt()),
	}
	for _, m := range g.GetMembers() {
		c.Members = append(c.Members, MemberOf(m))
	}
	return c
}

// MemberOf converts a member of the control state or of an announcement.
func MemberOf(m *fleetpb.Member) Member {
	return Member{
		Upstream: ident.Upstream(m.GetUpstream()), Address: m.GetAddress(),
		Zone: ident.Zone(m.GetZone()), Region: ident.Region(m.GetRegion()), Leaving: m.GetLeaving(),
	}
}

// ObservedOf converts an observation that a host in the zone sent with its sync.
func ObservedOf(host ident.Host, zone ident.Zone, o *fleetpb.Observed) Observed {
	return Observed{
		Host: host, Zone: zone, Upstream: ident.Upstream(o.GetUpstream()),
		Silent: time.Duration(o.GetSilentMs()) * time.Millisecond, Refused: o.GetRefused(),
		State: State{
			Primary: o.GetPrimary(), Following: o.GetFollowing(), Term: ident.Term(o.GetTerm()),
			Last: ident.Position{Term: ident.Term(o.GetPosition().GetTerm()), LSN: ident.LSN(o.GetPosition().GetLsn())},
		},
	}
}
