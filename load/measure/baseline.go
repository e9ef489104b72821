package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/history"
)

// baselineSeed gives the arrivals of simulated baselines; any seed shows the same picture.
const baselineSeed = 1

// equalSplit simulates hosts that each enforce an equal part of each team's rate and burst, and let a request wait for up
// to a second as the fleet does. It returns the rejections of teams within their rate, and their requests.
func equalSplit(teams []*fleetpb.Team, hosts int) (rejected, total int) {
	random := rand.New(rand.NewPCG(baselineSeed, 0))
	const wait = time.Second
	for index, team := range teams {
		if index == greedyTeam(teams) {
			continue
		}
		rate := float64(team.GetRate()) / float64(hosts)
		burst := max(float64(team.GetBurst())/float64(hosts), 1)
		tokens := slices.Repeat([]float64{burst}, hosts)
		last := make([]time.Duration, hosts)
		gap := time.Duration(float64(time.Second) / offered(team))
		for at := time.Duration(0); at < shareTime; at += gap {
			host := 0
			if random.IntN(percent) >= skew {
				host = random.IntN(hosts)
			}
			tokens[host] = min(burst, tokens[host]+rate*(at-last[host]).Seconds())
			last[host] = at
			total++
			// Negative tokens are requests that wait; one that would wait longer than a second is rejected.
			if tokens[host]-1 < -rate*wait.Seconds() {
				rejected++
				continue
			}
			tokens[host]--
		}
	}
	return rejected, total
}

// firstComeShare simulates sessions that each send the next request after the answer to the last into one queue, served in
// the order of arrival, and returns the share of the worst-served team against its fair share.
func firstComeShare(teams int) float64 {
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

// staleAtAnyReplica counts the reads of a history that a replica with a fixed lag, chosen without regard to positions,
// would answer without the last write of the session.
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
