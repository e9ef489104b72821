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

// objectives are those of the requests of each priority. A request waits for a token for a quarter of it.
var objectives = [3]ident.Time{400 * ms, 600 * ms, 1500 * ms}

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

// served counts the requests of a group of teams, and by priority those that the ideal bucket admits.
type served struct {
	admitted, wronged       [3]int
	waitsToRun, waitsInVain []ident.Time
}

func (s *served) count(w waiting, admitted bool, refused *limit.Exceeded, now ident.Time) {
	if admitted {
		s.admitted[w.Priority]++
	}
	if refused == nil {
		s.waitsToRun = append(s.waitsToRun, now-w.since)
		return
	}
	s.waitsInVain = append(s.waitsInVain, now-w.since)
	if admitted {
		s.wronged[w.Priority]++
	}
}

func (s *served) print(out *bytes.Buffer, name string) {
	median := func(list []ident.Time) ident.Time {
		slices.Sort(list)
		return append(list, 0)[len(list)/2] / ms
	}
	fmt.Fprintf(out, "  %-8s %5d ran after %3d ms (median), %5d were refused after %3d ms; within rate and burst %v, of them refused %v\n", name,
		len(s.waitsToRun), median(s.waitsToRun), len(s.waitsInVain), median(s.waitsInVain), s.admitted, s.wronged)
}

// sender is a session of a team, which stays on its host.
type sender struct {
	host      int
	team      ident.Team
	perSecond float64
	// boosted sessions send more for some seconds.
	boosted  bool
	next     ident.Time
	priority int
}

const hotTeam = ident.Team("team00")

// scarceLoad is the load of many hosts and teams: demand is uneven between teams and hosts, some teams send more than their rate for
// some seconds, and one sends eight times its rate all the time. A team's burst is its rate, of at least minRate.
type scarceLoad struct {
	hosts, teams int
	minRate      uint32
	rates        uint32 // number of different rates
}

func (l scarceLoad) senders(random *rand.Rand, rules map[ident.Team]limit.Rule, start ident.Time) (list []*sender) {
	for i := range l.teams {
		team, rate := ident.Team(fmt.Sprintf("team%02d", i)), l.minRate+random.Uint32N(l.rates)
		rules[team] = limit.Rule{Rate: rate, Burst: rate}
		count, use := 20+random.IntN(60), 0.5+float64(0.45*random.Float64())
		if team == hotTeam {
			use = 8
		}
		for j := range count {
			s := &sender{
				team: team, perSecond: use * float64(rate) / float64(count), boosted: i%3 == 1, priority: []int{0, 1, 2, 2, 2, 2, 2}[j%7],
				host: int(float64(l.hosts) * random.Float64() * random.Float64()), // A few hosts get a larger part.
			}
			s.next = start + ident.Time(random.ExpFloat64()/s.perSecond*float64(time.Second))
			list = append(list, s)
		}
	}
	return list
}

// run plays the load for some seconds and prints how the hot team and the others are served, and what the messages cost.
func (l scarceLoad) run(t *testing.T, out *bytes.Buffer, seed uint64) {
	const seconds = 12
	random := rand.New(rand.NewPCG(seed, 7))
	sim := newSimulation(0, map[ident.Team]limit.Rule{})
	sim.now = 3000 * ms // Past the time in which a new owner lends nothing, with full buckets.
	senders := l.senders(random, sim.rules, sim.now)
	sim.owner.SetRules(0, sim.rules)
	sim.period, sim.prefetch = 150*time.Millisecond, 2
	sim.borrowers = make([]*limit.Borrower, l.hosts)
	sim.busyUntil, sim.incarnations = make([]ident.Time, l.hosts), make([]ident.Incarnation, l.hosts)
	delays := make([]ident.Time, l.hosts)
	for h := range l.hosts {
		sim.restart(h)
		delays[h] = ident.Time(12+random.IntN(19)) * ms
	}
	ideal := map[ident.Team]*idealBucket{}
	for team, rule := range sim.rules {
		ideal[team] = &idealBucket{rule: rule, tokens: float64(rule.Burst)}
	}
	var hot, others served
	admitted := map[int]bool{}
	sim.decided = func(w waiting, refused *limit.Exceeded) {
		group := &others
		if w.Team == hotTeam {
			group = &hot
		}
		group.count(w, admitted[w.number], refused, sim.now)
	}
	calls, start := 0, sim.now
	for ; sim.now < start+seconds*1000*ms; sim.now += ms {
		for _, s := range senders {
			for s.next <= sim.now {
				perSecond := s.perSecond
				if at := sim.now - start; s.boosted && s.priority == 2 && at >= 3000*ms && at < 8000*ms {
					perSecond *= 2.4
				}
				s.next += max(1, ident.Time(random.ExpFloat64()/perSecond*float64(time.Second)))
				admitted[sim.requests+1] = ideal[s.team].admits(sim.now)
				objective := objectives[s.priority]
				sim.takeFor(s.host, limit.Request{Team: s.team, Priority: s.priority, MaxWait: time.Duration(objective / 4)}, sim.now+objective)
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
	for team := range sim.rules {
		require.LessOrEqual(t, sim.excess(team), 1e-6, team)
	}
	fmt.Fprintf(out, "seed %d: %d calls and %d bytes per second\n", seed, calls/seconds, sim.bytes/seconds)
	hot.print(out, "hot team")
	others.print(out, "others")
}

// Guards against tokens that lie at hosts which don't need them, and against urgent requests that are refused while less urgent ones
// of their team get tokens: 65 hosts, 72 teams with bursts of 20 to 30 tokens, one team at many times its rate. The golden file has
// the counts of the rule before scarce teams, from testdata/hard_load_before.txt, and of the present one.
func TestManyHostsAndSmallBursts(t *testing.T) {
	before, err := os.ReadFile("testdata/hard_load_before.txt")
	require.NoError(t, err)
	out := bytes.NewBuffer(append(before, "\nPresent rule:\n"...))
	for seed := range uint64(3) {
		scarceLoad{hosts: 65, teams: 72, minRate: 20, rates: 11}.run(t, out, seed)
	}
	goldie.New(t).Assert(t, "hard_load", out.Bytes())
}

// Guards against a change for teams whose burst is large beside the number of hosts: the golden file was recorded before scarce
// teams existed.
func TestLargeBurstsAreLentAsBefore(t *testing.T) {
	var out bytes.Buffer
	for seed := range uint64(2) {
		scarceLoad{hosts: 12, teams: 8, minRate: 100, rates: 100}.run(t, &out, seed)
	}
	goldie.New(t).Assert(t, "large_bursts", out.Bytes())
}
