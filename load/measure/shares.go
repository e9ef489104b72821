package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/scenario"
	"tamarackshunt.dev/load/workload"
)

const (
	// shareTime is the time over which requests are counted, or simulated for a baseline.
	shareTime = 12 * time.Second
	// offeredFraction is the fraction of its rate that a team within its rate offers.
	offeredFraction = 0.8
	// firstHostPercent is the percentage of sessions, or of requests in the simulation, that are directed to the first host.
	// The rest is spread over all hosts.
	firstHostPercent = 60
	// largeSessions and smallSessions are the numbers of sessions of a large and of a small team; either is enough to take more
	// than the team's fair share.
	largeSessions, smallSessions = 96, 24
	// largeTeams is the number of large teams; they are the first ones of the deployment.
	largeTeams = 2
	// greedySessions is the number of sessions of the greedy team. A session waits for up to a second until a request is
	// rejected, so that it takes several sessions to send one request in each rejectionPace.
	greedySessions = 480
	// unlimitedRate is a rate and burst that limits nothing, so that queues or connections are measured without rate limits.
	unlimitedRate = 1_000_000
)

// sessions returns count sessions of each team at one service.
func (m *runState) sessions(service string, count int) []workload.Session {
	return workload.Sessions([]string{service}, m.Fleet.Teams(), m.Fleet.Keys, count)
}

// requestCounts holds numbers of requests by team and result.
type requestCounts struct {
	mutex                                 sync.Mutex
	succeeded, rateLimited, otherFailures map[ident.Team]int
	// totalSucceeded counts the successful requests since the start; reset doesn't clear it.
	totalSucceeded map[ident.Team]int
	from           ident.Time
}

func newRequestCounts() *requestCounts {
	return &requestCounts{
		succeeded: make(map[ident.Team]int), rateLimited: make(map[ident.Team]int),
		otherFailures: make(map[ident.Team]int), totalSucceeded: make(map[ident.Team]int),
	}
}

func (s *requestCounts) observe(sample workload.Sample) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	team := sample.Session.Team
	if sample.Code == "" {
		s.totalSucceeded[team]++
	}
	switch {
	case sample.At < s.from:
	case sample.Code == "":
		s.succeeded[team]++
	case sample.Code == "53400":
		s.rateLimited[team]++
	default:
		s.otherFailures[team]++
	}
}

// reset clears the counts except totalSucceeded, after a warm-up; samples before now are ignored.
func (s *requestCounts) reset(now ident.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.succeeded)
	clear(s.rateLimited)
	clear(s.otherFailures)
	s.from = now
}

// wrongfulRejections sends requests of one team at eight times its rate and of the others within theirs, mostly through one
// host, and counts the failed requests of the others.
func wrongfulRejections(_ context.Context, m *runState) (Result, error) {
	teams := m.Fleet.Deployment.GetText().GetTeams()
	var sessions []workload.Session
	for i, team := range teams {
		count := int(offeredRate(team) * rejectionPace.Seconds())
		if i == greedyTeamIndex(teams) {
			count = greedySessions
		}
		sessions = append(sessions, m.spreadSessions(team, count)...)
	}
	counts := newRequestCounts()
	load := scenario.Load{
		Seed: m.opts.Seed, Mix: workload.Mix{Writes: 10}, Pace: rejectionPace, Sessions: sessions, Sticky: true,
		Pick: pickSkewed(m.Fleet.Callers()), Observe: counts.observe,
	}
	if err := m.Run(load); err != nil {
		return Result{}, err
	}
	m.Pause(2 * time.Second)
	counts.reset(m.Runner.Now())
	m.Pause(shareTime)
	m.Runner.Stop()
	elapsed := time.Duration(m.Runner.Now())
	if err := m.stopAndCheck(); err != nil {
		return Result{}, err
	}
	wrongful, within := 0, 0
	for i, team := range teams {
		if i != greedyTeamIndex(teams) {
			wrongful += counts.rateLimited[ident.Team(team.GetName())] + counts.otherFailures[ident.Team(team.GetName())]
			within += counts.succeeded[ident.Team(team.GetName())]
		}
	}
	team := teams[greedyTeamIndex(teams)]
	name := ident.Team(team.GetName())
	allowed := float64(team.GetBurst()) + float64(team.GetRate())*elapsed.Seconds()
	split, total := simulateEqualSplit(teams, len(m.Fleet.Hosts))
	return Result{
		Name: fmt.Sprintf("wrongful rejections, team %s with %d sessions, %d%% of sessions at one host", name, greedySessions, firstHostPercent),
		Value: fmt.Sprintf("%d of %d; %s: %d served of %.0f allowed, %d rejected", wrongful, wrongful+within, name,
			counts.totalSucceeded[name], allowed, counts.rateLimited[name]),
		Bound: "0, within rate and burst", Met: wrongful == 0 && within > 0 && float64(counts.totalSucceeded[name]) <= allowed,
		Baselines: []string{fmt.Sprintf("fixed equal split: %d of %d (simulation of the same arrivals)", split, total)},
	}, nil
}

// rejectionPace is the pace of one session; the number of its sessions determines a team's rate.
const rejectionPace = 100 * time.Millisecond

// greedyTeamIndex returns the index of the team that sends more than its rate.
func greedyTeamIndex(teams []*fleetpb.Team) int { return len(teams) - 1 }

// offeredRate returns the requests per second that a team within its rate sends.
func offeredRate(team *fleetpb.Team) float64 {
	return float64(team.GetRate()) * offeredFraction
}

// spreadSessions returns count sessions of a team, distributed over the services.
func (m *runState) spreadSessions(team *fleetpb.Team, count int) []workload.Session {
	services := m.Fleet.Services()
	var all []workload.Session
	for i := range count {
		all = append(all, workload.Session{
			Session: ident.Session{
				Service: ident.Service(services[i%len(services)]), Team: ident.Team(team.GetName()),
				User: ident.User(fmt.Sprintf("paced%d", i)),
			},
			Key: m.Fleet.Keys[team.GetName()],
		})
	}
	return all
}

// pickSkewed returns a function for Load.Pick that sends at least three of five sessions to the first host.
func pickSkewed(addresses []string) func(int) string {
	return func(index int) string {
		if index%5 < 3 {
			return addresses[0]
		}
		return addresses[(index/5)%len(addresses)]
	}
}

// worstServed overloads one service from all teams, a few of which have many sessions, and measures the share of the
// worst-served team.
func worstServed(ctx context.Context, m *runState) (Result, error) {
	teams := m.Fleet.Deployment.GetText().GetTeams()
	for _, team := range teams {
		team.Rate, team.Burst = unlimitedRate, unlimitedRate
	}
	if err := m.Fleet.Apply(ctx); err != nil {
		return Result{}, err
	}
	service := m.Fleet.Services()[0]
	var sessions []workload.Session
	for i, team := range m.Fleet.Teams() {
		sessions = append(sessions, workload.Sessions([]string{service}, []string{team}, m.Fleet.Keys, teamSessions(i))...)
	}
	counts := newRequestCounts()
	load := scenario.Load{Seed: m.opts.Seed, Mix: workload.Mix{Writes: 100, NoTransactions: true}, Sessions: sessions, Sticky: true, Observe: counts.observe}
	if err := m.Run(load); err != nil {
		return Result{}, err
	}
	m.Pause(3 * time.Second)
	counts.reset(m.Runner.Now())
	m.Pause(shareTime)
	if err := m.stopAndCheck(); err != nil {
		return Result{}, err
	}
	var got []int
	total := 0
	for _, team := range m.Fleet.Teams() {
		got = append(got, counts.succeeded[ident.Team(team)])
		total += counts.succeeded[ident.Team(team)]
	}
	fair := float64(total) / float64(len(got))
	worst := float64(slices.Min(got)) / max(fair, 1)
	return Result{
		Name:  fmt.Sprintf("worst-served of %d teams against its fair share", len(got)),
		Value: fmt.Sprintf("%.1f%% (requests by team %v)", worst*percent, got),
		Bound: fmt.Sprintf(">= %.0f%%", boundFairShare*percent),
		Met:   worst >= boundFairShare,
		Baselines: []string{
			fmt.Sprintf("first come first served: %.1f%% (simulation of the same sessions)", percent*fifoWorstShare(len(got))),
		},
	}, nil
}

const percent = 100

func teamSessions(index int) int {
	if index < largeTeams {
		return largeSessions
	}
	return smallSessions
}
