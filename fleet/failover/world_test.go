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
	// down refuses connections; cut loses all messages; behind holds replication back.
	down, cut, behind bool
}

func (u *upstream) add(term ident.Term, write int) {
	p := ident.Position{Term: term, LSN: u.state.Last.LSN + 10}
	u.log = append(u.log, record{p, write})
	u.state.Last = p
}

// restart keeps the log and the term, as a record file does, but not the role.
func (u *upstream) restart() {
	u.state.Primary, u.state.Following, u.draining = false, false, false
}

func (u *upstream) holds(write int) bool {
	return slices.ContainsFunc(u.log, func(r record) bool { return r.write == write })
}

// world runs one Group against simulated upstreams, observers and a control log, and one writer.
type world struct {
	story     strings.Builder
	group     *failover.Group
	now       ident.Time
	control   failover.Control
	upstreams map[ident.Upstream]*upstream
	acked     []int
	waiting   int // The write that is being tried, or 0.
	written   int
	retries   int
	unknown   int
	drain     ident.Upstream // The upstream that finishes its transactions until drained.
	drainTerm ident.Term
	drained   ident.Time
	lost      bool // The control log loses proposals.
}

func newWorld(title string, names ...ident.Upstream) *world {
	w := &world{
		group:     failover.New(failover.Options{Service: "ledger", Seed: 1}),
		upstreams: map[ident.Upstream]*upstream{},
		control:   failover.Control{Size: 3},
	}
	fmt.Fprintln(&w.story, title)
	for i, n := range names {
		w.announce(n, ident.Zone(fmt.Sprintf("z%d", i+1)))
	}
	w.step(w.control)
	w.run(time.Second)
	return w
}

func (w *world) announce(name ident.Upstream, zone ident.Zone) *upstream {
	u := &upstream{member: failover.Member{Upstream: name, Address: string(name) + ":5432", Zone: zone}, announced: true}
	w.upstreams[name] = u
	return u
}

func (w *world) say(format string, args ...any) {
	fmt.Fprintf(&w.story, "%6dms  %s\n", time.Duration(w.now).Milliseconds(), fmt.Sprintf(format, args...))
}

// finishDrain answers a drain once the running transactions have finished.
func (w *world) finishDrain() {
	if w.drain != "" && w.now >= w.drained {
		w.ask(failover.KindDrain, w.drain, w.drainTerm, func(*upstream) {})
		w.drain = ""
	}
}

// run lets time pass: announcements, observations, replication and one attempt to write in each tick.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(tick)
		for _, n := range w.names() {
			u := w.upstreams[n]
			if u.announced && !u.down && !u.cut {
				w.step(failover.Announced{Member: u.member, Lease: 3 * time.Second})
			}
			w.replicate(u)
		}
		w.finishDrain()
		w.write()
		for i := range 3 {
			for _, n := range w.names() {
				w.observe(ident.Host(fmt.Sprintf("h%d", i+1)), ident.Zone(fmt.Sprintf("z%d", i+1)), w.upstreams[n])
			}
		}
		w.step(failover.Tick{})
	}
}

func (w *world) names() []ident.Upstream {
	var all []ident.Upstream
	for n := range w.upstreams {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

func (w *world) observe(h ident.Host, z ident.Zone, u *upstream) {
	o := failover.Observed{Host: h, Zone: z, Upstream: u.member.Upstream, State: u.state, Refused: u.down}
	if u.cut {
		o.Silent = 1500 * time.Millisecond
	}
	w.step(o)
}

func (w *world) replicate(u *upstream) {
	p := w.upstreams[w.control.Primary]
	u.state.Following = u.state.Following && !u.down && !u.cut && p != nil && p.state.Primary && !p.cut && p.state.Term == u.state.Term
	if !u.state.Following || u.behind || u.state.Primary {
		return
	}
	u.log = slices.Clone(p.log)
	u.state.Last = p.state.Last
}

// write tries one write at the primary of the control state; it is acknowledged once a majority holds it under the term.
func (w *world) write() {
	p := w.upstreams[w.control.Primary]
	if p == nil {
		return
	}
	if w.waiting == 0 {
		w.written++
		w.waiting = w.written
	}
	switch {
	case p.down || p.cut:
		w.retries++
	case !p.state.Primary || p.draining || p.state.Term != w.control.Term:
		w.retries++ // 25006: not run.
	default:
		p.add(p.state.Term, w.waiting)
		held := 0
		for _, m := range w.control.Members {
			u := w.upstreams[m.Upstream]
			w.replicate(u)
			if u.holds(w.waiting) && (u == p || u.state.Following) {
				held++
			}
		}
		if held > max(w.control.Size, len(w.control.Members))/2 {
			w.acked = append(w.acked, w.waiting)
		} else {
			w.unknown++
		}
		w.waiting = 0
	}
}

func (w *world) step(e failover.Event) {
	for _, a := range w.group.Step(w.now, e) {
		w.carryOut(a)
	}
}

func (w *world) carryOut(a failover.Action) {
	switch a := a.(type) {
	case failover.ProposeAttempt:
		w.say("leader proposes term %d: %s", a.Term, a.Cause)
		if !w.lost && a.Term > w.control.Attempt {
			w.control.Attempt = a.Term
			w.step(failover.AttemptCommitted{Term: a.Term})
			w.step(w.control)
		}
	case failover.ProposePromoted:
		w.say("leader proposes %s as primary of term %d, whose log goes on from %s", a.Upstream, a.Term, a.Base)
		if !w.lost {
			w.control.Term, w.control.Primary = a.Term, a.Upstream
			w.step(failover.PromotionCommitted{Term: a.Term, Upstream: a.Upstream})
			w.step(w.control)
		}
	case failover.ProposeJoin:
		w.say("leader proposes that %s joins", a.Member.Upstream)
		w.setMember(a.Member, true)
	case failover.ProposeLeave:
		w.say("leader proposes that %s leaves, removed %v", a.Upstream, a.Remove)
		m := w.upstreams[a.Upstream].member
		m.Leaving = true
		w.setMember(m, !a.Remove)
	case failover.GiveUp:
		w.say("leader gives up term %d: %s", a.Term, a.Cause)
	case failover.Fence:
		w.ask(failover.KindFence, a.Upstream, a.Term, func(u *upstream) {
			w.raise(u, a.Term)
		})
	case failover.Drain:
		u := w.upstreams[a.Upstream]
		if u.down || u.cut || a.Term < u.state.Term {
			return
		}
		u.draining = true
		w.drain, w.drainTerm, w.drained = a.Upstream, a.Term, w.now.Add(drainTime)
	case failover.Query:
		w.ask(failover.KindQuery, a.Upstream, 0, func(*upstream) {})
	case failover.Promote:
		w.ask(failover.KindPromote, a.Upstream, a.Term, func(u *upstream) {
			w.raise(u, a.Term)
			u.state.Primary, u.draining = true, false
			u.add(a.Term, 0)
		})
	case failover.Follow:
		w.ask(failover.KindFollow, a.Upstream, a.Term, func(u *upstream) {
			w.raise(u, a.Term)
			u.state.Following = true
			dropped := 0
			for _, r := range u.log {
				if !slices.Contains(w.upstreams[w.control.Primary].log, r) {
					dropped++
				}
			}
			if dropped > 0 {
				w.say("%s truncates %d records", a.Upstream, dropped)
			}
		})
	}
}

func (w *world) raise(u *upstream, term ident.Term) {
	if term > u.state.Term {
		u.state.Term, u.state.Primary, u.state.Following, u.draining = term, false, false, false
	}
}

// ask carries out a request, unless the upstream does not answer.
func (w *world) ask(kind failover.Kind, name ident.Upstream, term ident.Term, change func(*upstream)) {
	u := w.upstreams[name]
	answer := failover.Answer{Kind: kind, Upstream: name, Term: term}
	switch {
	case u.cut:
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
		w.say("%s answers %s under term %d: last record %s", name, kind, term, u.state.Last)
	}
	w.step(answer)
}

func (w *world) setMember(m failover.Member, stays bool) {
	w.control.Members = slices.DeleteFunc(slices.Clone(w.control.Members), func(o failover.Member) bool {
		return o.Upstream == m.Upstream
	})
	if stays {
		w.control.Members = append(w.control.Members, m)
		slices.SortFunc(w.control.Members, func(a, b failover.Member) int {
			return strings.Compare(string(a.Upstream), string(b.Upstream))
		})
	}
	w.step(w.control)
}

// missing returns the acknowledged writes that the primary does not hold, and the writes that it holds twice.
func (w *world) missing() (lost, twice []int) {
	counts := map[int]int{}
	for _, r := range w.upstreams[w.control.Primary].log {
		counts[r.write]++
	}
	for _, id := range w.acked {
		if counts[id] == 0 {
			lost = append(lost, id)
		}
		if counts[id] > 1 {
			twice = append(twice, id)
		}
	}
	return lost, twice
}
