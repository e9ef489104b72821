package quorum_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/quorum"
)

// session is a golden story; its first line names the invariant of the design page that it guards.
type session struct {
	name   string
	guards string
	play   func(t *testing.T, s *sim)
}

func begin(s *sim) string {
	for _, name := range s.names {
		s.start(name)
	}
	leader := s.elect()
	s.run(time.Second)
	return leader
}

// Guards against a changed outcome of elections, repairs and races: an accepted text that is lost or reverts (invariant
// 14), and a stale or isolated control host that still decides.
func TestSessions(t *testing.T) {
	sessions := []session{
		{"restart", "14: an accepted configuration never reverts, over a restart after 300 changes", playRestart},
		{"isolated", "14: a control host cut off for an hour neither decides nor disturbs when it returns", playIsolated},
		{"lostdisk", "14: a lost disk, its replacement and a second loss right after the repair erase no accepted text", playLostDisk},
		{"race", "14: of two operators with equal expected versions exactly one succeeds", playRace},
		{"resend", "11: a request that is sent again after a lost answer runs once and gets the same answer", playResend},
		{"handover", "14: a leader that shuts down hands over, and claims nothing after that", playHandover},
		{"newhost", "14: a host that is not coming back is replaced by another one, which votes only when admitted and caught up", playNewHost},
		{"founding", "14: a host whose data was removed founds no second log", playFounding},
	}
	for _, tt := range sessions {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(1, "a", "b", "c")
			fmt.Fprintf(&s.story, "Invariant %s\n\n", tt.guards)
			tt.play(t, s)
			require.Empty(t, s.broken)
			goldie.New(t).Assert(t, tt.name, []byte(s.story.String()))
		})
	}
}

func (s *sim) texts(t *testing.T, want string, names ...string) {
	t.Helper()
	for _, name := range names {
		require.Equal(t, want, s.hosts[name].machine.text, name)
		s.tell("%s holds text %q at version %d", name, s.hosts[name].machine.text, s.hosts[name].machine.version)
	}
}

func playRestart(t *testing.T, s *sim) {
	leader := begin(s)
	s.quiet = true
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
		require.Positive(t, s.hosts[name].snap.GetIndex())
	}
	s.elect()
	s.run(time.Second)
	s.texts(t, "text 299", s.names...)
}

func playIsolated(t *testing.T, s *sim) {
	leader := begin(s)
	s.propose(leader, "op1", 0, "first")
	s.run(time.Second)
	s.cut[leader] = true
	s.tell("%s is cut off", leader)
	s.propose(leader, "op2", 1, "never accepted")
	s.run(2 * time.Second)
	second := s.elect()
	s.propose(second, "op3", 1, "second")
	s.run(time.Hour)
	term := s.hosts[second].node.Status().Term
	s.propose(leader, "op4", 1, "still cut off")
	s.cut[leader] = false
	s.tell("%s is back after an hour", leader)
	s.run(5 * time.Second)
	require.Equal(t, term, s.hosts[second].node.Status().Term, "the returning host disturbed the leader")
	require.NotContains(t, s.acked, "op2")
	s.texts(t, "second", s.names...)
}

func playLostDisk(t *testing.T, s *sim) {
	leader := begin(s)
	s.propose(leader, "op1", 0, "first")
	s.run(time.Second)
	lost := s.others(leader)[0]
	s.crash(lost)
	s.wipe(lost)
	s.propose(leader, "op2", 1, "accepted while a disk is lost")
	s.run(time.Second)
	s.start(lost)
	s.until("the replacement votes", func() bool { return s.votes(lost) })
	s.run(200 * time.Millisecond)
	s.crash(leader)
	next := s.elect()
	s.propose(next, "op3", 2, "accepted after the second loss")
	s.run(time.Second)
	s.texts(t, "accepted after the second loss", s.others(leader)...)
}

func playRace(t *testing.T, s *sim) {
	leader := begin(s)
	s.propose(leader, "op1", 0, "first")
	s.run(time.Second)
	s.propose(s.others(leader)[0], "op2", 1, "from the first operator")
	s.propose(leader, "op2", 1, "from the first operator")
	s.propose(leader, "op3", 1, "from the second operator")
	s.run(time.Second)
	s.texts(t, "from the first operator", s.names...)
}

func playResend(t *testing.T, s *sim) {
	leader := begin(s)
	s.propose(leader, "op1", 0, "first")
	// The entry is synced on a majority before the leader can answer.
	s.run(sync + hop)
	s.crash(leader)
	next := s.elect()
	s.propose(next, "op1", 0, "first")
	s.run(time.Second)
	s.propose(next, "op1", 0, "first")
	s.run(time.Second)
	s.texts(t, "first", s.others(leader)...)
	require.Equal(t, uint64(1), s.hosts[next].machine.version)
}

func playHandover(t *testing.T, s *sim) {
	leader := begin(s)
	s.propose(leader, "op1", 0, "first")
	s.step(s.hosts[leader], quorum.Transfer{})
	require.LessOrEqual(t, s.hosts[leader].node.Status().Until, s.now)
	s.propose(leader, "op2", 1, "too late")
	s.run(100 * time.Millisecond)
	require.NotEqual(t, leader, s.elect())
	s.run(time.Second)
	s.texts(t, "first", s.names...)
}

func playNewHost(t *testing.T, s *sim) {
	leader := begin(s)
	s.propose(leader, "op1", 0, "first")
	s.run(time.Second)
	lost := s.others(leader)[0]
	s.crash(lost)
	s.names = append(s.names, "d")
	s.hosts["d"] = &host{name: "d"}
	s.start("d")
	s.run(time.Second)
	require.Contains(t, s.hosts["d"].node.Status().Problem, "admit it first")
	s.tell("operator admits d")
	s.step(s.hosts[leader], quorum.AddLearner{ID: 1, Host: "d", Peer: "d"})
	s.until("d votes", func() bool { return s.votes("d") })
	s.run(time.Second)
	s.tell("operator removes %s", lost)
	s.step(s.hosts[leader], quorum.Remove{ID: 2, Host: lost})
	s.run(time.Second)
	s.start(lost)
	s.run(10 * time.Second)
	require.Contains(t, s.hosts[lost].node.Status().Problem, "removed or replaced")
	require.Equal(t, leader, s.leader(), "the removed host disturbed the leader")
	s.crash(leader)
	s.propose(s.elect(), "op2", 1, "second")
	s.run(time.Second)
	s.texts(t, "second", "d")
}

func playFounding(t *testing.T, s *sim) {
	s.start("a")
	s.start("b")
	s.run(time.Minute)
	require.Empty(t, s.leader(), "a log was founded without all initial hosts")
	s.crash("b")
	s.run(5 * time.Second)
	s.start("c")
	s.run(time.Minute)
	require.Empty(t, s.leader(), "a log was founded with a host that is down")
	s.start("b")
	leader := s.elect()
	s.propose(leader, "op1", 0, "first")
	s.run(time.Second)
	// The founder and a second host lose their disks: the third one alone must not be outvoted by empty members.
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

// Guards against a leader that takes the lease of the one before it for ended because it has not heard from that leader for
// long itself, while a voter of its has. The simulation compares each leader's time with when the others were confirmed.
func TestVacantSinceTheLastLease(t *testing.T) {
	s := newSim(3, "a", "b", "c")
	s.quiet = true
	for _, name := range s.names {
		s.start(name)
	}
	lonely := 0
	for round := range 20 {
		leader := s.elect()
		follower := s.others(leader)[round%2]
		s.cut[follower] = true
		s.run(700 * time.Millisecond)
		delete(s.cut, follower)
		s.crash(leader)
		if s.elect() == follower {
			lonely++
		}
		s.start(leader)
		s.run(2 * time.Second)
		require.Empty(t, s.broken, s.story.String())
	}
	require.Positive(t, lonely, "no member that was cut off came to lead")
}
