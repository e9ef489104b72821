package promotion_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/failover"
	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/statement"
)

var replayNames = []ident.Upstream{"a", "b", "c"}

// replay runs the steps of a counterexample of the model models/ack.pml against failover groups and ledgers.
type replay struct {
	t          *testing.T
	transcript strings.Builder
	now        ident.Time
	members    []*ledger.Ledger
	following  []ident.Term
	groups     [2]*failover.Group
	actions    [2][]failover.Action
	leader     int
	control    failover.Control
	primaries  map[ident.Term]int
	bases      map[ident.Term]ident.Position
	// observers has one group for each recorded term; the state of every member is reported to it without delay.
	observers map[ident.Term]*group.Group
	writes    []ident.Position
}

func newReplay(t *testing.T) *replay {
	r := &replay{
		t: t, following: []ident.Term{0, 1, 1}, primaries: map[ident.Term]int{1: 0},
		bases: map[ident.Term]ident.Position{}, observers: map[ident.Term]*group.Group{},
		control: failover.Control{Size: 3, Term: 1, Attempt: 1, Primary: "a"},
	}
	for i, n := range replayNames {
		r.members = append(r.members, ledger.New(nil, nil))
		r.control.Members = append(r.control.Members, failover.Member{Upstream: n, Address: string(n), Zone: ident.Zone(fmt.Sprint(i))})
	}
	_, err := r.members[0].Promote(1)
	require.NoError(t, err)
	for x := 1; x < 3; x++ {
		require.NoError(t, r.members[x].Follow(1))
		require.NoError(t, r.members[x].StartFollow(1, ident.Position{}))
		require.NoError(t, r.replicate(x))
	}
	r.addObserver(1)
	for i := range r.groups {
		r.groups[i] = failover.New(failover.Options{Service: "ledger", Seed: uint64(i)})
	}
	r.step(0, r.control)
	return r
}

func (r *replay) addObserver(term ident.Term) {
	r.observers[term] = group.New("ledger")
	r.observers[term].Configure(r.now, group.Config{
		Members: replayNames, Size: 3, Term: term, Primary: replayNames[r.primaries[term]], Base: r.bases[term],
	})
}

func (r *replay) step(a int, event failover.Event) {
	r.actions[a] = append(r.actions[a], r.groups[a].Step(r.now, event)...)
}

// decide advances the time until control host a takes an action for which accept returns true. It returns false when there is
// none, or when the host gives up its attempt; if next is set, it then waits for the host's next attempt instead.
func (r *replay) decide(a int, next bool, accept func(failover.Action) bool) bool {
	for range 200 {
		for _, action := range r.actions[a] {
			r.actions[a] = r.actions[a][1:]
			if g, ok := action.(failover.GiveUp); ok {
				r.logf("  control host %d gives up term %d: %s", a, g.Term, g.Cause)
				if !next {
					return false
				}
			}
			if accept(action) {
				return true
			}
		}
		for i, n := range replayNames {
			refused := a == r.leader && n == r.control.Primary
			r.step(a, failover.Observed{Host: ident.Host(fmt.Sprint(i)), Zone: ident.Zone(fmt.Sprint(i)), Upstream: r.control.Primary, Refused: refused})
		}
		r.now = r.now.Add(50 * time.Millisecond)
		r.step(a, failover.Tick{})
	}
	return false
}

// logf appends a line to the transcript.
func (r *replay) logf(format string, args ...any) {
	fmt.Fprintf(&r.transcript, format+"\n", args...)
}

func (r *replay) state(x int) failover.State {
	s := r.members[x].State()
	return failover.State{Primary: s.Primary, Term: s.Term, Last: s.Last, Following: !s.Primary && r.following[x] == s.Term}
}

func (r *replay) replicate(x int) error {
	term := r.following[x]
	from := r.members[r.primaries[term]]
	records, _, _, err := from.Read(term, r.members[x].State().Last.LSN, 1)
	if err != nil {
		return err
	}
	return r.members[x].Apply(term, records)
}

func (r *replay) follow(x int, term ident.Term) error {
	if err := r.members[x].Follow(term); err != nil {
		return err
	}
	prefix, err := r.members[r.primaries[term]].Prefix(term, r.members[x].Ends())
	if err != nil {
		return err
	}
	r.following[x] = term
	return r.members[x].StartFollow(term, prefix)
}

// runStep runs one step of the counterexample, and returns false when the failover group or a member rejects it.
func (r *replay) runStep(step string, a, x int) bool {
	var err error
	switch step {
	case "write":
		all, parseErr := statement.Parse(fmt.Sprintf("INSERT INTO orders (id) VALUES ('w%d')", len(r.writes)))
		require.NoError(r.t, parseErr)
		var done ledger.Done
		_, done, err = r.members[a].Run(all[0].Statement, nil)
		r.writes = append(r.writes, done.Position)
	case "replicate":
		err = r.replicate(a)
	case "follow":
		err = r.follow(a, ident.Term(x))
	case "lead":
		r.leader = a
		r.step(a, r.control)
	case "reserve":
		return r.decide(a, true, func(action failover.Action) bool {
			p, ok := action.(failover.ProposeAttempt)
			if ok {
				r.logf("  control host %d proposes term %d", a, p.Term)
				require.Greater(r.t, p.Term, r.control.Attempt)
				r.control.Attempt = p.Term
				r.step(a, failover.AttemptCommitted{Term: p.Term})
			}
			return ok
		})
	case "fence":
		return r.fence(a, x)
	case "promote":
		return r.promote(a, x)
	case "record":
		return r.decide(a, false, func(action failover.Action) bool {
			p, ok := action.(failover.ProposePromoted)
			if ok {
				r.control.Term, r.control.Primary, r.bases[p.Term] = p.Term, p.Upstream, p.Base
				r.addObserver(p.Term)
				r.step(a, failover.PromotionCommitted{Term: p.Term, Upstream: p.Upstream})
				r.step(a, r.control)
			}
			return ok
		})
	}
	if err != nil {
		r.logf("  refused: %v", err)
	}
	return err == nil
}

func (r *replay) fence(a, x int) bool {
	return r.decide(a, false, func(action failover.Action) bool {
		f, ok := action.(failover.Fence)
		if !ok || f.Upstream != replayNames[x] {
			return false
		}
		answer := failover.Answer{Kind: failover.KindFence, Upstream: f.Upstream, Term: f.Term}
		if _, err := r.members[x].Fence(f.Term); err != nil {
			answer.Failure = err.Error()
		}
		answer.State = r.state(x)
		r.logf("  %s fences under term %d, last record %s", f.Upstream, f.Term, answer.State.Last)
		r.step(a, answer)
		return true
	})
}

// promote runs the promotion that control host a decides on, and returns whether it is the one of member x.
func (r *replay) promote(a, x int) bool {
	same := false
	r.decide(a, false, func(action failover.Action) bool {
		p, ok := action.(failover.Promote)
		if !ok {
			return false
		}
		same = p.Upstream == replayNames[x]
		if !same {
			r.logf("  control host %d promotes %s instead of %s", a, p.Upstream, replayNames[x])
		}
		answer := failover.Answer{Kind: failover.KindPromote, Upstream: p.Upstream, Term: p.Term}
		for i, n := range replayNames {
			if n != p.Upstream {
				continue
			}
			if _, err := r.members[i].Promote(p.Term); err != nil {
				answer.Failure = err.Error()
			}
			r.primaries[p.Term], answer.State = i, r.state(i)
		}
		r.step(a, answer)
		return true
	})
	return same
}

// observe reports the state of every member to the observers of every term, and checks the writes that they acknowledge.
func (r *replay) observe() {
	for _, v := range r.observers {
		for i, n := range replayNames {
			s := r.state(i)
			v.Report(r.now, group.State{Upstream: n, Sent: r.now, Primary: s.Primary, Following: s.Following, Term: s.Term, Last: s.Last})
		}
	}
	for term := ident.Term(1); term <= r.control.Attempt; term++ {
		if v := r.observers[term]; v != nil {
			for _, record := range r.writes {
				r.check(term, v.Positions(r.now), record)
			}
		}
	}
}

// check requires that a record acknowledged in a term is in every primary of a later term, and in every member whose position
// covers the acknowledged one.
func (r *replay) check(term ident.Term, p group.Positions, record ident.Position) {
	position, ok := p.Acknowledged(record)
	if !ok {
		return
	}
	for i, m := range r.members {
		holds := false
		for _, end := range m.Ends() {
			holds = holds || end.Term == record.Term && end.LSN >= record.LSN
		}
		s := m.State()
		require.True(r.t, holds || !s.Primary || s.Term <= term, "%s is primary of term %d without record %s", replayNames[i], s.Term, record)
		require.True(r.t, holds || !m.Position().Covers(position), "%s covers %s without record %s", replayNames[i], position, record)
	}
}

// Guards against failover decisions that follow a counterexample, a sequence of steps that makes a variant of the model fail.
// The model's properties are checked after every step. The golden files show the step at which the code deviates from the
// counterexample, or that the record in question is not acknowledged.
func TestCounterexamples(t *testing.T) {
	paths, err := filepath.Glob("testdata/traces/*.trace")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".trace")
		t.Run(name, func(t *testing.T) {
			r := newReplay(t)
			r.logf("Invariant 2, and no acknowledged record is lost: the steps that fail the model with %s.", name)
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			for line := range strings.Lines(string(data)) {
				var step string
				var a, x int
				_, err := fmt.Sscanln(line, &step, &a, &x)
				if err != nil {
					_, err = fmt.Sscanln(line, &step, &a)
				}
				require.NoError(t, err)
				r.logf("%s", strings.TrimSpace(line))
				if !r.runStep(step, a, x) {
					r.logf("The code leaves the counterexample here.")
					break
				}
				r.observe()
			}
			r.observe()
			for term := ident.Term(1); term <= r.control.Attempt; term++ {
				if v := r.observers[term]; v != nil {
					p := v.Positions(r.now)
					acknowledged := 0
					for _, record := range r.writes {
						if _, ok := p.Acknowledged(record); ok {
							acknowledged++
						}
					}
					r.logf("Term %d: primary %s, majority holds %s, %d of %d writes acknowledged", term, p.Primary, p.Majority, acknowledged, len(r.writes))
				}
			}
			goldie.New(t, goldie.WithFixtureDir("testdata/replays")).Assert(t, name, []byte(r.transcript.String()))
		})
	}
}
