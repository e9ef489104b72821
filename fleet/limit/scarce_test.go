package limit_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

// class is a kind of request with its priority and its part of all requests.
type class struct {
	part      float64
	objective ident.Time
}

// classes are ordered by priority. A request waits for a token for a quarter of its objective.
var classes = []class{{0.15, 400 * ms}, {0.15, 600 * ms}, {0.7, 1500 * ms}}

// idealBucket admits the requests that one bucket for the whole fleet would admit at their arrival.
type idealBucket struct {
	rule    limit.Rule
	tokens  float64
	updated ident.Time
}

func (b *idealBucket) admits(now ident.Time) bool {
	b.tokens = min(float64(b.rule.Burst), b.tokens+float64(float64(b.rule.Rate)*time.Duration(now-b.updated).Seconds()))
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// served counts the requests of a group of teams, and by class those of them that the ideal bucket admits.
type served struct {
	sent, refused       int
	admitted, wronged   [3]int
	waitedToBeRefused   ident.Time
	waitedToRun         []ident.Time
}

// scarceLoad is the load of many hosts and teams with small bursts: demand is uneven between teams and hosts, some teams send more
// than their rate for some seconds, and one sends many times its rate all the time.
type scarceLoad struct {
	hosts, teams int
	seconds      int
	seed         uint64
	rate         func(random *rand.Rand) uint32
}

const hotTeam = ident.Team("team00")

// run plays the load and returns the counts of the hot team and of the others, and the calls and bytes per second.
func (l scarceLoad) run(t *testing.T) (hot, others served, callsPerSecond, bytesPerSecond int) {
	random := rand.New(rand.NewPCG(l.seed, 7))
	rules := map[ident.Team]limit.Rule{}
	names := make([]ident.Team, l.teams)
	ideal := map[ident.Team]*idealBucket{}
	for i := range names {
		names[i] = ident.Team(fmt.Sprintf("team%02d", i))
		rate := l.rate(random)
		rules[names[i]] = limit.Rule{Rate: rate, Burst: rate}
		ideal[names[i]] = &idealBucket{rule: rules[names[i]], tokens: float64(rate)}
	}
	sim := newSimulation(0, rules)
	sim.period, sim.prefetch = 150*time.Millisecond, 2
	sim.borrowers = make([]*limit.Borrower, l.hosts)
	sim.busyUntil, sim.incarnations = make([]ident.Time, l.hosts), make([]ident.Incarnation, l.hosts)
	delays := make([]ident.Time, l.hosts)
	for h := range l.hosts {
		sim.restart(h)
		delays[h] = ident.Time(12+random.IntN(19)) * ms
	}
	sim.now = 3000 * ms // Past the time in which a new owner lends nothing, with full buckets.
	admitted := map[int]bool{}
	sim.decided = func(w waiting, refused *limit.Exceeded) {
		group := &others
		if w.Team == hotTeam {
			group = &hot
		}
		group.count(w, admitted[w.number], refused, sim.now)
	}
	// Each session of a team stays on its host and sends at its own mean rate.
	type sender struct {
		host     int
		team     ident.Team
		share    float64
		boosted  bool
		next     ident.Time
		priority int
	}
	var senders []*sender
	for i, team := range names {
		count := 20 + random.IntN(60)
		for range count {
			priority, draw := 0, random.Float64()
			for draw > classes[priority].part && priority < len(classes)-1 {
				draw -= classes[priority].part
				priority++
			}
			perSecond := 0.55 * float64(rules[team].Rate) / float64(count)
			if team == hotTeam {
				perSecond *= 14
			}
			// A few hosts get a larger part of the sessions.
			host := int(float64(l.hosts) * random.Float64() * random.Float64())
			senders = append(senders, &sender{host: host, team: team, share: perSecond, boosted: i%3 == 1, next: sim.now, priority: priority})
		}
	}
	start := sim.now
	calls := 0
	for end := start + ident.Time(l.seconds)*1000*ms; sim.now < end; sim.now += ms {
		for _, s := range senders {
			for s.next <= sim.now {
				perSecond := s.share
				if at := (sim.now - start) % (10_000 * ms); s.boosted && s.priority == 2 && at >= 3000*ms && at < 8000*ms {
					perSecond *= 2.4
				}
				s.next += max(1, ident.Time(random.ExpFloat64()/perSecond*float64(time.Second)))
				class := classes[s.priority]
				request := limit.Request{Team: s.team, Priority: s.priority, MaxWait: time.Duration(class.objective / 4)}
				admitted[sim.requests+1] = ideal[s.team].admits(sim.now)
				sim.takeFor(s.host, request, sim.now+class.objective)
			}
		}
		sim.deliverWith(func(host int) ident.Time { return delays[host] })
		for h := range sim.borrowers {
			if sim.now%(5*ms) == 0 {
				sim.expire(h)
			}
			if sim.sendRequest(h, delays[h], delays[h]) {
				calls++
			}
		}
	}
	for team := range rules {
		require.LessOrEqual(t, sim.excess(team), 1e-6, team)
	}
	return hot, others, calls / l.seconds, sim.bytes / l.seconds
}

func (s *served) count(w waiting, admitted bool, refused *limit.Exceeded, now ident.Time) {
	s.sent++
	if admitted {
		s.admitted[w.Priority]++
	}
	if refused == nil {
		s.waitedToRun = append(s.waitedToRun, now-w.since)
		return
	}
	s.refused++
	s.waitedToBeRefused += now - w.since
	if admitted {
		s.wronged[w.Priority]++
	}
}

func (s *served) print(out *bytes.Buffer, name string) {
	slices.Sort(s.waitedToRun)
	middle, late := s.waitedToRun[len(s.waitedToRun)/2], s.waitedToRun[len(s.waitedToRun)*99/100]
	fmt.Fprintf(out, "  %-8s sent %5d, refused %5d after %3d ms in the mean; ran after %d ms in the median, 99%% within %d ms\n",
		name, s.sent, s.refused, s.waitedToBeRefused/ms/ident.Time(max(1, s.refused)), middle/ms, late/ms)
	for priority := range classes {
		fmt.Fprintf(out, "    priority %d: %5d within rate and burst, %4d of them refused\n", priority, s.admitted[priority], s.wronged[priority])
	}
}

// Guards against tokens that lie at hosts which don't need them, and against urgent requests that are refused while less urgent ones
// of their team get tokens: 65 hosts, 72 teams with bursts of 20 to 30 tokens, one team at many times its rate. The golden file has
// the counts of the rule before scarce teams, from testdata/hard_load_before.txt, and of the present one.
func TestManyHostsAndSmallBursts(t *testing.T) {
	var out bytes.Buffer
	for seed := range uint64(3) {
		load := scarceLoad{hosts: 65, teams: 72, seconds: 12, seed: seed, rate: func(random *rand.Rand) uint32 { return 20 + random.Uint32N(11) }}
		hot, others, calls, size := load.run(t)
		fmt.Fprintf(&out, "seed %d: %d calls and %d bytes per second\n", seed, calls, size)
		hot.print(&out, "hot team")
		others.print(&out, "others")
	}
	before, err := os.ReadFile("testdata/hard_load_before.txt")
	require.NoError(t, err)
	goldie.New(t).Assert(t, "hard_load", append(append(before, "\nPresent rule:\n"...), out.Bytes()...))
}

// Guards against a change for teams whose burst is large beside the number of hosts: the golden file was recorded before scarce
// teams existed.
func TestLargeBurstsAreLentAsBefore(t *testing.T) {
	var out bytes.Buffer
	for seed := range uint64(2) {
		load := scarceLoad{hosts: 12, teams: 8, seconds: 20, seed: seed, rate: func(random *rand.Rand) uint32 { return 100 + random.Uint32N(100) }}
		hot, others, calls, size := load.run(t)
		fmt.Fprintf(&out, "seed %d: %d calls and %d bytes per second\n", seed, calls, size)
		hot.print(&out, "hot team")
		others.print(&out, "others")
	}
	goldie.New(t).Assert(t, "large_bursts", out.Bytes())
}
