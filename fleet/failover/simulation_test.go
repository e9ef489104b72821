package failover_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tamarackshunt.dev/fleet/failover"
	"tamarackshunt.dev/fleet/ident"
)

const (
	tick      = 50 * time.Millisecond
	drainTime = 200 * time.Millisecond
)

type record struct {
	position ident.Position
	write    int
}

// upstream is a database of the simulated group.
type upstream struct {
	member    failover.Member
	state     failover.State
	draining  bool
	log       []record
	announced bool
	// A down upstream refuses connections; an isolated one neither receives nor sends messages.
	down, isolated, replicationPaused bool
}

func (u *upstream) appendRecord(term ident.Term, write int) {
	p := ident.Position{Term: term, LSN: u.state.Last.LSN + 10}
	u.log = append(u.log, record{p, write})
	u.state.Last = p
}

// restart resets the role. The log and the term survive, as they do in the record file of an upstream.
func (u *upstream) restart() {
	u.state.Primary, u.state.Following, u.draining = false, false, false
}

func (u *upstream) holds(write int) bool {
	return slices.ContainsFunc(u.log, func(r record) bool { return r.write == write })
}

// simulation runs one Group against simulated upstreams, observers, a control log and one writer, and records a transcript.
type simulation struct {
	transcript       strings.Builder
	group            *failover.Group
	now              ident.Time
	control          failover.Control
	upstreams        map[ident.Upstream]*upstream
	acknowledged     []int
	pendingWrite     int // The write in progress, or 0.
	lastWrite        int
	retries          int
	unknown          int
	drainingUpstream ident.Upstream // The upstream that finishes its transactions until drainEnd.
	drainTerm        ident.Term
	drainEnd         ident.Time
	dropProposals    bool // The control log loses proposals.
}

func newSimulation(title string, names ...ident.Upstream) *simulation {
	s := &simulation{
		group:     failover.New(failover.Options{Service: "ledger", Seed: 1}),
		upstreams: map[ident.Upstream]*upstream{},
		control:   failover.Control{Size: 3},
	}
	fmt.Fprintln(&s.transcript, title)
	for i, n := range names {
		s.announce(n, ident.Zone(fmt.Sprintf("z%d", i+1)))
	}
	s.step(s.control)
	s.run(time.Second)
	return s
}

func (s *simulation) announce(name ident.Upstream, zone ident.Zone) *upstream {
	u := &upstream{member: failover.Member{Upstream: name, Address: string(name) + ":5432", Zone: zone}, announced: true}
	s.upstreams[name] = u
	return u
}

func (s *simulation) logf(format string, args ...any) {
	fmt.Fprintf(&s.transcript, "%6dms  %s\n", time.Duration(s.now).Milliseconds(), fmt.Sprintf(format, args...))
}

// finishDrain sends the answer to a drain once the running transactions have finished.
func (s *simulation) finishDrain() {
	if s.drainingUpstream != "" && s.now >= s.drainEnd {
		s.request(failover.KindDrain, s.drainingUpstream, s.drainTerm, func(*upstream) {})
		s.drainingUpstream = ""
	}
}

// run advances the time. Each tick has announcements, replication, one write attempt and observations.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; {
		s.now = s.now.Add(tick)
		for _, n := range s.names() {
			u := s.upstreams[n]
			if u.announced && !u.down && !u.isolated {
				s.step(failover.Announced{Member: u.member, Lease: 3 * time.Second})
			}
			s.replicate(u)
		}
		s.finishDrain()
		s.tryWrite()
		for i := range 3 {
			for _, n := range s.names() {
				s.observe(ident.Host(fmt.Sprintf("h%d", i+1)), ident.Zone(fmt.Sprintf("z%d", i+1)), s.upstreams[n])
			}
		}
		s.step(failover.Tick{})
	}
}

func (s *simulation) names() []ident.Upstream {
	var all []ident.Upstream
	for n := range s.upstreams {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

func (s *simulation) observe(h ident.Host, z ident.Zone, u *upstream) {
	o := failover.Observed{Host: h, Zone: z, Upstream: u.member.Upstream, State: u.state, Refused: u.down}
	if u.isolated {
		o.Silent = 1500 * time.Millisecond
	}
	s.step(o)
}

func (s *simulation) replicate(u *upstream) {
	p := s.upstreams[s.control.Primary]
	u.state.Following = u.state.Following && !u.down && !u.isolated && p != nil && p.state.Primary && !p.isolated && p.state.Term == u.state.Term
	if !u.state.Following || u.replicationPaused || u.state.Primary {
		return
	}
	u.log = slices.Clone(p.log)
	u.state.Last = p.state.Last
}

// tryWrite sends one write to the primary of the control state. It is acknowledged if a majority holds it under the term.
func (s *simulation) tryWrite() {
	p := s.upstreams[s.control.Primary]
	if p == nil {
		return
	}
	if s.pendingWrite == 0 {
		s.lastWrite++
		s.pendingWrite = s.lastWrite
	}
	switch {
	case p.down || p.isolated:
		s.retries++
	case !p.state.Primary || p.draining || p.state.Term != s.control.Term:
		s.retries++ // Refused with SQLSTATE 25006: the write was not run.
	default:
		p.appendRecord(p.state.Term, s.pendingWrite)
		holders := 0
		for _, m := range s.control.Members {
			u := s.upstreams[m.Upstream]
			s.replicate(u)
			if u.holds(s.pendingWrite) && (u == p || u.state.Following) {
				holders++
			}
		}
		if holders > max(s.control.Size, len(s.control.Members))/2 {
			s.acknowledged = append(s.acknowledged, s.pendingWrite)
		} else {
			s.unknown++
		}
		s.pendingWrite = 0
	}
}

func (s *simulation) step(e failover.Event) {
	for _, a := range s.group.Step(s.now, e) {
		s.execute(a)
	}
}

func (s *simulation) execute(a failover.Action) {
	switch a := a.(type) {
	case failover.ProposeAttempt:
		s.logf("leader proposes term %d: %s", a.Term, a.Cause)
		if !s.dropProposals && a.Term > s.control.Attempt {
			s.control.Attempt = a.Term
			s.step(failover.AttemptCommitted{Term: a.Term})
			s.step(s.control)
		}
	case failover.ProposePromoted:
		s.logf("leader proposes %s as primary of term %d, whose log goes on from %s", a.Upstream, a.Term, a.Base)
		if !s.dropProposals {
			s.control.Term, s.control.Primary = a.Term, a.Upstream
			s.step(failover.PromotionCommitted{Term: a.Term, Upstream: a.Upstream})
			s.step(s.control)
		}
	case failover.ProposeJoin:
		s.logf("leader proposes that %s joins", a.Member.Upstream)
		s.setMember(a.Member, true)
	case failover.ProposeLeave:
		s.logf("leader proposes that %s leaves, removed %v", a.Upstream, a.Remove)
		m := s.upstreams[a.Upstream].member
		m.Leaving = true
		s.setMember(m, !a.Remove)
	case failover.GiveUp:
		s.logf("leader gives up term %d: %s", a.Term, a.Cause)
	case failover.Fence:
		s.request(failover.KindFence, a.Upstream, a.Term, func(u *upstream) {
			s.raiseTerm(u, a.Term)
		})
	case failover.Drain:
		u := s.upstreams[a.Upstream]
		if u.down || u.isolated || a.Term < u.state.Term {
			return
		}
		u.draining = true
		s.drainingUpstream, s.drainTerm, s.drainEnd = a.Upstream, a.Term, s.now.Add(drainTime)
	case failover.Query:
		s.request(failover.KindQuery, a.Upstream, 0, func(*upstream) {})
	case failover.Promote:
		s.request(failover.KindPromote, a.Upstream, a.Term, func(u *upstream) {
			s.raiseTerm(u, a.Term)
			u.state.Primary, u.draining = true, false
			u.appendRecord(a.Term, 0)
		})
	case failover.Follow:
		s.request(failover.KindFollow, a.Upstream, a.Term, func(u *upstream) {
			s.raiseTerm(u, a.Term)
			u.state.Following = true
			dropped := 0
			for _, r := range u.log {
				if !slices.Contains(s.upstreams[s.control.Primary].log, r) {
					dropped++
				}
			}
			if dropped > 0 {
				s.logf("%s truncates %d records", a.Upstream, dropped)
			}
		})
	}
}

func (s *simulation) raiseTerm(u *upstream, term ident.Term) {
	if term > u.state.Term {
		u.state.Term, u.state.Primary, u.state.Following, u.draining = term, false, false, false
	}
}

// request applies a change to an upstream and passes its answer to the Group, unless the upstream is isolated.
func (s *simulation) request(kind failover.Kind, name ident.Upstream, term ident.Term, change func(*upstream)) {
	u := s.upstreams[name]
	answer := failover.Answer{Kind: kind, Upstream: name, Term: term}
	switch {
	case u.isolated:
		return
	case u.down:
		answer.Failure = "connection refused"
	case kind != failover.KindQuery && term < u.state.Term:
		answer.Failure = "older term"
	default:
		change(u)
	}
	answer.State = u.state
	if answer.Failure == "" && kind != failover.KindQuery {
		s.logf("%s answers %s under term %d: last record %s", name, kind, term, u.state.Last)
	}
	s.step(answer)
}

func (s *simulation) setMember(m failover.Member, present bool) {
	s.control.Members = slices.DeleteFunc(slices.Clone(s.control.Members), func(o failover.Member) bool {
		return o.Upstream == m.Upstream
	})
	if present {
		s.control.Members = append(s.control.Members, m)
		slices.SortFunc(s.control.Members, func(a, b failover.Member) int {
			return strings.Compare(string(a.Upstream), string(b.Upstream))
		})
	}
	s.step(s.control)
}

// lostAndDuplicated returns the acknowledged writes that the primary does not hold, and those that it holds more than once.
func (s *simulation) lostAndDuplicated() (lost, twice []int) {
	counts := map[int]int{}
	for _, r := range s.upstreams[s.control.Primary].log {
		counts[r.write]++
	}
	for _, id := range s.acknowledged {
		if counts[id] == 0 {
			lost = append(lost, id)
		}
		if counts[id] > 1 {
			twice = append(twice, id)
		}
	}
	return lost, twice
}
