package quorum_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/quorum"
)

// scenario is a sequence of events whose transcript is compared with a golden file. The first line of the transcript names
// the invariant of the design page that the scenario guards.
type scenario struct {
	name   string
	guards string
	run    func(t *testing.T, s *sim)
}

func startCluster(s *sim) string {
	for _, name := range s.names {
		s.start(name)
	}
	leader := s.elect()
	s.run(time.Second)
	return leader
}

// Guards against elections, disk replacements and races that lose or revert an accepted text (invariant 14), or that let a
// stale or isolated control host accept changes.
func TestScenarios(t *testing.T) {
	scenarios := []scenario{
		{"restart", "14: an accepted configuration never reverts, over a restart after 300 changes", runRestart},
		{"isolated", "14: a control host cut off for an hour neither decides nor disturbs when it returns", runIsolated},
		{"lostdisk", "14: a lost disk, its replacement and a second loss right after the repair erase no accepted text", runLostDisk},
		{"race", "14: of two operators with equal expected versions exactly one succeeds", runRace},
		{"resend", "11: a request that is sent again after a lost answer runs once and gets the same answer", runResend},
		{"handover", "14: a leader that shuts down hands over, and claims nothing after that", runHandover},
		{"newhost", "14: a host that is not coming back is replaced by another one, which votes only when admitted and caught up", runNewHost},
		{"founding", "14: a host whose data was removed founds no second log", runBootstrap},
	}
	for _, tt := range scenarios {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(1, "a", "b", "c")
			fmt.Fprintf(&s.transcript, "Invariant %s\n\n", tt.guards)
			tt.run(t, s)
			require.Empty(t, s.violations)
			goldie.New(t).Assert(t, tt.name, []byte(s.transcript.String()))
		})
	}
}

func (s *sim) requireTexts(t *testing.T, want string, names ...string) {
	t.Helper()
	for _, name := range names {
		require.Equal(t, want, s.hosts[name].machine.text, name)
		s.logf("%s holds text %q at version %d", name, s.hosts[name].machine.text, s.hosts[name].machine.version)
	}
}

func runRestart(t *testing.T, s *sim) {
	leader := startCluster(s)
	s.terse = true
	for i := range 300 {
		s.propose(leader, fmt.Sprint("op", i), uint64(i), fmt.Sprint("text ", i))
		s.run(20 * time.Millisecond)
	}
	require.Len(t, s.acked, 300)
	for _, name := range s.names {
		s.crash(name)
	}
	for _, name := range s.names {
		s.start(name)
		require.Positive(t, s.hosts[name].snapshot.GetIndex())
	}
	s.elect()
	s.run(time.Second)
	s.requireTexts(t, "text 299", s.names...)
}

func runIsolated(t *testing.T, s *sim) {
	leader := startCluster(s)
	s.propose(leader, "op1", 0, "first")
	s.run(time.Second)
	s.isolated[leader] = true
	s.logf("%s is cut off", leader)
	s.propose(leader, "op2", 1, "never accepted")
	s.run(2 * time.Second)
	second := s.elect()
	s.propose(second, "op3", 1, "second")
	s.run(time.Hour)
	term := s.hosts[second].node.Status().Term
	s.propose(leader, "op4", 1, "still cut off")
	s.isolated[leader] = false
	s.logf("%s is back after an hour", leader)
	s.run(5 * time.Second)
	require.Equal(t, term, s.hosts[second].node.Status().Term, "the returning host caused an election")
	require.NotContains(t, s.acked, "op2")
	s.requireTexts(t, "second", s.names...)
}

func runLostDisk(t *testing.T, s *sim) {
	leader := startCluster(s)
	s.propose(leader, "op1", 0, "first")
	s.run(time.Second)
	lost := s.others(leader)[0]
	s.crash(lost)
	s.wipe(lost)
	s.propose(leader, "op2", 1, "accepted while a disk is lost")
	s.run(time.Second)
	s.start(lost)
	s.runUntil("the replacement votes", func() bool { return s.isVoter(lost) })
	s.run(200 * time.Millisecond)
	s.crash(leader)
	next := s.elect()
	s.propose(next, "op3", 2, "accepted after the second loss")
	s.run(time.Second)
	s.requireTexts(t, "accepted after the second loss", s.others(leader)...)
}

func runRace(t *testing.T, s *sim) {
	leader := startCluster(s)
	s.propose(leader, "op1", 0, "first")
	s.run(time.Second)
	s.propose(s.others(leader)[0], "op2", 1, "from the first operator")
	s.propose(leader, "op2", 1, "from the first operator")
	s.propose(leader, "op3", 1, "from the second operator")
	s.run(time.Second)
	s.requireTexts(t, "from the first operator", s.names...)
}

func runResend(t *testing.T, s *sim) {
	leader := startCluster(s)
	s.propose(leader, "op1", 0, "first")
	// Long enough for a majority to sync the entry, too short for the leader to answer.
	s.run(syncDelay + networkDelay)
	s.crash(leader)
	next := s.elect()
	s.propose(next, "op1", 0, "first")
	s.run(time.Second)
	s.propose(next, "op1", 0, "first")
	s.run(time.Second)
	s.requireTexts(t, "first", s.others(leader)...)
	require.Equal(t, uint64(1), s.hosts[next].machine.version)
}

func runHandover(t *testing.T, s *sim) {
	leader := startCluster(s)
	s.propose(leader, "op1", 0, "first")
	s.step(s.hosts[leader], quorum.Transfer{})
	require.LessOrEqual(t, s.hosts[leader].node.Status().Until, s.now)
	s.propose(leader, "op2", 1, "too late")
	s.run(100 * time.Millisecond)
	require.NotEqual(t, leader, s.elect())
	s.run(time.Second)
	s.requireTexts(t, "first", s.names...)
}

func runNewHost(t *testing.T, s *sim) {
	leader := startCluster(s)
	s.propose(leader, "op1", 0, "first")
	s.run(time.Second)
	lost := s.others(leader)[0]
	s.crash(lost)
	s.names = append(s.names, "d")
	s.hosts["d"] = &host{name: "d"}
	s.start("d")
	s.run(time.Second)
	require.Contains(t, s.hosts["d"].node.Status().Problem, "admit it first")
	s.logf("operator admits d")
	s.step(s.hosts[leader], quorum.AddLearner{ID: 1, Host: "d", Peer: "d"})
	s.runUntil("d votes", func() bool { return s.isVoter("d") })
	s.run(time.Second)
	s.logf("operator removes %s", lost)
	s.step(s.hosts[leader], quorum.Remove{ID: 2, Host: lost})
	s.run(time.Second)
	s.start(lost)
	s.run(10 * time.Second)
	require.Contains(t, s.hosts[lost].node.Status().Problem, "removed or replaced")
	require.Equal(t, leader, s.leader(), "the removed host caused an election")
	s.crash(leader)
	s.propose(s.elect(), "op2", 1, "second")
	s.run(time.Second)
	s.requireTexts(t, "second", "d")
}

func runBootstrap(t *testing.T, s *sim) {
	s.start("a")
	s.start("b")
	s.run(time.Minute)
	require.Empty(t, s.leader(), "a log was bootstrapped without all initial hosts")
	s.crash("b")
	s.run(5 * time.Second)
	s.start("c")
	s.run(time.Minute)
	require.Empty(t, s.leader(), "a log was bootstrapped while a host was down")
	s.start("b")
	leader := s.elect()
	s.propose(leader, "op1", 0, "first")
	s.run(time.Second)
	// The host that bootstrapped the log and a second one lose their disks: empty members must not outvote the third host.
	for _, name := range []string{"a", "b"} {
		s.crash(name)
		s.wipe(name)
	}
	s.start("a")
	s.start("b")
	s.run(time.Minute)
	require.Empty(t, s.leader())
	require.Equal(t, quorum.Outsider, s.hosts["a"].node.Status().Role)
}

// Guards against a new leader that treats its predecessor's lease as ended because it was cut off from the predecessor,
// although one of its voters was not. The simulation compares NoLeaderSince with the times at which earlier leaders were
// confirmed.
func TestNoLeaderSinceIsAfterLastLease(t *testing.T) {
	s := newSim(3, "a", "b", "c")
	s.terse = true
	for _, name := range s.names {
		s.start(name)
	}
	isolatedElected := 0
	for round := range 20 {
		leader := s.elect()
		follower := s.others(leader)[round%2]
		s.isolated[follower] = true
		s.run(700 * time.Millisecond)
		delete(s.isolated, follower)
		s.crash(leader)
		if s.elect() == follower {
			isolatedElected++
		}
		s.start(leader)
		s.run(2 * time.Second)
		require.Empty(t, s.violations, s.transcript.String())
	}
	require.Positive(t, isolatedElected, "no member that was cut off became the leader")
}
