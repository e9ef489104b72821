package quorum_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/quorum"
)

// returnWithout returns the time from the start of five members but the lost ones, after all had ended, to a confirmed leader.
func returnWithout(t *testing.T, lost int, seed uint64) time.Duration {
	s := newSim(seed, "a", "b", "c", "d", "e")
	s.seeds, s.terse = s.names, true
	// The member ids seed the elections.
	s.lastIncarnation = seed * 1000
	s.bounds.ElectionMin, s.bounds.ElectionMax, s.bounds.Lease = 300*time.Millisecond, 600*time.Millisecond, 250*time.Millisecond
	for _, name := range s.names {
		s.start(name)
	}
	s.run(10 * time.Second)
	for _, name := range s.names {
		s.crash(name)
	}
	s.run(time.Second)
	returned := s.names[lost:]
	for _, name := range returned {
		s.run(time.Duration(s.random.IntN(20)) * time.Millisecond)
		s.start(name)
	}
	start := s.now
	s.runUntil("a leader", func() bool {
		return slices.ContainsFunc(returned, func(name string) bool {
			status := s.hosts[name].node.Status()
			return status.Role == quorum.Leader && s.now < status.Until
		})
	})
	require.Empty(t, s.violations)
	return s.now.Sub(start)
}

// Guards against votes that are split again and again after a loss of all power in which some of five disks were lost: three members must
// vote for one of them, and all start at the same moment. Logical time, so the times don't depend on the machine.
func TestVotesAreRarelySplit(t *testing.T) {
	const runs = 200
	for lost := range 3 {
		split := 0
		for seed := range uint64(runs) {
			// No member waits for longer than the longest timeout and a few messages unless votes were split.
			if returnWithout(t, lost, seed) > 800*time.Millisecond {
				split++
			}
		}
		require.LessOrEqual(t, split, runs/100, "%d lost", lost)
	}
}

// Guards against a member that asks for votes again and again, does not reach a majority itself, and refuses its vote to the only member
// that does: of five hosts two are lost and the link between two of the others is down.
func TestMemberWithoutMajorityYields(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, "a", "b", "c", "d", "e")
		s.seeds, s.terse = s.names, true
		s.bounds.ElectionMin, s.bounds.ElectionMax, s.bounds.Lease = 300*time.Millisecond, 600*time.Millisecond, 250*time.Millisecond
		for _, name := range s.names {
			s.start(name)
		}
		s.run(10 * time.Second)
		for _, name := range s.names {
			s.crash(name)
		}
		s.run(time.Second)
		s.cut = map[[2]string]bool{{"d", "e"}: true, {"e", "d"}: true}
		for _, name := range s.names[2:] {
			s.start(name)
		}
		start := s.now
		s.runUntil("a leader", func() bool {
			status := s.hosts["c"].node.Status()
			return status.Role == quorum.Leader && s.now < status.Until
		})
		require.Empty(t, s.violations, "seed %d", seed)
		require.Less(t, s.now.Sub(start), 10*time.Second, "seed %d", seed)
	}
}
