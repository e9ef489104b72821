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
	shareTime = 12 * time.Second
	sharePace = 20 * time.Millisecond
	// usedShare is the part of its rate that a team within its rate uses.
	usedShare = 0.8
	// greedy is how many times its rate the greedy team sends.
	greedy = 8
	// skew is the share in percent of requests that enter through the first host.
	skew = 60
	// largeSessions and smallSessions make a few large teams and several small ones, all of which would take more than
	// their fair share.
	largeSessions, smallSessions = 40, 10
	largeTeams                   = 2
	// plentyRate keeps rates from limiting anything while fairness of the queues is measured.
	plentyRate = 1_000_000
)

// sessions returns count sessions of each team at one service.
func (m *run) sessions(service string, count int) []workload.Session {
	return workload.Sessions([]string{service}, m.Fleet.Teams(), m.Fleet.Keys, count)
}

// served counts successful requests, and refusals by rate, by team.
type served struct {
	mutex            sync.Mutex
	done, rate, rest map[ident.Team]int
	from             ident.Time
}

func newServed() *served {
	return &served{done: make(map[ident.Team]int), rate: make(map[ident.Team]int), rest: make(map[ident.Team]int)}
}

func (s *served) observe(sample workload.Sample) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	team := sample.Session.Team
	switch {
	case sample.At < s.from:
	case sample.Code == "":
		s.done[team]++
	case sample.Code == "53400":
		s.rate[team]++
	default:
		s.rest[team]++
	}
}

// reset starts counting anew, after a warm-up.
func (s *served) reset(now ident.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.done)
	clear(s.rate)
	clear(s.rest)
	s.from = now
}

// wrongfulRejections sends with one team at eight times its rate, the others within theirs, mostly through one host.
func wrongfulRejections(ctx context.Context, m *run) (Result, error) {
	teams := m.Fleet.Deployment.GetText().GetTeams()
	var sessions []workload.Session
	for i, team := range teams {
		sessions = append(sessions, m.paced(team, offered(team, i))...)
	}
	counts := newServed()
	load := scenario.Load{
		Seed: m.opts.Seed, Writes: 10, Pace: rejectionPace, Sessions: sessions, Pick: skewed(m.Fleet.Callers()), Observe: counts.observe,
	}
	if err := m.Run(load); err != nil {
		return Result{}, err
	}
	m.Pause(2 * time.Second)
	counts.reset(m.Runner.Now())
	m.Pause(shareTime)
	if err := m.finish(); err != nil {
		return Result{}, err
	}
	wrongful, within := 0, 0
	for i, team := range teams {
		if i > 0 {
			wrongful += counts.rate[ident.Team(team.GetName())]
			within += counts.done[ident.Team(team.GetName())]
		}
	}
	first := ident.Team(teams[0].GetName())
	split, total := equalSplit(teams, len(m.Fleet.Hosts))
	return Result{
		Name: fmt.Sprintf("wrongful rejections, team %s at %d times its rate, %d%% of requests at one host", first, greedy, skew),
		Value: fmt.Sprintf("%d of %d; %s: %d served, %d rejected of its own rate", wrongful, wrongful+within, first,
			counts.done[first], counts.rate[first]),
		Bound: "0", Met: wrongful == 0 && within > 0,
		Baselines: []string{fmt.Sprintf("fixed equal split: %d of %d (simulation of the same arrivals)", split, total)},
	}, nil
}

// rejectionPace is the pace of one session; a team's rate comes from its number of sessions.
const rejectionPace = 100 * time.Millisecond

// offered is the rate that a team sends in requests per second.
func offered(team *fleetpb.Team, index int) float64 {
	if index == 0 {
		return float64(team.GetRate()) * greedy
	}
	return float64(team.GetRate()) * usedShare
}

// paced returns as many sessions as send a rate at rejectionPace each, spread over the services.
func (m *run) paced(team *fleetpb.Team, rate float64) []workload.Session {
	count := int(rate * rejectionPace.Seconds())
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

func skewed(addresses []string) func(int) string {
	return func(random int) string {
		if random%100 < skew {
			return addresses[0]
		}
		return addresses[(random/100)%len(addresses)]
	}
}

// worstServed loads one service beyond its capacity from all teams, a few of them with many sessions.
func worstServed(ctx context.Context, m *run) (Result, error) {
	teams := m.Fleet.Deployment.GetText().GetTeams()
	for _, team := range teams {
		team.Rate, team.Burst = plentyRate, plentyRate
	}
	if err := m.Fleet.Apply(ctx); err != nil {
		return Result{}, err
	}
	service := m.Fleet.Services()[0]
	var sessions []workload.Session
	for i, team := range m.Fleet.Teams() {
		sessions = append(sessions, workload.Sessions([]string{service}, []string{team}, m.Fleet.Keys, teamSessions(i))...)
	}
	counts := newServed()
	load := scenario.Load{Seed: m.opts.Seed, Writes: 100, Sessions: sessions, Observe: counts.observe}
	if err := m.Run(load); err != nil {
		return Result{}, err
	}
	m.Pause(3 * time.Second)
	counts.reset(m.Runner.Now())
	m.Pause(shareTime)
	if err := m.finish(); err != nil {
		return Result{}, err
	}
	var got []int
	total := 0
	for _, team := range m.Fleet.Teams() {
		got = append(got, counts.done[ident.Team(team)])
		total += counts.done[ident.Team(team)]
	}
	fair := float64(total) / float64(len(got))
	worst := float64(slices.Min(got)) / max(fair, 1)
	return Result{
		Name:  fmt.Sprintf("worst-served of %d teams against its fair share", len(got)),
		Value: fmt.Sprintf("%.1f%% (requests by team %v)", worst*percent, got),
		Bound: fmt.Sprintf(">= %.0f%%", boundFairShare*percent),
		Met:   worst >= boundFairShare,
		Baselines: []string{
			fmt.Sprintf("first come first served: %.1f%% (simulation of the same sessions)", percent*firstComeShare(len(got))),
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
