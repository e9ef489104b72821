package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/quorum"
)

// Delays of the simulated network and disk.
const (
	hop  = 5 * time.Millisecond
	sync = 2 * time.Millisecond
)

// host is a simulated control host: its synced state survives a crash, all else does not.
type host struct {
	name      string
	member    string
	hardState *fleetpb.HardState
	snap      *fleetpb.Snapshot
	log       []*fleetpb.Entry

	node    *quorum.Node
	machine *machine
	// Incremented at each crash, so that syncs and messages of the process before it are dropped.
	life  int
	calls map[uint64]call
	last  uint64
	// Index up to which the machine holds the log.
	applied uint64
	role    string
}

type call struct {
	index, term uint64
	id          string
}

// event is something that happens at a later logical time.
type event struct {
	at  ident.Time
	seq int
	do  func()
}

// sim runs hosts over a network that delays, loses and repeats messages.
type sim struct {
	now     ident.Time
	hosts   map[string]*host
	names   []string
	random  *rand.Rand
	events  []event
	seq     int
	wiped   uint64
	loss    float64
	cut     map[string]bool
	quiet   bool
	bounds  quorum.Bounds
	story   strings.Builder
	told    map[string]bool
	leaders map[uint64]string
	// confirmed is when each term's leader was last confirmed.
	confirmed map[uint64]ident.Time
	chosen    map[uint64]*fleetpb.Entry
	acked     []string
	broken    []string
}

func newSim(seed uint64, names ...string) *sim {
	s := &sim{
		hosts:     map[string]*host{},
		names:     names,
		random:    rand.New(rand.NewPCG(seed, 1)),
		cut:       map[string]bool{},
		told:      map[string]bool{},
		leaders:   map[uint64]string{},
		confirmed: map[uint64]ident.Time{},
		chosen:    map[uint64]*fleetpb.Entry{},
		bounds:    quorum.DefaultBounds,
	}
	for _, name := range names {
		s.hosts[name] = &host{name: name}
	}
	return s
}

func (s *sim) tell(format string, args ...any) {
	fmt.Fprintf(&s.story, "%9.3fs  %s\n", time.Duration(s.now).Seconds(), fmt.Sprintf(format, args...))
}

func (s *sim) fault(format string, args ...any) {
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

func (s *sim) start(name string) {
	h := s.hosts[name]
	if h.member == "" {
		s.wiped++
		h.member = quorum.MemberID(ident.Host(name), s.wiped)
		s.tell("%s starts with an empty folder as %s", name, h.member)
	} else {
		s.tell("%s starts with snapshot %d and entries up to %d", name, h.snap.GetIndex(), s.lastOf(h))
	}
	var peers []*fleetpb.Voter
	for _, peer := range s.names[:min(3, len(s.names))] {
		peers = append(peers, &fleetpb.Voter{Host: peer, Peer: peer})
	}
	node, actions, err := quorum.New(s.now, quorum.Options{
		Self:         &fleetpb.Voter{Host: name, Peer: name, Member: h.member},
		InitialHosts: peers,
		Seed:         7,
		Bounds:       s.bounds,
		HardState:    h.hardState,
		Snapshot:     h.snap,
		Entries:      slices.Clone(h.log),
	})
	if err != nil {
		s.fault("%s: %v", name, err)
		return
	}
	h.node, h.calls, h.role, h.applied = node, map[uint64]call{}, "", 0
	h.machine = &machine{answers: map[string]*fleetpb.ApplyResponse{}}
	s.perform(h, actions)
	s.after(quorum.DefaultBounds.Tick, func() { s.tick(h, h.life) })
}

func (s *sim) crash(name string) {
	h := s.hosts[name]
	h.node = nil
	h.life++
	s.tell("%s stops", name)
}

func (s *sim) wipe(name string) {
	h := s.hosts[name]
	h.member, h.hardState, h.snap, h.log = "", nil, nil, nil
	s.tell("%s loses its disk", name)
}

func (s *sim) tick(h *host, life int) {
	if h.node == nil || h.life != life {
		return
	}
	s.step(h, quorum.Tick{})
	s.after(quorum.DefaultBounds.Tick, func() { s.tick(h, life) })
}

func (s *sim) step(h *host, inputs ...quorum.Input) {
	if h.node != nil {
		s.perform(h, h.node.Step(s.now, inputs...))
	}
}

func (s *sim) after(delay time.Duration, do func()) {
	s.seq++
	e := event{s.now.Add(delay), s.seq, do}
	at := sort.Search(len(s.events), func(i int) bool { return s.events[i].at > e.at })
	s.events = slices.Insert(s.events, at, e)
}

// run lets logical time pass.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && s.events[0].at <= end {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.do()
	}
	s.now = end
}

// until runs until a condition holds, and reports a fault when it does not within a minute.
func (s *sim) until(what string, holds func() bool) {
	for range 6000 {
		if holds() {
			return
		}
		s.run(10 * time.Millisecond)
	}
	s.fault("never: %s", what)
}

func (s *sim) perform(h *host, actions []quorum.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case quorum.Persist:
			life := h.life
			s.after(sync, func() { s.synced(h, life, action) })
		case quorum.Send:
			s.send(h, action)
		case quorum.Apply:
			s.apply(h, action.Entries)
		case quorum.Restore:
			h.machine, h.applied = restoreMachine(action.Snapshot.GetState()), action.Snapshot.GetIndex()
			s.tell("%s restores snapshot %d, text %q at version %d", h.name, action.Snapshot.GetIndex(), h.machine.text, h.machine.version)
		case quorum.TakeSnapshot:
			s.after(0, func() { s.step(h, quorum.Compact{Index: action.Index, State: h.machine.snapshot()}) })
		case quorum.Proposed:
			s.proposed(h, action)
		case quorum.RoleChange:
			s.changed(h, action.Status)
		}
	}
	s.checkLeases()
}

// synced stores a Persist; nothing of it survives a crash before this.
func (s *sim) synced(h *host, life int, p quorum.Persist) {
	if h.life != life || h.member == "" {
		return
	}
	if p.HardState != nil {
		h.hardState = p.HardState
	}
	if p.Snapshot != nil {
		h.snap = p.Snapshot
	}
	if p.Reset {
		h.log = nil
	}
	if len(p.Entries) > 0 {
		h.log = slices.DeleteFunc(slices.Clone(h.log), func(e *fleetpb.Entry) bool { return e.Index >= p.Entries[0].Index })
		h.log = append(h.log, p.Entries...)
	}
	h.log = slices.DeleteFunc(slices.Clone(h.log), func(e *fleetpb.Entry) bool { return e.Index < p.First })
	s.step(h, quorum.Persisted{Seq: p.Seq})
}

func (s *sim) send(from *host, send quorum.Send) {
	to := s.hosts[send.Peer]
	m := proto.CloneOf(send.Message)
	s.tellMessage(from.name, to.name, m)
	life := to.life
	for range 1 + s.random.IntN(20)/19 {
		if s.random.Float64() < s.loss {
			continue
		}
		delay := hop + time.Duration(s.random.Int64N(int64(hop)))
		s.after(delay, func() {
			if to.life == life && !s.cut[from.name] && !s.cut[to.name] {
				s.step(to, quorum.Receive{Message: m})
			}
		})
	}
}

// tellMessage tells messages about elections and snapshots; those that repeat are told once for each term.
func (s *sim) tellMessage(from, to string, m *fleetpb.Message) {
	line := ""
	switch kind := m.GetKind().(type) {
	case *fleetpb.Message_Prevote:
		line = fmt.Sprintf("%s asks %s whether it would vote for term %d", from, to, m.GetTerm())
	case *fleetpb.Message_Vote:
		line = fmt.Sprintf("%s asks %s for its vote in term %d, transfer %t", from, to, m.GetTerm(), kind.Vote.GetTransfer())
	case *fleetpb.Message_Answer:
		line = fmt.Sprintf("%s answers %s: vote %t, before the election %t, term %d", from, to, kind.Answer.GetGranted(), kind.Answer.GetPre(), m.GetTerm())
	case *fleetpb.Message_Snapshot:
		line = fmt.Sprintf("%s sends %s snapshot %d", from, to, kind.Snapshot.GetIndex())
	case *fleetpb.Message_Timeout:
		line = fmt.Sprintf("%s asks %s to take over from term %d", from, to, m.GetTerm())
	case *fleetpb.Message_Greeted:
		line = fmt.Sprintf("%s tells %s that a log exists %s", from, to, kind.Greeted.GetProblem())
	}
	if line != "" && !s.quiet && !s.told[line] {
		s.told[line] = true
		s.tell("%s", strings.TrimSpace(line))
	}
}

func (s *sim) changed(h *host, status quorum.Status) {
	role := fmt.Sprintf("%s in term %d", status.Role, status.Term)
	if role != h.role {
		s.tell("%s is %s", h.name, role)
	}
	h.role = role
	if status.Role != quorum.Leader {
		return
	}
	if old, led := s.leaders[status.Term]; led && old != h.member {
		s.fault("term %d has two leaders, %s and %s", status.Term, old, h.member)
	}
	s.leaders[status.Term] = h.member
}

// checkLeases reports two members that both count on being the confirmed leader, and a leader that takes an earlier one's lease
// for ended before it was.
func (s *sim) checkLeases() {
	confirmed := ""
	for _, name := range s.names {
		h := s.hosts[name]
		if h.node == nil {
			continue
		}
		status := h.node.Status()
		if status.Role == quorum.Leader {
			s.checkVacant(name, status)
		}
		if s.now >= status.Until {
			continue
		}
		s.confirmed[status.Term] = s.now
		if confirmed != "" {
			s.fault("at %v both %s and %s are confirmed", time.Duration(s.now), confirmed, name)
		}
		confirmed = name
	}
}

func (s *sim) checkVacant(name string, status quorum.Status) {
	if status.NoLeaderSince > status.Since {
		s.fault("%s takes the office for vacant since %v, after it took it at %v", name, time.Duration(status.NoLeaderSince), time.Duration(status.Since))
	}
	for term, at := range s.confirmed {
		if term < status.Term && at >= status.NoLeaderSince {
			s.fault("%s takes the office for vacant since %v, but the leader of term %d was confirmed at %v", name, time.Duration(status.NoLeaderSince), term, time.Duration(at))
		}
	}
}

func (s *sim) apply(h *host, entries []*fleetpb.Entry) {
	for _, entry := range entries {
		if chosen := s.chosen[entry.Index]; chosen != nil && !proto.Equal(chosen, entry) {
			s.fault("%s applies %v, but %v was applied before", h.name, entry, chosen)
		}
		s.chosen[entry.Index] = entry
		if entry.Index != h.applied+1 {
			s.fault("%s applies %d after %d", h.name, entry.Index, h.applied)
		}
		h.applied = entry.Index
		answer := h.machine.apply(entry.GetChange())
		for id, c := range h.calls {
			if c.index != entry.Index {
				continue
			}
			delete(h.calls, id)
			if c.term == entry.Term && answer != nil {
				s.acked = append(s.acked, c.id)
				if s.quiet {
					continue
				}
				s.tell("%s answers %s: accepted %t, version %d by %s", h.name, c.id, answer.Accepted, answer.Version, answer.Winner)
			}
		}
		if voters := entry.GetChange().GetVoters(); voters != nil && !s.told[fmt.Sprint("voters", entry.Index)] {
			s.told[fmt.Sprint("voters", entry.Index)] = true
			s.tell("committed at %d: voters %s, learners %s", entry.Index, ids(voters.GetVoters()), ids(voters.GetLearners()))
		}
	}
}

func ids(members []*fleetpb.Voter) string {
	names := []string{}
	for _, member := range members {
		names = append(names, member.GetMember())
	}
	return fmt.Sprint(names)
}

// propose sends an operator's text to a host.
func (s *sim) propose(name, id string, expected uint64, text string) {
	h := s.hosts[name]
	if h.node == nil {
		return
	}
	h.last++
	h.calls[h.last] = call{id: id}
	if !s.quiet {
		s.tell("operator sends %s to %s: %q on version %d", id, name, text, expected)
	}
	s.step(h, quorum.Propose{ID: h.last, Change: &fleetpb.Change{Kind: &fleetpb.Change_Apply{Apply: &fleetpb.ApplyText{
		Id: id, Expected: expected, Source: []byte(text),
	}}}})
}

func (s *sim) proposed(h *host, p quorum.Proposed) {
	c := h.calls[p.ID]
	if p.Err != nil {
		delete(h.calls, p.ID)
		if !s.quiet {
			s.tell("%s does not take %s: %v", h.name, c.id, p.Err)
		}
		return
	}
	c.index, c.term = p.Index, p.Term
	h.calls[p.ID] = c
}

// leader returns the host whose leadership is confirmed and ready, or an empty string.
func (s *sim) leader() string {
	for _, name := range s.names {
		h := s.hosts[name]
		if h.node != nil && h.node.Status().Ready && s.now < h.node.Status().Until {
			return name
		}
	}
	return ""
}

// elect runs until a leader is confirmed and returns it.
func (s *sim) elect() string {
	s.until("a leader is confirmed", func() bool { return s.leader() != "" })
	return s.leader()
}

func (s *sim) lastOf(h *host) uint64 {
	if len(h.log) == 0 {
		return h.snap.GetIndex()
	}
	return h.log[len(h.log)-1].Index
}

// votes reports whether the leader's log counts the host's present member as a voter.
func (s *sim) votes(name string) bool {
	leader := s.leader()
	return leader != "" && slices.ContainsFunc(s.hosts[leader].node.Members().GetVoters(), func(v *fleetpb.Voter) bool {
		return v.GetMember() == s.hosts[name].member
	})
}

func (s *sim) others(name string) []string {
	return slices.DeleteFunc(slices.Clone(s.names), func(other string) bool { return other == name })
}
