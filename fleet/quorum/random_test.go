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

// Guards against schedules of message loss, partitions, crashes and lost disks in which two members lead the same term or
// are confirmed at once, logs differ, or an acknowledged change is lost.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkRandomSchedule(t, newSim(rapid.Uint64().Draw(t, "seed"), "a", "b", "c"))
	})
}

// Guards against the same violations while the leader chooses five voters among six hosts, and against a choice that leaves a
// host out for good.
func TestRandomSchedulesOfSixHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSixHosts(rapid.Uint64().Draw(t, "seed"))
		s.schedule(enrollInterval, s.restartRemoved)
		checkRandomSchedule(t, s)
	})
}

func checkRandomSchedule(t *rapid.T, s *sim) {
	s.terse = true
	// Snapshots are frequent, so members often need one.
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
		if len(s.violations) > 0 {
			t.Fatalf("%v\n%s", s.violations, s.transcript.String())
		}
	}
	s.checkRecovery(t)
}

// randomStep applies one random event to the fleet. A disk is lost only while all hosts are fully replicated, as the log
// cannot survive the loss of a majority.
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
		s.isolated[name] = true
		s.logf("%s is cut off", name)
	case "heal":
		s.healAndRestart()
		s.run(3 * time.Second)
	case "crash":
		if h.node != nil {
			s.crash(name)
		} else {
			s.start(name)
		}
	case "wipe":
		if s.fullyReplicated() && h.node != nil {
			s.crash(name)
			s.wipe(name)
		}
	case "transfer":
		s.step(h, quorum.Transfer{})
	}
}

// healAndRestart reconnects all hosts and starts those that are down.
func (s *sim) healAndRestart() {
	clear(s.isolated)
	s.logf("all are connected")
	for _, name := range s.names {
		if s.hosts[name].node == nil {
			s.start(name)
		}
	}
}

// fullyReplicated reports whether all hosts are members under their current member ids and have applied all committed entries,
// and as many of them vote as the policy allows.
func (s *sim) fullyReplicated() bool {
	leader := s.leader()
	if leader == "" {
		return false
	}
	voters := 0
	for _, name := range s.names {
		if s.isVoter(name) {
			voters++
		}
		if !s.isMember(name) || s.hosts[name].applied < uint64(len(s.committed)) {
			return false
		}
	}
	return voters == s.wantedVoters()
}

// checkLogs reports logs that contain an entry with the same index and term but differ before it.
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
			s.violation("%s and %s differ at %d before a common entry", a.name, b.name, entry.Index)
			return
		}
		matched = matched || entry.Term == b.log[at].Term
	}
}

// checkRecovery ends all faults and requires that the fleet accepts a change and has every acknowledged change.
func (s *sim) checkRecovery(t *rapid.T) {
	s.loss = 0
	s.healAndRestart()
	s.runUntil("all members vote", s.fullyReplicated)
	require.Empty(t, s.violations, s.transcript.String())
	leader := s.leader()
	s.propose(leader, "last", 0, "text")
	s.runUntil("the last change is applied everywhere", func() bool { return slices.Contains(s.acked, "last") && s.fullyReplicated() })
	for _, name := range s.names {
		for _, id := range s.acked {
			require.Contains(t, s.hosts[name].machine.answers, id, "%s lost an acknowledged change\n%s", name, s.transcript.String())
		}
	}
	require.Empty(t, s.violations, s.transcript.String())
}
