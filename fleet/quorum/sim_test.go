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
	networkDelay = 5 * time.Millisecond
	syncDelay    = 2 * time.Millisecond
)

// host is a simulated control host. Its synced state survives a crash, all other state is lost.
type host struct {
	name string
	// zone and region are where the host runs; replacement is set on a host that joins an existing log.
	zone, region string
	replacement  bool
	// diskDelay is added to syncDelay.
	diskDelay time.Duration
	member    string
	hardState *fleetpb.HardState
	snapshot  *fleetpb.Snapshot
	log       []*fleetpb.Entry

	node    *quorum.Node
	machine *stateMachine
	// Number of crashes; syncs and messages from before the last one are dropped.
	crashes  int
	calls    map[uint64]call
	lastCall uint64
	// Index of the last entry that the state machine has applied.
	applied uint64
	role    string
}

// call is a proposal that a host has not answered yet; index and term are those of its entry.
type call struct {
	index, term uint64
	id          string
}

// event is a function to be called at a later logical time.
type event struct {
	at  ident.Time
	seq int
	fn  func()
}

// sim runs hosts on a simulated network that delays, loses and duplicates messages.
type sim struct {
	now             ident.Time
	hosts           map[string]*host
	names           []string
	random          *rand.Rand
	events          []event
	seq             int
	lastIncarnation uint64
	loss            float64 // The probability that a message is lost.
	isolated        map[string]bool
	// side separates the hosts into two groups that cannot reach each other; it is empty while there is no split.
	side map[string]bool
	// cut holds the pairs of hosts whose link is down, in both orders.
	cut map[[2]string]bool
	// seeds are the hosts that a host without a log knows when it starts.
	seeds      []string
	terse      bool // Leaves proposals, their answers and messages out of the transcript.
	bounds     quorum.Bounds
	transcript strings.Builder
	logged     map[string]bool
	leaders    map[uint64]string
	// confirmed is when each term's leader was last confirmed.
	confirmed  map[uint64]ident.Time
	committed  map[uint64]*fleetpb.Entry
	acked      []string
	violations []string
}

func newSim(seed uint64, names ...string) *sim {
	s := &sim{
		hosts:     map[string]*host{},
		names:     names,
		random:    rand.New(rand.NewPCG(seed, 1)),
		isolated:  map[string]bool{},
		side:      map[string]bool{},
		seeds:     names[:min(3, len(names))],
		logged:    map[string]bool{},
		leaders:   map[uint64]string{},
		confirmed: map[uint64]ident.Time{},
		committed: map[uint64]*fleetpb.Entry{},
		bounds:    quorum.DefaultBounds,
	}
	for _, name := range names {
		s.hosts[name] = &host{name: name}
	}
	return s
}

func (s *sim) logf(format string, args ...any) {
	fmt.Fprintf(&s.transcript, "%9.3fs  %s\n", time.Duration(s.now).Seconds(), fmt.Sprintf(format, args...))
}

func (s *sim) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *sim) start(name string) {
	h := s.hosts[name]
	if h.member == "" {
		s.lastIncarnation++
		h.member = quorum.MemberID(ident.Host(name), s.lastIncarnation)
		s.logf("%s starts with an empty folder as %s", name, h.member)
	} else {
		s.logf("%s starts with snapshot %d and entries up to %d", name, h.snapshot.GetIndex(), s.lastIndex(h))
	}
	var peers []*fleetpb.Voter
	for _, peer := range s.seeds {
		peers = append(peers, &fleetpb.Voter{Host: peer, Peer: peer})
	}
	node, actions, err := quorum.New(s.now, quorum.Options{
		Self:         &fleetpb.Voter{Host: name, Peer: name, Member: h.member, Zone: h.zone, Region: h.region},
		InitialHosts: peers,
		Replacement:  h.replacement,
		Seed:         7,
		Bounds:       s.bounds,
		HardState:    h.hardState,
		Snapshot:     h.snapshot,
		Entries:      slices.Clone(h.log),
	})
	if err != nil {
		s.violation("%s: %v", name, err)
		return
	}
	h.node, h.calls, h.role, h.applied = node, map[uint64]call{}, "", 0
	h.machine = &stateMachine{answers: map[string]*fleetpb.ApplyResponse{}}
	s.perform(h, actions)
	s.schedule(quorum.DefaultBounds.Tick, func() { s.tick(h, h.crashes) })
}

func (s *sim) crash(name string) {
	h := s.hosts[name]
	h.node = nil
	h.crashes++
	s.logf("%s stops", name)
}

func (s *sim) wipe(name string) {
	h := s.hosts[name]
	h.member, h.hardState, h.snapshot, h.log = "", nil, nil, nil
	s.logf("%s loses its disk", name)
}

func (s *sim) tick(h *host, crashes int) {
	if h.node == nil || h.crashes != crashes {
		return
	}
	s.step(h, quorum.Tick{})
	s.schedule(quorum.DefaultBounds.Tick, func() { s.tick(h, crashes) })
}

func (s *sim) step(h *host, inputs ...quorum.Input) {
	if h.node != nil {
		s.perform(h, h.node.Step(s.now, inputs...))
	}
}

func (s *sim) schedule(delay time.Duration, fn func()) {
	s.seq++
	e := event{s.now.Add(delay), s.seq, fn}
	at := sort.Search(len(s.events), func(i int) bool { return s.events[i].at > e.at })
	s.events = slices.Insert(s.events, at, e)
}

// run advances logical time and runs the events that become due.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && s.events[0].at <= end {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.fn()
	}
	s.now = end
}

// runUntil runs until a condition holds, and records a violation if it does not hold within a minute.
func (s *sim) runUntil(what string, condition func() bool) {
	for range 6000 {
		if condition() {
			return
		}
		s.run(10 * time.Millisecond)
	}
	s.violation("not within a minute: %s", what)
}

func (s *sim) perform(h *host, actions []quorum.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case quorum.Persist:
			crashes := h.crashes
			s.schedule(syncDelay+h.diskDelay, func() { s.synced(h, crashes, action) })
		case quorum.Send:
			s.send(h, action)
		case quorum.Apply:
			s.apply(h, action.Entries)
		case quorum.Restore:
			h.machine, h.applied = restoreStateMachine(action.Snapshot.GetState()), action.Snapshot.GetIndex()
			s.logf("%s restores snapshot %d, text %q at version %d", h.name, action.Snapshot.GetIndex(), h.machine.text, h.machine.version)
		case quorum.TakeSnapshot:
			s.schedule(0, func() { s.step(h, quorum.Compact{Index: action.Index, State: h.machine.snapshot()}) })
		case quorum.Proposed:
			s.proposed(h, action)
		case quorum.RoleChange:
			s.roleChanged(h, action.Status)
		}
	}
	s.checkLeases()
}

// synced stores a Persist on the simulated disk; before this, a crash loses all of it.
func (s *sim) synced(h *host, crashes int, p quorum.Persist) {
	if h.crashes != crashes || h.member == "" {
		return
	}
	if p.HardState != nil {
		h.hardState = p.HardState
	}
	if p.Snapshot != nil {
		h.snapshot = p.Snapshot
	}
	if p.Reset {
		h.log = nil
	}
	if len(p.Entries) > 0 {
		h.log = slices.DeleteFunc(slices.Clone(h.log), func(e *fleetpb.Entry) bool { return e.Index >= p.Entries[0].Index })
		h.log = append(h.log, p.Entries...)
	}
	h.log = slices.DeleteFunc(slices.Clone(h.log), func(e *fleetpb.Entry) bool { return e.Index < p.DeleteBelow })
	s.step(h, quorum.Persisted{Seq: p.Seq})
}

func (s *sim) send(from *host, send quorum.Send) {
	to := s.hosts[send.Peer]
	m := proto.CloneOf(send.Message)
	s.logMessage(from.name, to.name, m)
	crashes := to.crashes
	// One message in 20 is sent twice.
	for range 1 + s.random.IntN(20)/19 {
		if s.random.Float64() < s.loss {
			continue
		}
		delay := networkDelay + time.Duration(s.random.Int64N(int64(networkDelay)))
		s.schedule(delay, func() {
			if to.crashes == crashes && s.connected(from.name, to.name) {
				s.step(to, quorum.Receive{Message: m})
			}
		})
	}
}

// connected reports whether messages between two hosts arrive.
func (s *sim) connected(a, b string) bool {
	return !s.isolated[a] && !s.isolated[b] && s.side[a] == s.side[b] && !s.cut[[2]string{a, b}]
}

// logMessage logs messages about elections and snapshots; repeated messages are logged once per term.
func (s *sim) logMessage(from, to string, m *fleetpb.Message) {
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
	if line != "" && !s.terse && !s.logged[line] {
		s.logged[line] = true
		s.logf("%s", strings.TrimSpace(line))
	}
}

func (s *sim) roleChanged(h *host, status quorum.Status) {
	role := fmt.Sprintf("%s in term %d", status.Role, status.Term)
	if role != h.role {
		s.logf("%s is %s", h.name, role)
	}
	h.role = role
	if status.Role != quorum.Leader {
		return
	}
	if old, led := s.leaders[status.Term]; led && old != h.member {
		s.violation("term %d has two leaders, %s and %s", status.Term, old, h.member)
	}
	s.leaders[status.Term] = h.member
}

// checkLeases records a violation when two members are confirmed leaders at once, or when a leader treats the lease of an
// earlier leader as ended too early.
func (s *sim) checkLeases() {
	confirmed := ""
	for _, name := range s.names {
		h := s.hosts[name]
		if h.node == nil {
			continue
		}
		status := h.node.Status()
		if status.Role == quorum.Leader {
			s.checkNoLeaderSince(name, status)
		}
		if s.now >= status.Until {
			continue
		}
		s.confirmed[status.Term] = s.now
		if confirmed != "" {
			s.violation("at %v both %s and %s are confirmed", time.Duration(s.now), confirmed, name)
		}
		confirmed = name
	}
}

func (s *sim) checkNoLeaderSince(name string, status quorum.Status) {
	if status.NoLeaderSince > status.Since {
		s.violation("%s reports no leader since %v, later than it became the leader at %v", name, time.Duration(status.NoLeaderSince), time.Duration(status.Since))
	}
	for term, at := range s.confirmed {
		if term < status.Term && at >= status.NoLeaderSince {
			s.violation("%s reports no leader since %v, but the leader of term %d was confirmed at %v", name, time.Duration(status.NoLeaderSince), term, time.Duration(at))
		}
	}
}

func (s *sim) apply(h *host, entries []*fleetpb.Entry) {
	for _, entry := range entries {
		if committed := s.committed[entry.Index]; committed != nil && !proto.Equal(committed, entry) {
			s.violation("%s applies %v, but %v was applied before", h.name, entry, committed)
		}
		s.committed[entry.Index] = entry
		if entry.Index != h.applied+1 {
			s.violation("%s applies %d after %d", h.name, entry.Index, h.applied)
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
				if s.terse {
					continue
				}
				s.logf("%s answers %s: accepted %t, version %d by %s", h.name, c.id, answer.Accepted, answer.Version, answer.Winner)
			}
		}
		if voters := entry.GetChange().GetVoters(); voters != nil && !s.logged[fmt.Sprint("voters", entry.Index)] {
			s.logged[fmt.Sprint("voters", entry.Index)] = true
			s.logf("committed at %d: voters %s, learners %s", entry.Index, ids(voters.GetVoters()), ids(voters.GetLearners()))
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
	h.lastCall++
	h.calls[h.lastCall] = call{id: id}
	if !s.terse {
		s.logf("operator sends %s to %s: %q on version %d", id, name, text, expected)
	}
	s.step(h, quorum.Propose{ID: h.lastCall, Change: &fleetpb.Change{Kind: &fleetpb.Change_Apply{Apply: &fleetpb.ApplyText{
		Id: id, Expected: expected, Source: []byte(text),
	}}}})
}

func (s *sim) proposed(h *host, p quorum.Proposed) {
	c := h.calls[p.ID]
	if p.Err != nil {
		delete(h.calls, p.ID)
		if !s.terse {
			s.logf("%s does not take %s: %v", h.name, c.id, p.Err)
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
	s.runUntil("a leader is confirmed", func() bool { return s.leader() != "" })
	return s.leader()
}

func (s *sim) lastIndex(h *host) uint64 {
	if len(h.log) == 0 {
		return h.snapshot.GetIndex()
	}
	return h.log[len(h.log)-1].Index
}

// isVoter reports whether the host's current member is a voter in the leader's log.
func (s *sim) isVoter(name string) bool {
	leader := s.leader()
	return leader != "" && slices.ContainsFunc(s.hosts[leader].node.Members().GetVoters(), func(v *fleetpb.Voter) bool {
		return v.GetMember() == s.hosts[name].member
	})
}

// isMember reports whether the host's current member is a voter or a learner in the leader's log.
func (s *sim) isMember(name string) bool {
	leader := s.leader()
	return leader != "" && s.hosts[leader].node.Members() != nil && slices.ContainsFunc(
		slices.Concat(s.hosts[leader].node.Members().GetVoters(), s.hosts[leader].node.Members().GetLearners()),
		func(v *fleetpb.Voter) bool { return v.GetMember() == s.hosts[name].member },
	)
}

// wantedVoters is the number of voters once all hosts run.
func (s *sim) wantedVoters() int {
	if limit := s.bounds.Voters.MaxVoters; limit > 0 {
		return min(limit, len(s.names))
	}
	return len(s.names)
}

func (s *sim) others(name string) []string {
	return slices.DeleteFunc(slices.Clone(s.names), func(other string) bool { return other == name })
}
