package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/history"
)

// baselineSeed is the seed of simulated baselines; the conclusions don't depend on its value.
const baselineSeed = 1

// simulateEqualSplit simulates hosts that each enforce an equal part of each team's rate and burst. A request waits for up to
// a second, as in the fleet. It returns the rejected and all requests of the teams within their rate.
func simulateEqualSplit(teams []*fleetpb.Team, hosts int) (rejected, total int) {
	random := rand.New(rand.NewPCG(baselineSeed, 0))
	const wait = time.Second
	for index, team := range teams {
		if index == greedyTeamIndex(teams) {
			continue
		}
		rate := float64(team.GetRate()) / float64(hosts)
		burst := max(float64(team.GetBurst())/float64(hosts), 1)
		tokens := slices.Repeat([]float64{burst}, hosts)
		last := make([]time.Duration, hosts)
		gap := time.Duration(float64(time.Second) / offeredRate(team))
		for at := time.Duration(0); at < shareTime; at += gap {
			host := 0
			if random.IntN(percent) >= firstHostPercent {
				host = random.IntN(hosts)
			}
			tokens[host] = min(burst, tokens[host]+rate*(at-last[host]).Seconds())
			last[host] = at
			total++
			// A negative number of tokens counts waiting requests; a request that would wait longer than a second is rejected.
			if tokens[host]-1 < -rate*wait.Seconds() {
				rejected++
				continue
			}
			tokens[host]--
		}
	}
	return rejected, total
}

// fifoWorstShare simulates one queue that is served in the order of arrival. Each session sends its next request after the
// answer to its last one. It returns the requests served for the worst-served team as a fraction of its fair share.
func fifoWorstShare(teams int) float64 {
	var queue []int
	for team := range teams {
		queue = append(queue, slices.Repeat([]int{team}, teamSessions(team))...)
	}
	random := rand.New(rand.NewPCG(baselineSeed, 0))
	random.Shuffle(len(queue), func(i, j int) { queue[i], queue[j] = queue[j], queue[i] })
	const rounds = 10_000
	done := make([]int, teams)
	for range rounds {
		team := queue[0]
		queue = append(queue[1:], team)
		done[team]++
	}
	return float64(slices.Min(done)) / (float64(rounds) / float64(teams))
}

// staleAtAnyReplica counts the reads of a history that would miss the last write of their session if they were sent to
// replicas with a fixed lag without regard to positions. It returns the stale reads and all reads.
func staleAtAnyReplica(events []history.Event, lag time.Duration) (stale, reads int) {
	last := make(map[ident.Session]ident.Time)
	for _, event := range events {
		switch e := event.(type) {
		case history.Write:
			if e.Outcome == history.Acknowledged {
				last[e.Session] = e.At
			}
		case history.Read:
			reads++
			if at, wrote := last[e.Session]; wrote && e.At.Sub(at) < lag {
				stale++
			}
		}
	}
	return stale, reads
}
