package group

import (
	"math"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// confirmationMaxAge is the time for which a confirmation of the primary is valid.
	confirmationMaxAge = 2 * time.Second
	// reachableTimeout is the time after its last answer for which an upstream counts as reachable.
	reachableTimeout = time.Second
	// unknownAge is reported for data whose age is unknown.
	unknownAge = time.Duration(math.MaxInt64)
)

// Config is the part of the control state against which majorities are counted.
type Config struct {
	Members []ident.Upstream
	// Size is the member count of the configuration.
	Size    int
	Term    ident.Term
	Primary ident.Upstream
	// Base is the last record of the primary before its promotion.
	Base ident.Position
}

// Report is a State or a Failed.
type Report interface {
	report()
}

// Row is a row of pg_stat_replication: the positions of a replica under the term of its replication stream.
type Row struct {
	Upstream      ident.Upstream
	Term          ident.Term
	Flush, Replay ident.LSN
	// Age is the time since the replica's data was current.
	Age time.Duration
}

type (
	// State is the answer of an upstream to a query that was sent at the time Sent.
	State struct {
		Upstream ident.Upstream
		Sent     ident.Time
		Primary  bool
		// Following is set on a replica whose replication stream runs.
		Following bool
		Term      ident.Term
		// Last is the position of the last record, with the term of that record.
		Last ident.Position
		// Rows are the replicas of a primary.
		Rows []Row
	}
	// Failed reports that an upstream could not be reached.
	Failed struct {
		Upstream ident.Upstream
		// Refused is set when the connection was refused.
		Refused bool
	}
)

func (State) report()  {}
func (Failed) report() {}

// Held describes the data that one member holds under the current term.
type Held struct {
	Upstream ident.Upstream
	// Position of the data that a read on the member sees; zero when it does not follow under the current term.
	Position ident.Position
	// Age is the time since the data was current; very large when unknown.
	Age       time.Duration
	Reachable bool
}

// Positions is an observer's view of a group at one point in time.
type Positions struct {
	Term    ident.Term
	Primary ident.Upstream
	// Held has one entry for each member, in the order of the configuration.
	Held []Held
	// Majority is the highest position that a majority holds under the term.
	Majority ident.Position
	// Base is the last record of the primary before its promotion.
	Base ident.Position
	// Current is the last known position of the primary. It covers every write that was acknowledged before KnownAt.
	Current ident.Position
	KnownAt ident.Time
	// Confirmed is set if a majority of the members, the primary among them, has answered queries that were sent at or after
	// KnownAt without a later term, the primary reports its role under the current term, and KnownAt is at most
	// confirmationMaxAge ago.
	Confirmed bool
}

// member is the state of one upstream as the observer knows it.
type member struct {
	hasState   bool
	addedAt    ident.Time
	lastAnswer ident.Time
	refused    bool
	state      State
	flush      ident.LSN
	replay     ident.LSN
	// currentAt is the latest time at which the data is known to have been current, from the primary's rows.
	currentAt ident.Time
	ageKnown  bool
	// noLaterTerm is set if the last answer had no later term than the configuration. confirmedAt is the time at which the
	// query of the latest such answer was sent.
	confirmedAt ident.Time
	noLaterTerm bool
}

// Group tracks the state of one database group for one observer. It is not safe for concurrent use.
type Group struct {
	service ident.Service
	config  Config
	members map[ident.Upstream]*member
}

// New returns a Group without members; Configure sets them.
func New(service ident.Service) *Group {
	return &Group{service: service, members: map[ident.Upstream]*member{}}
}

// Configure applies a change of the control state. A new term resets the positions that members held under the old one.
func (g *Group) Configure(now ident.Time, config Config) {
	config.Members = slices.Clone(config.Members)
	members := map[ident.Upstream]*member{}
	for _, u := range config.Members {
		m := g.members[u]
		if m == nil {
			m = &member{addedAt: now}
		}
		if config.Term != g.config.Term {
			m.flush, m.replay, m.ageKnown, m.noLaterTerm = 0, 0, false, false
		}
		members[u] = m
	}
	g.members, g.config = members, config
}

// Report records an answer or a failure of an upstream.
func (g *Group) Report(now ident.Time, report Report) {
	switch r := report.(type) {
	case State:
		g.handleState(now, r)
	case Failed:
		if m := g.members[r.Upstream]; m != nil {
			m.refused = r.Refused
		}
	}
}

func (g *Group) handleState(now ident.Time, r State) {
	m := g.members[r.Upstream]
	if m == nil {
		return
	}
	rows := r.Rows
	r.Rows = nil
	m.hasState, m.lastAnswer, m.refused, m.state = true, now, false, r
	if r.Term > g.config.Term {
		m.noLaterTerm = false
		return
	}
	m.noLaterTerm, m.confirmedAt = true, r.Sent
	if r.Term != g.config.Term {
		return
	}
	if r.Following {
		m.flush, m.replay = max(m.flush, r.Last.LSN), max(m.replay, r.Last.LSN)
	}
	if !r.Primary || r.Upstream != g.config.Primary {
		return
	}
	m.flush, m.replay = max(m.flush, r.Last.LSN), max(m.replay, r.Last.LSN)
	for _, row := range rows {
		g.handleRow(r.Sent, row)
	}
}

// handleRow records the primary's report on a replica. The age is counted from the time of the query, so the network delay
// of the answer is included.
func (g *Group) handleRow(sent ident.Time, row Row) {
	m := g.members[row.Upstream]
	if m == nil || row.Term != g.config.Term || row.Upstream == g.config.Primary {
		return
	}
	m.flush, m.replay = max(m.flush, row.Flush), max(m.replay, row.Replay)
	if current := sent.Add(-row.Age); !m.ageKnown || current > m.currentAt {
		m.currentAt, m.ageKnown = current, true
	}
}

// majority returns the number of members that form a majority.
func (g *Group) majority() int {
	return max(g.config.Size, len(g.config.Members))/2 + 1
}

// Positions returns the observer's view of the group at the given time.
func (g *Group) Positions(now ident.Time) Positions {
	p := Positions{Term: g.config.Term, Primary: g.config.Primary, Base: g.config.Base}
	var flushed []ident.LSN
	var confirmations []ident.Time
	for _, u := range g.config.Members {
		m := g.members[u]
		p.Held = append(p.Held, g.held(now, u, m))
		if m.flush > 0 {
			flushed = append(flushed, m.flush)
		}
		if m.noLaterTerm {
			confirmations = append(confirmations, m.confirmedAt)
		}
	}
	if n := g.majority(); len(flushed) >= n && g.config.Term > 0 {
		slices.Sort(flushed)
		p.Majority = ident.Position{Term: g.config.Term, LSN: flushed[len(flushed)-n]}
	}
	primary := g.members[g.config.Primary]
	if primary == nil || primary.flush == 0 {
		return p
	}
	p.Current = ident.Position{Term: g.config.Term, LSN: primary.flush}
	if n := g.majority(); len(confirmations) >= n && primary.noLaterTerm && primary.state.Primary && primary.state.Term == g.config.Term {
		slices.Sort(confirmations)
		p.KnownAt = min(primary.confirmedAt, confirmations[len(confirmations)-n])
		p.Confirmed = now.Sub(p.KnownAt) <= confirmationMaxAge
	}
	return p
}

func (g *Group) held(now ident.Time, u ident.Upstream, m *member) Held {
	h := Held{Upstream: u, Age: unknownAge, Reachable: m.hasState && !m.refused && now.Sub(m.lastAnswer) < reachableTimeout}
	if m.replay > 0 {
		h.Position = ident.Position{Term: g.config.Term, LSN: m.replay}
	}
	switch {
	case u == g.config.Primary:
		h.Age = 0
	case m.ageKnown:
		h.Age = max(0, now.Sub(m.currentAt))
	}
	return h
}

// Holds reports whether a majority holds the record at a position, so that no promotion can lose it. A record of Base's
// term up to Base counts once a majority holds a record of the current term after Base.
func (p Positions) Holds(record ident.Position) bool {
	if p.Majority.Term != p.Term || p.Term == 0 {
		return false
	}
	if record.Term == p.Term {
		return p.Majority.LSN >= record.LSN
	}
	return record.Term == p.Base.Term && record.LSN <= p.Base.LSN && p.Majority.LSN > p.Base.LSN
}

// Acknowledged returns the position that reads of a session must cover once the write of a record is acknowledged, and whether
// a majority holds the record. The position has the current term even if the record has an older one: a primary between the
// two terms that was never recorded may have had replicas without the record.
func (p Positions) Acknowledged(record ident.Position) (ident.Position, bool) {
	if !p.Holds(record) {
		return ident.Position{}, false
	}
	return ident.Position{Term: p.Term, LSN: record.LSN}, true
}

// Lost reports whether Holds can never confirm the record at a position: it has an older term than the current one and is
// not a record of Base's term up to Base.
func (p Positions) Lost(record ident.Position) bool {
	return record.Term < p.Term && (record.Term != p.Base.Term || record.LSN > p.Base.LSN)
}

// Observed returns the observations for the next sync, in the order of the configuration.
func (g *Group) Observed(now ident.Time) []*fleetpb.Observed {
	var all []*fleetpb.Observed
	for _, u := range g.config.Members {
		m := g.members[u]
		silent := now.Sub(m.addedAt)
		if m.hasState {
			silent = now.Sub(m.lastAnswer)
		}
		all = append(all, &fleetpb.Observed{
			Service: string(g.service), Upstream: string(u),
			SilentMs: uint64(max(0, silent).Milliseconds()), Refused: m.refused,
			Primary: m.state.Primary, Following: m.state.Following, Term: uint64(m.state.Term),
			Position: &fleetpb.Position{Term: uint64(m.state.Last.Term), Lsn: uint64(m.state.Last.LSN)},
		})
	}
	return all
}

// Response converts the positions to the message that hosts exchange.
func (p Positions) Response(service ident.Service, now ident.Time) *fleetpb.PositionsResponse {
	knownMs := uint64(math.MaxUint32)
	if p.Confirmed {
		knownMs = uint64(now.Sub(p.KnownAt).Milliseconds())
	}
	r := &fleetpb.PositionsResponse{
		Service: string(service), Term: uint64(p.Term), Primary: string(p.Primary),
		Majority: positionMessage(p.Majority), Base: positionMessage(p.Base), Current: positionMessage(p.Current), Confirmed: p.Confirmed, KnownMs: knownMs,
	}
	for _, h := range p.Held {
		r.Held = append(r.Held, &fleetpb.Held{
			Upstream: string(h.Upstream), Position: positionMessage(h.Position), AgeMs: uint64(h.Age.Milliseconds()), Reachable: h.Reachable,
		})
	}
	return r
}

func positionMessage(p ident.Position) *fleetpb.Position {
	return &fleetpb.Position{Term: uint64(p.Term), Lsn: uint64(p.LSN)}
}

// PositionsOf converts a message of another host; the result has no Held and no KnownAt.
func PositionsOf(r *fleetpb.PositionsResponse) Positions {
	return Positions{
		Term: ident.Term(r.GetTerm()), Primary: ident.Upstream(r.GetPrimary()), Confirmed: r.GetConfirmed(),
		Majority: positionOf(r.GetMajority()), Base: positionOf(r.GetBase()), Current: positionOf(r.GetCurrent()),
	}
}

func positionOf(p *fleetpb.Position) ident.Position {
	return ident.Position{Term: ident.Term(p.GetTerm()), LSN: ident.LSN(p.GetLsn())}
}
