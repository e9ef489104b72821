package quorum_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/quorum"
)

// Guards against schedules of losses, cuts, crashes and lost disks under which two members lead a term or are confirmed
// at once, logs differ, or an acknowledged change is lost.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), "a", "b", "c")
		s.quiet = true
		// Snapshots are frequent, so that members often need one.
		s.bounds.Compact, s.bounds.Trailing, s.bounds.Batch = 16, 4, 8
		s.loss = float64(rapid.IntRange(0, 30).Draw(t, "loss")) / 100
		for _, name := range s.names {
			s.start(name)
		}
		steps := rapid.IntRange(30, 90).Draw(t, "steps")
		for i := range steps {
			s.randomStep(t, i)
			s.run(time.Duration(s.random.IntN(400)) * time.Millisecond)
			s.checkLogs()
			if len(s.broken) > 0 {
				t.Fatalf("%v\n%s", s.broken, s.story.String())
			}
		}
		s.settle(t)
	})
}

// randomStep does one thing to the fleet. A disk is lost only while the others are in use, as the log cannot survive
// the loss of a majority.
func (s *sim) randomStep(t *rapid.T, i int) {
	name := rapid.SampledFrom(s.names).Draw(t, "host")
	h := s.hosts[name]
	switch rapid.SampledFrom([]string{"propose", "propose", "run", "run", "cut", "heal", "crash", "wipe", "transfer"}).Draw(t, "step") {
	case "propose":
		if leader := s.leader(); leader != "" {
			name = leader
		}
		for j := range rapid.SampledFrom([]int{1, 3, 10, 40}).Draw(t, "count") {
			s.propose(name, fmt.Sprint("op", i, ".", j), 0, "text")
		}
	case "run":
		s.run(time.Duration(rapid.SampledFrom([]int{1, 10, 50, 200, 700, 1500, 3000}).Draw(t, "ms")) * time.Millisecond)
	case "cut":
		s.cut[name] = true
		s.tell("%s is cut off", name)
	case "heal":
		s.heal()
		s.run(3 * time.Second)
	case "crash":
		if h.node != nil {
			s.crash(name)
		} else {
			s.start(name)
		}
	case "wipe":
		if s.repaired() && h.node != nil {
			s.crash(name)
			s.wipe(name)
		}
	case "transfer":
		s.step(h, quorum.Transfer{})
	}
}

// heal connects all hosts and starts those that are down.
func (s *sim) heal() {
	clear(s.cut)
	s.tell("all are connected")
	for _, name := range s.names {
		if s.hosts[name].node == nil {
			s.start(name)
		}
	}
}

// repaired reports whether the leader's voters are the present members, with all of them holding what is committed.
func (s *sim) repaired() bool {
	leader := s.leader()
	if leader == "" {
		return false
	}
	for _, name := range s.names {
		if !s.votes(name) || s.hosts[name].applied < uint64(len(s.chosen)) {
			return false
		}
	}
	return true
}

// checkLogs requires logs that share an entry's index and term to be equal up to there.
func (s *sim) checkLogs() {
	for i, name := range s.names {
		for _, other := range s.names[i+1:] {
			s.checkPair(s.hosts[name], s.hosts[other])
		}
	}
}

func (s *sim) checkPair(a, b *host) {
	matched := false
	for _, entry := range slices.Backward(a.log) {
		at := slices.IndexFunc(b.log, func(e *fleetpb.Entry) bool { return e.Index == entry.Index })
		if at < 0 {
			continue
		}
		if matched && !proto.Equal(entry, b.log[at]) {
			s.fault("%s and %s differ at %d before a common entry", a.name, b.name, entry.Index)
			return
		}
		matched = matched || entry.Term == b.log[at].Term
	}
}

// settle ends all faults and requires that the fleet works and every acknowledged change is there.
func (s *sim) settle(t *rapid.T) {
	s.loss = 0
	s.heal()
	s.until("all members vote", s.repaired)
	require.Empty(t, s.broken, s.story.String())
	leader := s.leader()
	s.propose(leader, "last", 0, "text")
	s.until("the last change is applied everywhere", func() bool { return slices.Contains(s.acked, "last") && s.repaired() })
	for _, name := range s.names {
		for _, id := range s.acked {
			require.Contains(t, s.hosts[name].machine.answers, id, "%s lost an acknowledged change\n%s", name, s.story.String())
		}
	}
	require.Empty(t, s.broken, s.story.String())
}
