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
	// usedShare is the part of its rate that a team within its rate uses.
	usedShare = 0.8
	// skew is the share in percent of requests that enter through the first host.
	skew = 60
	// largeSessions and smallSessions make a few large teams and several small ones, all of which would take more than
	// their fair share.
	largeSessions, smallSessions = 96, 24
	largeTeams                   = 2
	// greedySessions are the sessions of the greedy team. Each waits for up to a second until it is rejected, so that it
	// takes several sessions to send one request in each rejectionPace.
	greedySessions = 480
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
	// all counts the requests served since the start, without regard to reset.
	all  map[ident.Team]int
	from ident.Time
}

func newServed() *served {
	return &served{
		done: make(map[ident.Team]int), rate: make(map[ident.Team]int),
		rest: make(map[ident.Team]int), all: make(map[ident.Team]int),
	}
}

func (s *served) observe(sample workload.Sample) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	team := sample.Session.Team
	if sample.Code == "" {
		s.all[team]++
	}
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
func wrongfulRejections(_ context.Context, m *run) (Result, error) {
	teams := m.Fleet.Deployment.GetText().GetTeams()
	var sessions []workload.Session
	for i, team := range teams {
		count := int(offered(team) * rejectionPace.Seconds())
		if i == greedyTeam(teams) {
			count = greedySessions
		}
		sessions = append(sessions, m.paced(team, count)...)
	}
	counts := newServed()
	load := scenario.Load{
		Seed: m.opts.Seed, Mix: workload.Mix{Writes: 10}, Pace: rejectionPace, Sessions: sessions, Sticky: true,
		Pick: skewed(m.Fleet.Callers()), Observe: counts.observe,
	}
	if err := m.Run(load); err != nil {
		return Result{}, err
	}
	m.Pause(2 * time.Second)
	counts.reset(m.Runner.Now())
	m.Pause(shareTime)
	m.Runner.Stop()
	elapsed := time.Duration(m.Runner.Now())
	if err := m.finish(); err != nil {
		return Result{}, err
	}
	wrongful, within := 0, 0
	for i, team := range teams {
		if i != greedyTeam(teams) {
			wrongful += counts.rate[ident.Team(team.GetName())] + counts.rest[ident.Team(team.GetName())]
			within += counts.done[ident.Team(team.GetName())]
		}
	}
	team := teams[greedyTeam(teams)]
	name := ident.Team(team.GetName())
	allowed := float64(team.GetBurst()) + float64(team.GetRate())*elapsed.Seconds()
	split, total := equalSplit(teams, len(m.Fleet.Hosts))
	return Result{
		Name: fmt.Sprintf("wrongful rejections, team %s with %d sessions, %d%% of sessions at one host", name, greedySessions, skew),
		Value: fmt.Sprintf("%d of %d; %s: %d served of %.0f allowed, %d rejected", wrongful, wrongful+within, name,
			counts.all[name], allowed, counts.rate[name]),
		Bound: "0, within rate and burst", Met: wrongful == 0 && within > 0 && float64(counts.all[name]) <= allowed,
		Baselines: []string{fmt.Sprintf("fixed equal split: %d of %d (simulation of the same arrivals)", split, total)},
	}, nil
}

// rejectionPace is the pace of one session; a team's rate comes from its number of sessions.
const rejectionPace = 100 * time.Millisecond

// greedyTeam is the index of the team that sends more than its rate.
func greedyTeam(teams []*fleetpb.Team) int { return len(teams) - 1 }

// offered is the rate that a team within its rate sends, in requests per second.
func offered(team *fleetpb.Team) float64 {
	return float64(team.GetRate()) * usedShare
}

// paced returns sessions of a team, spread over the services.
func (m *run) paced(team *fleetpb.Team, count int) []workload.Session {
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

// skewed puts three of five sessions at the first host.
func skewed(addresses []string) func(int) string {
	return func(index int) string {
		if index%5 < 3 {
			return addresses[0]
		}
		return addresses[(index/5)%len(addresses)]
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
	load := scenario.Load{Seed: m.opts.Seed, Mix: workload.Mix{Writes: 100, NoTransactions: true}, Sessions: sessions, Sticky: true, Observe: counts.observe}
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
