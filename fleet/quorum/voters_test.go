package quorum_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/quorum"
)

// enrollInterval is the interval at which the simulated hosts that are not members ask for membership.
const enrollInterval = 200 * time.Millisecond

// removedTimeout is the time without a leader's message after which a host with a log asks whether it is still a member.
const removedTimeout = time.Second

// newSixHosts returns a simulation of hosts in three regions with two availability zones each. The hosts a, b and c bootstrap the
// log; each of d, e and f is in the region of one of them. Two losses at once must be borne.
func newSixHosts(seed uint64) *sim {
	s := newSim(seed, "a", "b", "c", "d", "e", "f")
	for i, name := range s.names {
		s.hosts[name].zone, s.hosts[name].region = fmt.Sprint("zone-", i), fmt.Sprint("region-", i%3)
	}
	s.bounds.Voters = quorum.VoterPolicy{
		MaxVoters: 5, AwayLimit: catchUpTime / 2, SettleTime: 12 * time.Second, LearnerLimit: 5 * time.Minute,
	}
	s.schedule(enrollInterval, s.enroll)
	return s
}

// startSixHosts returns the simulation after its hosts have had the time to choose five voters.
func startSixHosts(seed uint64) *sim {
	s := newSixHosts(seed)
	s.terse = true
	for _, name := range s.names {
		s.start(name)
	}
	s.run(5 * time.Second)
	return s
}

// addSuccessor adds a host in the place of another one and starts it with an empty folder.
func (s *sim) addSuccessor(name, successor string) {
	s.names = append(slices.Clone(s.names), successor)
	s.hosts[successor] = &host{name: successor, zone: s.hosts[name].zone, region: s.hosts[name].region, replacement: true}
	s.start(successor)
}

// endForGood stops a host that never returns.
func (s *sim) endForGood(name string) {
	s.crash(name)
	s.names = slices.DeleteFunc(slices.Clone(s.names), func(other string) bool { return other == name })
}

// enroll asks the leader to add each host that is told to be admitted first.
func (s *sim) enroll() {
	for _, name := range s.names {
		h := s.hosts[name]
		if leader := s.leader(); leader != "" && h.node != nil && strings.Contains(h.node.Status().Problem, "admit it first") {
			s.step(s.hosts[leader], quorum.AddLearner{ID: 1 << 32, Host: name, Peer: name, Zone: h.zone, Region: h.region})
		}
	}
	s.schedule(enrollInterval, s.enroll)
}

// restartRemoved plays the part of the program for a host whose log no leader counts as a member's, such as a learner whose admission
// was never committed: it starts again with an empty folder.
func (s *sim) restartRemoved() {
	for _, name := range s.names {
		h := s.hosts[name]
		leader := s.leader()
		if h.node == nil || h.node.Members() == nil || leader == "" || leader == name || !s.connected(name, leader) {
			continue
		}
		if s.now.Sub(h.node.Status().LeaderContact) <= removedTimeout || s.isMember(name) {
			continue
		}
		s.logf("%s is told that it is no member", name)
		s.crash(name)
		s.wipe(name)
		h.replacement = true
		s.start(name)
	}
	s.schedule(enrollInterval, s.restartRemoved)
}

// voters returns the names of the voters' hosts in the leader's log.
func (s *sim) voters() []string {
	var names []string
	for _, voter := range s.hosts[s.elect()].node.Members().GetVoters() {
		names = append(names, voter.GetHost())
	}
	slices.Sort(names)
	return names
}

// bearable returns the number of further losses that leave a majority of the voters.
func (s *sim) bearable() int {
	running := 0
	voters := s.voters()
	for _, name := range voters {
		if s.hosts[name].node != nil && s.isVoter(name) && !s.isolated[name] {
			running++
		}
	}
	return running - (len(voters)/2 + 1)
}

// accepts reports whether a change is acknowledged within a few seconds.
func (s *sim) accepts(id string) bool {
	s.propose(s.elect(), id, s.hosts[s.leader()].machine.version, id)
	s.run(3 * time.Second)
	return slices.Contains(s.acked, id)
}

// Guards against a core that stops or loses an accepted configuration at the loss of two hosts or of a region, because fewer
// hosts vote than that loss needs, and against a choice of voters that gives up hosts that only restart.
func TestVoters(t *testing.T) {
	scenarios := []scenario{
		{"bootstrap", "14: hosts that are not seeds vote, spread over the regions, so that two losses at once are borne", runSixBootstrap},
		{"region", "14: the loss of a region leaves a core that accepts changes", runRegionLost},
		{"wiped", "14: all hosts lose power and two that held the last accepted text return empty", runTwoWiped},
		{"replaced", "14: a host at another address is ready to vote before the next losses, and the one that it replaces has no vote", runHostReplaced},
		{"rolling", "14: hosts that restart in turn keep their votes", runRolling},
		{"slow", "14: hosts that restart more slowly than any limit give their votes away and keep their logs", runSlowRolling},
		{"removed", "14: a host that was away for so long that it was removed rejoins with an empty folder", runLearnerRemoved},
	}
	for _, tt := range scenarios {
		t.Run(tt.name, func(t *testing.T) {
			s := newSixHosts(1)
			s.terse = true
			fmt.Fprintf(&s.transcript, "Invariant %s\n\n", tt.guards)
			for _, name := range s.names {
				s.start(name)
			}
			s.run(5 * time.Second)
			require.Len(t, s.voters(), 5)
			tt.run(t, s)
			require.Empty(t, s.violations)
			goldie.New(t).Assert(t, "voters-"+tt.name, []byte(s.transcript.String()))
		})
	}
}

func runSixBootstrap(t *testing.T, s *sim) {
	require.Equal(t, 2, s.bearable())
	leader := s.elect()
	other := slices.DeleteFunc(s.voters(), func(name string) bool { return name == leader })[0]
	s.crash(leader)
	s.crash(other)
	require.True(t, s.accepts("op1"))
}

func runRegionLost(t *testing.T, s *sim) {
	for region := range 3 {
		for i, name := range s.names {
			if i%3 == region {
				s.crash(name)
			}
		}
		require.True(t, s.accepts(fmt.Sprint("op", region)), "without region %d", region)
		s.healAndRestart()
		s.run(3 * time.Second)
	}
}

func runTwoWiped(t *testing.T, s *sim) {
	leader := s.elect()
	s.propose(leader, "op1", 0, "accepted")
	s.runUntil("the text is accepted", func() bool { return slices.Contains(s.acked, "op1") })
	var holders []string
	for _, name := range s.voters() {
		if s.lastIndex(s.hosts[name]) == s.lastIndex(s.hosts[leader]) {
			holders = append(holders, name)
		}
	}
	for _, name := range s.names {
		s.crash(name)
	}
	for _, name := range holders[:2] {
		s.wipe(name)
		s.hosts[name].replacement = true
	}
	for _, name := range s.names {
		s.start(name)
	}
	s.elect()
	s.run(5 * time.Second)
	s.requireTexts(t, "accepted", s.names...)
	require.Equal(t, 2, s.bearable())
}

func runHostReplaced(t *testing.T, s *sim) {
	leader := s.elect()
	lost := slices.DeleteFunc(s.voters(), func(name string) bool { return name == leader })[0]
	s.endForGood(lost)
	s.addSuccessor(lost, "g")
	s.run(4 * time.Second)
	require.True(t, s.isMember("g"))
	require.NotContains(t, s.voters(), lost)
	require.Equal(t, 2, s.bearable())
	others := slices.DeleteFunc(s.voters(), func(name string) bool { return name == "g" })
	for _, name := range others[:2] {
		s.crash(name)
	}
	require.True(t, s.accepts("op1"))
	s.run(catchUpTime)
	require.Contains(t, s.voters(), "g")
}

func runRolling(t *testing.T, s *sim) {
	before := s.voters()
	for _, name := range s.names {
		s.crash(name)
		s.run(2 * time.Second)
		require.GreaterOrEqual(t, s.bearable(), 1)
		s.start(name)
		s.run(3 * time.Second)
	}
	require.Equal(t, before, s.voters())
	require.Equal(t, 2, s.bearable())
}

func runSlowRolling(t *testing.T, s *sim) {
	members := map[string]string{}
	for _, name := range s.names {
		members[name] = s.hosts[name].member
		s.crash(name)
		s.run(20 * time.Second)
		require.Equal(t, 2, s.bearable(), "while %s is down\n%s", name, s.transcript.String())
		s.start(name)
		s.run(3 * time.Second)
		require.True(t, s.accepts("op-"+name))
	}
	for _, name := range s.names {
		require.Equal(t, members[name], s.hosts[name].member)
		require.True(t, s.isMember(name), name)
	}
	require.Equal(t, 2, s.bearable())
}

func runLearnerRemoved(t *testing.T, s *sim) {
	away := s.voters()[1]
	s.crash(away)
	s.run(6 * time.Minute)
	require.False(t, s.isMember(away))
	s.start(away)
	s.run(3 * time.Second)
	require.False(t, s.isMember(away))
	s.crash(away)
	s.wipe(away)
	s.hosts[away].replacement = true
	s.start(away)
	s.run(3 * time.Second)
	require.True(t, s.isMember(away))
	require.Equal(t, 2, s.bearable())
}

// Guards against a host that is gone for good and keeps its vote beyond the time after which the next losses are permitted, because
// its successor took the vote of another host that was away for a moment.
func TestVoteOfGoneHostIsTakenOverInTime(t *testing.T) {
	s := startSixHosts(1)
	voters := slices.DeleteFunc(s.voters(), func(name string) bool { return name == s.elect() })
	gone, away := voters[0], voters[1]
	s.addSuccessor(gone, "g")
	s.run(2 * time.Second)
	s.isolated[away] = true
	s.run(4 * time.Second)
	delete(s.isolated, away)
	s.run(6 * time.Second)
	s.endForGood(gone)
	s.run(catchUpTime)
	require.NotContains(t, s.voters(), gone)
	require.Equal(t, toleratedLosses, s.bearable())
	require.Empty(t, s.violations)
}

// Guards against hosts that return empty and stay outside the log for good, because the seeds that they know are empty too or gone.
func TestEmptyHostsWithoutUsableSeedsRejoin(t *testing.T) {
	s := startSixHosts(1)
	s.endForGood("c")
	s.addSuccessor("c", "g")
	s.run(catchUpTime)
	for _, name := range s.names {
		s.crash(name)
	}
	for _, name := range []string{"a", "b"} {
		s.wipe(name)
		s.hosts[name].replacement = true
	}
	for _, name := range s.names {
		s.start(name)
	}
	s.run(catchUpTime)
	require.True(t, s.isMember("a"))
	require.True(t, s.isMember("b"))
	require.Empty(t, s.violations)
}

// Guards against a new host that asks only the seeds that it started with, although its settings name others by now.
func TestHostAsksSeedsOfChangedSettings(t *testing.T) {
	s := startSixHosts(1)
	s.names = append(slices.Clone(s.names), "g", "h")
	s.hosts["g"] = &host{name: "g", replacement: true}
	s.hosts["h"] = &host{name: "h", replacement: true}
	s.seeds = []string{"h"}
	s.start("g")
	s.run(time.Second)
	require.Empty(t, s.hosts["g"].node.Status().Problem)
	s.step(s.hosts["g"], quorum.Contacts{Peers: []string{"d"}})
	s.run(catchUpTime)
	require.True(t, s.isMember("g"))
}

// Guards against a leader that promotes a learner to an even number of voters, or leaves a region without a vote although one of
// its hosts is ready.
func TestVotersAreSpread(t *testing.T) {
	tests := []struct {
		name    string
		regions []int
		want    map[int]int
	}{
		{"four hosts, three votes", []int{0, 0, 1, 2}, map[int]int{0: 1, 1: 1, 2: 1}},
		{"five hosts", []int{0, 0, 0, 1, 2}, map[int]int{0: 3, 1: 1, 2: 1}},
		{"nine hosts", []int{0, 0, 0, 1, 1, 1, 2, 2, 2}, map[int]int{0: 2, 1: 2, 2: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			names := strings.Split("abcdefghi"[:len(tt.regions)], "")
			s := newSim(1, names...)
			s.terse = true
			for i, name := range names {
				s.hosts[name].zone, s.hosts[name].region = fmt.Sprint("zone-", i), fmt.Sprint("region-", tt.regions[i])
			}
			s.bounds.Voters = newSixHosts(1).bounds.Voters
			s.schedule(enrollInterval, s.enroll)
			for _, name := range names {
				s.start(name)
			}
			s.run(time.Minute)
			counts := map[int]int{}
			for _, name := range s.voters() {
				counts[tt.regions[slices.Index(names, name)]]++
			}
			sizes := func(counts map[int]int) []int {
				var list []int
				for _, count := range counts {
					list = append(list, count)
				}
				slices.Sort(list)
				return list
			}
			require.Equal(t, sizes(tt.want), sizes(counts))
			require.Empty(t, s.violations)
		})
	}
}

// Guards against a leader that takes itself for silent, since it sends itself no messages, and gives its own vote away.
func TestLeaderKeepsItsVote(t *testing.T) {
	s := startSixHosts(2)
	leader := s.elect()
	s.run(time.Minute)
	require.Equal(t, leader, s.leader())
	require.True(t, slices.ContainsFunc(s.hosts[leader].node.Members().GetVoters(), func(v *fleetpb.Voter) bool { return v.GetHost() == leader }))
}
