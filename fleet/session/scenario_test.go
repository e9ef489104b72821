package session_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/session"
)

const ms = ident.Time(time.Millisecond)

// simulation runs keepers, writers and readers in logical time and records each message and its outcome.
type simulation struct {
	bytes.Buffer
	now          ident.Time
	keepers      map[ident.Host]*session.Keeper
	leases       map[ident.Host]ident.Time
	views        map[ident.Host]*session.View
	unresponsive map[ident.Host]bool
	primary      ident.Position
}

func newSimulation() *simulation {
	return &simulation{
		keepers: map[ident.Host]*session.Keeper{}, leases: map[ident.Host]ident.Time{},
		views: map[ident.Host]*session.View{}, unresponsive: map[ident.Host]bool{},
	}
}

func (s *simulation) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s, "%5d ms  %s\n", s.now/ms, fmt.Sprintf(format, args...))
}

func (s *simulation) start(m session.Member) {
	s.keepers[m.Host] = session.NewKeeper(session.KeeperOptions{Self: m, MaxSessions: 1024})
	s.views[m.Host], s.leases[m.Host] = nil, 0
	s.logf("%s starts (incarnation %d)", m.Host, m.Incarnation)
}

// sync gives hosts a view and a lease of 2 s.
func (s *simulation) sync(view *session.View, hosts ...ident.Host) {
	for _, h := range hosts {
		s.views[h], s.leases[h] = view, s.now+2000*ms
		s.keepers[h].Adopt(view)
		s.keepers[h].SetLease(s.leases[h])
	}
	s.logf("%v adopt epoch %d, settled: %t", hosts, view.Epoch(), view.Settled)
}

func (s *simulation) setFloors(hosts ...ident.Host) {
	for _, h := range hosts {
		epoch, missing := s.keepers[h].MissingFloors([]ident.Service{"ledger"})
		for _, service := range missing {
			s.keepers[h].SetFloor(service, epoch, s.primary)
			s.logf("%s reads floor %s of %s for epoch %d", h, s.primary, service, epoch)
		}
		if len(missing) == 0 {
			s.logf("%s wants no floor", h)
		}
	}
}

func hosts(members []session.Member) []ident.Host {
	var list []ident.Host
	for _, m := range members {
		list = append(list, m.Host)
	}
	return list
}

// step runs a writer on host until it has to wait or ends, and returns the last action.
func (s *simulation) step(host ident.Host, w *session.Writer) session.WriteAction {
	for {
		action := w.Next(s.now, session.Conditions{View: s.views[host], Lease: s.leases[host]})
		switch a := action.(type) {
		case session.SendPuts:
			for _, m := range a.To {
				s.put(host, w, a, m)
			}
		case session.AwaitAnswer:
			s.logf("%s waits until %d ms", host, a.Until/ms)
			return a
		case session.Acknowledge:
			s.logf("%s acknowledges", host)
			return a
		case session.GiveUp:
			s.logf("%s reports an unknown outcome: %v", host, a.Cause)
			return a
		}
	}
}

func (s *simulation) put(host ident.Host, w *session.Writer, a session.SendPuts, m session.Member) {
	if s.unresponsive[m.Host] {
		s.logf("%s -> %s Put in epoch %d: no answer", host, m.Host, a.Epoch)
		return
	}
	response := s.keepers[m.Host].Put(w.Request(a.Epoch))
	s.logf("%s -> %s Put in epoch %d: recorded %t", host, m.Host, a.Epoch, response.GetRecorded())
	w.Answered(s.now, m, response)
}

// write commits a write at the primary and runs its writer until it has to wait or ends.
func (s *simulation) write(host ident.Host, id ident.Session) (*session.Writer, session.WriteAction) {
	s.primary.LSN += 0x10
	s.logf("%s commits a write of %s at %s", host, id, s.primary)
	w := session.NewWriter(id, s.primary, s.now+5000*ms)
	return w, s.step(host, w)
}

func (s *simulation) read(host ident.Host, id ident.Session, zones ...ident.Zone) session.ReadAction {
	r := session.NewReader(id, s.views[host], zones, s.now)
	for {
		switch a := r.Next(s.now).(type) {
		case session.AskHolder:
			if s.unresponsive[a.To.Host] {
				s.logf("%s -> %s Get: no answer", host, a.To.Host)
				continue
			}
			response := s.keepers[a.To.Host].Get(s.now, r.Request())
			s.logf("%s -> %s Get: authoritative %t", host, a.To.Host, response.GetAuthoritative())
			r.Answered(a.To, response)
		case session.AwaitHolder:
			s.now = a.Until
		case session.Known:
			s.logf("%s must see %s", host, a.Position)
			return a
		case session.UsePrimary:
			s.logf("%s reads from the primary, asked %v", host, a.Cause.Asked)
			return a
		}
	}
}

func member(host string, incarnation ident.Incarnation) session.Member {
	return session.Member{Host: ident.Host(host), Incarnation: incarnation, Zone: ident.Zone(strings.TrimRight(host, "0123456789"))}
}

// movedSessions returns two sessions of which b1 is a holder in the first set and not in the second.
func movedSessions(from, to *session.Set) (first, second ident.Session) {
	var list []ident.Session
	for i := 0; len(list) < 2; i++ {
		if slices.Contains(hosts(from.Holders(name(i))), "b1") && !slices.Contains(hosts(to.Holders(name(i))), "b1") {
			list = append(list, name(i))
		}
	}
	return list[0], list[1]
}

// Guards invariant 1 (read-your-writes) when a holder restarts and the keeper epoch changes. A restarted holder must not answer
// from its empty table. A writer in the old epoch must not acknowledge without the new holder once the new epoch is settled.
// The removed holder must not answer from its old entries.
func TestRestartedHolderAndNewEpoch(t *testing.T) {
	s := newSimulation()
	a1, a2, b1, b2 := member("a1", 1), member("a2", 1), member("b1", 1), member("b2", 1)
	for _, m := range []session.Member{a1, a2, b1, b2} {
		s.start(m)
	}
	s.primary = at(0x100)
	one := session.NewSet(1, []session.Member{a1, a2, b1})
	s.sync(&session.View{Current: one, Settled: true}, "a1", "a2", "b1")
	s.setFloors("a1", "a2", "b1")
	two := session.NewSet(2, []session.Member{a1, a2, b2})
	id, early := movedSessions(one, two)
	holder := one.Holders(id)[0].Host
	s.write("a1", early)
	acknowledged := s.primary

	s.logf("-- the holder in zone a restarts with an empty table")
	_, action := s.write("a2", id)
	require.Equal(t, session.Acknowledge{}, action)
	s.start(member(string(holder), 2))
	_, action = s.write("b1", id)
	require.Equal(t, session.Acknowledge{}, action, "the restarted host accepts Puts for its earlier incarnation")
	s.sync(&session.View{Current: one, Settled: true}, holder)
	s.setFloors(holder)
	known := s.read("b1", id, "a", "b").(session.Known)
	require.Equal(t, s.primary, known.Position)

	s.logf("-- b1 leaves: epoch 2 names b2; a2 stays in epoch 1 for now")
	s.now += 100 * ms
	s.sync(&session.View{Current: two, Previous: one}, "a1", "b1", "b2")
	s.setFloors("b2")
	_, action = s.write("a2", id)
	require.Equal(t, session.Acknowledge{}, action, "epoch 2 is not settled while a2 has a lease in epoch 1")
	require.IsType(t, session.UsePrimary{}, s.read("a2", id, "b"), "no holder in either zone is authoritative for the session")

	s.logf("-- a2 is cut off, its lease ends and epoch 2 is settled; a write that waited meanwhile is not acknowledged")
	s.unresponsive["b1"] = true
	w, action := s.write("a2", id)
	require.IsType(t, session.AwaitAnswer{}, action)
	s.now += 2000 * ms
	s.unresponsive["b1"] = false
	s.sync(&session.View{Current: two, Settled: true}, "a1", "b1", "b2")
	s.setFloors("b2")
	require.IsType(t, session.AwaitAnswer{}, s.step("a2", w), "the lease has ended")
	s.sync(&session.View{Current: two, Settled: true}, "a2")
	require.Equal(t, session.Acknowledge{}, s.step("a2", w))
	require.False(t, s.keepers["b1"].Get(s.now, session.NewReader(id, s.views["a2"], nil, s.now).Request()).GetAuthoritative())
	known = s.read("a1", id, "b", "a").(session.Known)
	require.True(t, known.Position.Covers(s.primary))
	s.logf("-- a session that wrote in epoch 1 only")
	known = s.read("a1", early, "b").(session.Known)
	require.True(t, known.Position.Covers(acknowledged))
	goldie.New(t).Assert(t, "epoch_change", s.Bytes())
}

// Guards invariant 1 and the bounded wait for an unresponsive holder. Reads ask the holder of the next zone, writes wait for an
// epoch without the holder, and at the deadline the outcome is reported as unknown instead of acknowledged.
func TestUnresponsiveHolder(t *testing.T) {
	s := newSimulation()
	a1, b1 := member("a1", 1), member("b1", 1)
	s.start(a1)
	s.start(b1)
	one := session.NewSet(1, []session.Member{a1, b1})
	s.sync(&session.View{Current: one, Settled: true}, "a1", "b1")
	s.setFloors("a1", "b1")
	s.unresponsive["b1"] = true
	w, action := s.write("a1", name(1))
	require.IsType(t, session.AwaitAnswer{}, action)
	s.read("a1", name(1), "b", "a")
	s.now += 1900 * ms
	s.sync(&session.View{Current: session.NewSet(2, []session.Member{a1}), Previous: one}, "a1")
	require.IsType(t, session.AwaitAnswer{}, s.step("a1", w))
	s.now += 100 * ms
	s.sync(&session.View{Current: session.NewSet(2, []session.Member{a1}), Settled: true}, "a1")
	require.Equal(t, session.Acknowledge{}, s.step("a1", w))
	s.logf("-- all holders freeze")
	s.unresponsive["a1"] = true
	w, _ = s.write("a1", name(2))
	s.read("a1", name(2), "a")
	s.now += 5000 * ms
	require.IsType(t, session.GiveUp{}, s.step("a1", w))
	goldie.New(t).Assert(t, "frozen_holder", s.Bytes())
}
