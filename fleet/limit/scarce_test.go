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

	"tamarackshunt.dev/fleet/fleetpb"
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
	sent, refused     int
	admitted, wronged [3]int
	waitedToBeRefused ident.Time
	waitedToRun       []ident.Time
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
		// The teams ask for half of their rate up to nearly all of it, and the hot team for eight times as much.
		use := 0.5 + float64(0.45*random.Float64())
		for range count {
			priority, draw := 0, random.Float64()
			for draw > classes[priority].part && priority < len(classes)-1 {
				draw -= classes[priority].part
				priority++
			}
			perSecond := use * float64(rules[team].Rate) / float64(count)
			if team == hotTeam {
				perSecond *= 8 / use
			}
			// A few hosts get a larger part of the sessions.
			host := int(float64(l.hosts) * random.Float64() * random.Float64())
			next := sim.now + ident.Time(random.ExpFloat64()/perSecond*float64(time.Second))
			senders = append(senders, &sender{host: host, team: team, share: perSecond, boosted: i%3 == 1, next: next, priority: priority})
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
	fmt.Fprintf(out, "  %-8s sent %5d, ran %5d of %5d within rate and burst; refused after %3d ms in the mean, ran after %d ms in the "+
		"median and 99%% within %d ms\n", name, s.sent, len(s.waitedToRun), s.admitted[0]+s.admitted[1]+s.admitted[2],
		s.waitedToBeRefused/ms/ident.Time(max(1, s.refused)), middle/ms, late/ms)
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

// demandOf is a borrow request for waiting requests of one priority.
func demandOf(host string, seq uint64, priority int, waiting uint32) *fleetpb.BorrowRequest {
	waits := make([]uint32, priority+1)
	waits[priority] = waiting
	return &fleetpb.BorrowRequest{
		Host: host, Seq: seq, Wanted: []*fleetpb.Tokens{{Team: "stalls", Amount: waiting, Waiting: waiting, Waits: waits, Demand: waiting}},
	}
}

// Guards against less urgent requests of one host that get tokens while more urgent ones wait at another host, and against urgent
// requests that find the bucket empty at their first call.
func TestUrgentRequestsOfAllHostsGetTokensFirst(t *testing.T) {
	now := 10_000 * ms
	owner := limit.NewOwner(limit.OwnerOptions{})
	owner.SetRules(0, map[ident.Team]limit.Rule{"stalls": {Rate: 20, Burst: 16}})
	seq := uint64(0)
	lent := func(host string, priority int, waiting uint32) uint32 {
		seq++
		now += ms
		amount := owner.Borrow(now, demandOf(host, seq, priority, waiting)).GetLent()[0].GetAmount()
		owner.Borrow(now, &fleetpb.BorrowRequest{Host: host, Seq: seq, Held: []*fleetpb.Tokens{{Team: "stalls", Loan: seq}}})
		return amount
	}
	for i := range 6 {
		require.EqualValues(t, 1, lent(fmt.Sprint("urgent", i), 0, 1))
	}
	require.EqualValues(t, 9, lent("busy", 2, 30), "all but one token, which is kept for an urgent request")
	require.EqualValues(t, 1, lent("urgent0", 0, 4))
	now += 110 * ms
	require.Zero(t, lent("busy", 2, 30), "more urgent requests wait at another host")
	require.EqualValues(t, 2, lent("urgent0", 0, 3))
}

// Guards against tokens of a small burst that lie in advance at hosts which don't need them.
func TestTokensAreLentAheadFromASurplus(t *testing.T) {
	now := 10_000 * ms
	owner := limit.NewOwner(limit.OwnerOptions{})
	owner.SetRules(0, map[ident.Team]limit.Rule{"stalls": {Rate: 8, Burst: 24}})
	borrow := func(host string, amount, waiting uint32) (sum uint32) {
		for _, t := range owner.Borrow(now, &fleetpb.BorrowRequest{
			Host: host, Seq: uint64(now), Wanted: []*fleetpb.Tokens{{Team: "stalls", Amount: amount, Waiting: waiting}},
		}).GetLent() {
			sum += t.GetAmount()
		}
		return sum
	}
	for i := range 12 {
		borrow(fmt.Sprint("host", i), 1, 1) // The team is known at twelve hosts.
	}
	now += 4000 * ms
	var ahead uint32
	for i := range 12 {
		ahead += borrow(fmt.Sprint("host", i), 2, 0)
	}
	require.EqualValues(t, 3, ahead)
	now += ms
	require.EqualValues(t, 21, borrow("host0", 21, 21), "waiting requests get all that is left")
}

// Guards against requests that wait although their token comes too late, urgent requests that are refused because less urgent ones
// have to wait, and refused callers that return together.
func TestForecastRefusesAtOnce(t *testing.T) {
	var out bytes.Buffer
	now := 1000 * ms
	b := limit.NewBorrower(limit.BorrowerOptions{Host: "h", Incarnation: 1, Period: 150 * time.Millisecond})
	take := func(priority int, maxWait time.Duration) {
		decision, _ := b.Take(now, limit.Request{Team: "stalls", Priority: priority, MaxWait: maxWait}, now+2000*ms)
		fmt.Fprintf(&out, "%4d ms  priority %d, waits up to %v: ", now/ms, priority, maxWait)
		switch d := decision.(type) {
		case limit.Wait:
			fmt.Fprintf(&out, "waits, the next call is at %d ms\n", b.Due()/ms)
		case limit.Refuse:
			fmt.Fprintf(&out, "refused, %v, retry after %v\n", d.Exceeded.Cause, d.Exceeded.Retry)
		}
	}
	answer := func(retry, slot uint32) {
		request := b.NextRequest(now)
		now += 50 * ms
		fmt.Fprintf(&out, "%4d ms  the owner: next token in %d ms, then each %d ms\n", now/ms, retry, slot)
		for _, o := range b.HandleResponse(now, &fleetpb.BorrowResponse{Seq: request.GetSeq(), LifetimeMs: 500, Lent: []*fleetpb.Tokens{
			{Team: "stalls", Loan: request.GetSeq(), Scarce: true, RetryMs: retry, SlotMs: slot},
		}}) {
			fmt.Fprintf(&out, "         request %d is refused, %v, retry after %v\n", o.ID, o.Refused.Cause, o.Refused.Retry)
		}
	}
	take(2, 375*time.Millisecond)
	answer(100, 200)
	take(2, 375*time.Millisecond)
	take(2, 375*time.Millisecond)
	take(3, 150*time.Millisecond)
	take(0, 100*time.Millisecond)
	answer(120, 400)
	for range 9 {
		take(2, 375*time.Millisecond)
	}
	take(0, 100*time.Millisecond)
	take(1, 100*time.Millisecond)
	now += 500 * ms
	take(1, 100*time.Millisecond)
	answer(3000, 3000)
	take(1, 100*time.Millisecond)
	take(1, 100*time.Millisecond)
	goldie.New(t).Assert(t, "forecast", out.Bytes())
}

// Guards against a refunded token that lies idle while a request waits on the host, and against one that returns although its loan
// has expired.
func TestRefundServesWaitingRequests(t *testing.T) {
	now := 1000 * ms
	b := limit.NewBorrower(limit.BorrowerOptions{Host: "h", Incarnation: 1})
	take := func() limit.Decision {
		decision, _ := b.Take(now, limit.Request{Team: "stalls"}, now+2000*ms)
		return decision
	}
	take()
	request := b.NextRequest(now)
	outcomes := b.HandleResponse(now, &fleetpb.BorrowResponse{
		Seq: request.GetSeq(), LifetimeMs: 500, Lent: []*fleetpb.Tokens{{Team: "stalls", Amount: 2, Loan: request.GetSeq()}},
	})
	require.Len(t, outcomes, 1)
	second := take().(limit.Spent)
	third := take().(limit.Wait)
	served, done := b.Refund(now, outcomes[0].Receipt)
	require.True(t, done)
	require.Len(t, served, 1)
	require.Equal(t, third.ID, served[0].ID)
	_, done = b.Refund(now+500*ms, second.Receipt)
	require.False(t, done)
}
