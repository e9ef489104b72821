package limit_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

// Guards invariant 7 (no team exceeds rate and burst over all hosts) against lost, late, reordered and repeated
// messages, restarted borrowers, changes of owner, and tokens that are put back for operations that did not run.
func TestSpendingStaysWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rule := limit.Rule{Rate: rapid.Uint32Range(1, 400).Draw(r, "rate"), Burst: rapid.Uint32Range(1, 60).Draw(r, "burst")}
		sim := newSimulation(3, map[ident.Team]limit.Rule{"stalls": rule})
		delay := func(name string) ident.Time {
			return rapid.SampledFrom([]ident.Time{0, ms, ms, 5 * ms, 5 * ms, 10 * ms, 10 * ms, 80 * ms, 400 * ms, 600 * ms, -1}).Draw(r, name)
		}
		for range rapid.IntRange(20, 150).Draw(r, "steps") {
			sim.now += rapid.SampledFrom([]ident.Time{ms, 5 * ms, 10 * ms, 20 * ms, 100 * ms, 250 * ms}).Draw(r, "elapsed")
			host := rapid.IntRange(0, 2).Draw(r, "host")
			switch rapid.IntRange(0, 40).Draw(r, "event") {
			case 0:
				sim.restart(host)
			case 1:
				sim.newOwner()
			case 2:
				if n := len(sim.messages); n > 0 {
					sim.messages = append(sim.messages, sim.messages[rapid.IntRange(0, n-1).Draw(r, "repeated")])
				}
			}
			for host := range sim.borrowers {
				// Pauses let borrowers accumulate tokens, which the next burst of requests then spends at once.
				for range rapid.SampledFrom([]int{0, 0, 0, 0, 1, 5, 60}).Draw(r, "requests") {
					sim.take(host, "stalls")
				}
				for range rapid.SampledFrom([]int{0, 0, 1, 10}).Draw(r, "undone") {
					if n := len(sim.spent); n > 0 {
						sim.undo(n - 1 - rapid.IntRange(0, min(n-1, 80)).Draw(r, "undone request"))
					}
				}
				sim.expire(host)
				sim.sendRequest(host, delay("request delay"), delay("response delay"))
			}
			sim.deliver(delay("response delay"))
		}
		if e := sim.excess("stalls"); e > 1e-6 {
			r.Fatalf("a window exceeds rate %d and burst %d by %f tokens", rule.Rate, rule.Burst, e)
		}
	})
}

// load is one team's requests per second and the part of them that reaches host 0; the others get equal parts.
type load struct {
	team ident.Team
	rate float64
	skew float64
}

// runLoads sends Poisson requests for some seconds over hosts with a delay of 5 ms to the owner, and returns the
// number of messages to the owner.
func runLoads(sim *simulation, seconds int, loads []load, random *rand.Rand) (requests int) {
	next := slices.Repeat([]ident.Time{sim.now}, len(loads))
	for end := sim.now + ident.Time(seconds)*1000*ms; sim.now < end; sim.now += ms {
		for i, l := range loads {
			for next[i] <= sim.now {
				next[i] += ident.Time(random.ExpFloat64() / l.rate * 1000 * float64(ms))
				host := 0
				if random.Float64() >= l.skew {
					host = 1 + random.IntN(len(sim.borrowers)-1)
				}
				sim.take(host, l.team)
			}
		}
		sim.deliver(5 * ms)
		for h := range sim.borrowers {
			sim.expire(h)
			if sim.sendRequest(h, 5*ms, 5*ms) {
				requests++
			}
		}
	}
	return requests
}

// Guards invariant 7 together with the bound on wrongful refusals. A team at nine tenths of its rate, most of whose
// requests reach one host, must have no refusals while another team sends eight times its rate. That other team must
// get its whole rate.
func TestTeamAtEightTimesItsRate(t *testing.T) {
	rules := map[ident.Team]limit.Rule{
		"stalls": {Rate: 100, Burst: 50}, "lamps": {Rate: 100, Burst: 50},
		"dues": {Rate: 10, Burst: 5}, "rentals": {Rate: 400, Burst: 40},
	}
	loads := []load{{"stalls", 90, 0.7}, {"lamps", 800, 0.1}, {"dues", 8, 0}, {"rentals", 360, 0.5}}
	sim := newSimulation(12, rules)
	sim.now = 1000 * ms // Past the time in which a new owner lends nothing.
	var out bytes.Buffer
	requests := runLoads(sim, 20, loads, rand.New(rand.NewPCG(1, 2)))
	fmt.Fprintf(&out, "20 s, 12 hosts, %d messages to the owner\n", requests)
	for _, l := range loads {
		fmt.Fprintf(&out, "%-8s rate %3d burst %2d sends %3.0f/s: %5d ran, %4d refused, longest wait %d ms\n", l.team,
			rules[l.team].Rate, rules[l.team].Burst, l.rate, len(sim.spends[l.team]), sim.refused[l.team], sim.longestWaits[l.team]/ms)
		require.LessOrEqual(t, sim.excess(l.team), 1e-6, l.team)
		if l.team != "lamps" {
			require.Zero(t, sim.refused[l.team], l.team)
		}
	}
	require.Greater(t, len(sim.spends["lamps"]), 20*95)
	goldie.New(t).Assert(t, "eight_times", out.Bytes())
}

// Guards invariant 7 and the bound on wrongful refusals during a change of owner: there is no owner for 1 s, and the
// new one lends nothing for 500 ms. A team at less than half of its rate waits but has no refusals. A team near its
// rate loses the tokens of 1.5 s for good, so that some of its later requests wait for more than 1 s.
func TestChangeOfOwner(t *testing.T) {
	rules := map[ident.Team]limit.Rule{"stalls": {Rate: 100, Burst: 50}, "lamps": {Rate: 100, Burst: 50}, "dues": {Rate: 10, Burst: 5}}
	loads := []load{{"stalls", 45, 0.7}, {"lamps", 95, 0.1}, {"dues", 2, 0}}
	sim := newSimulation(12, rules)
	sim.now = 1000 * ms
	random := rand.New(rand.NewPCG(5, 6))
	runLoads(sim, 5, loads, random)
	sim.down = true
	runLoads(sim, 1, loads, random)
	sim.down = false
	sim.newOwner()
	runLoads(sim, 20, loads, random)
	var out bytes.Buffer
	for _, l := range loads {
		fmt.Fprintf(&out, "%-8s rate %3d burst %2d sends %3.0f/s: %5d ran, %4d refused, longest wait %d ms\n", l.team,
			rules[l.team].Rate, rules[l.team].Burst, l.rate, len(sim.spends[l.team]), sim.refused[l.team], sim.longestWaits[l.team]/ms)
		require.LessOrEqual(t, sim.excess(l.team), 1e-6, l.team)
	}
	require.Zero(t, sim.refused["stalls"]+sim.refused["dues"])
	goldie.New(t).Assert(t, "owner_change", out.Bytes())
}

// Guards against borrowers that keep tokens which others wait for: after demand moves to another host, the first host
// must return its tokens before they expire.
func TestUnusedTokensAreReturned(t *testing.T) {
	sim := newSimulation(2, map[ident.Team]limit.Rule{"stalls": {Rate: 100, Burst: 40}})
	runLoads(sim, 3, []load{{"stalls", 90, 1}}, rand.New(rand.NewPCG(3, 4)))
	require.Positive(t, sim.owner.Balance(sim.now, "stalls").Lent)
	for range 600 {
		sim.now += ms
		sim.deliver(5 * ms)
		sim.sendRequest(0, 5*ms, 5*ms)
	}
	require.Zero(t, sim.owner.Balance(sim.now, "stalls").Lent)
	require.GreaterOrEqual(t, sim.owner.Balance(sim.now, "stalls").Bucket, int64(39))
}

// Guards against one host that gets all scarce tokens because it wants more, or sends more requests, than the others.
func TestScarceTokensAreSharedMaxMin(t *testing.T) {
	sim := newSimulation(0, map[ident.Team]limit.Rule{"stalls": {Rate: 100, Burst: 30}})
	got := map[string]uint32{}
	for i := range 400 {
		sim.now += 10 * ms
		for _, host := range []string{"greedy", "plain", "modest"} {
			if i%5 != 0 && host != "greedy" {
				continue
			}
			want := map[string]uint32{"greedy": 500, "plain": 500, "modest": 1}[host]
			response := sim.owner.Borrow(sim.now, &fleetpb.BorrowRequest{
				Host: host, Seq: uint64(i), Wanted: []*fleetpb.Tokens{{Team: "stalls", Amount: want, Waiting: want}},
				Held: []*fleetpb.Tokens{{Team: "stalls", Loan: uint64(i - 5)}, {Team: "stalls", Loan: uint64(i - 1)}},
			})
			for _, l := range response.GetLent() {
				got[host] += l.GetAmount()
			}
		}
	}
	require.InDelta(t, got["plain"], got["greedy"], 0.25*float64(got["plain"]))
	// A token that is missing at one request is kept for the next: one token for two requests, except in the first
	// 500 ms.
	require.GreaterOrEqual(t, got["modest"], uint32(34))
	require.LessOrEqual(t, got["plain"]+got["greedy"]+got["modest"], uint32(350+30))
}

// Guards against a new owner that lends while loans of the earlier one can still be spent.
func TestNewOwnerWaits(t *testing.T) {
	owner := limit.NewOwner(limit.OwnerOptions{Since: 1000 * ms})
	owner.SetRules(1000*ms, map[ident.Team]limit.Rule{"stalls": {Rate: 1000, Burst: 100}})
	want := func(now ident.Time) int {
		sum := 0
		for _, t := range owner.Borrow(now, &fleetpb.BorrowRequest{
			Host: "a", Seq: uint64(now), Wanted: []*fleetpb.Tokens{{Team: "stalls", Amount: 5, Waiting: 5}},
		}).GetLent() {
			sum += int(t.GetAmount())
		}
		return sum
	}
	require.Zero(t, want(1499*ms))
	require.Zero(t, want(1500*ms), "the bucket starts empty")
	require.Equal(t, 5, want(1510*ms))
}

// Guards against reports that put a borrower's tokens back twice when they arrive late, repeated or out of order.
func TestReportsCountOnce(t *testing.T) {
	type report struct {
		at             ident.Time
		held, returned uint32
	}
	tests := []struct {
		name    string
		reports []report
		want    limit.Balance // at the last report; the loan of 10 at 1,000 ms leaves no capacity for a refill
	}{
		{"none", nil, limit.Balance{Bucket: 10, Lent: 10}},
		{"spent", []report{{1010 * ms, 4, 0}}, limit.Balance{Bucket: 10, Lent: 4}},
		{"returned", []report{{1010 * ms, 4, 6}}, limit.Balance{Bucket: 16, Lent: 4}},
		{"returned twice", []report{{1010 * ms, 4, 6}, {1020 * ms, 4, 6}}, limit.Balance{Bucket: 16, Lent: 4}},
		{"out of order", []report{{1010 * ms, 2, 6}, {1020 * ms, 5, 5}}, limit.Balance{Bucket: 16, Lent: 2}},
		{"more than lent", []report{{1010 * ms, 40, 0}}, limit.Balance{Bucket: 10, Lent: 10}},
		{"more than neither held nor spent", []report{{1010 * ms, 9, 6}}, limit.Balance{Bucket: 10, Lent: 9}},
		{"after the expiry", []report{{1500 * ms, 0, 10}}, limit.Balance{Bucket: 10, Lent: 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := limit.NewOwner(limit.OwnerOptions{Since: -9500 * ms})
			o.SetRules(-9500*ms, map[ident.Team]limit.Rule{"stalls": {Rate: 10, Burst: 20}})
			request := &fleetpb.BorrowRequest{Seq: 1, Wanted: []*fleetpb.Tokens{{Team: "stalls", Amount: 10, Waiting: 10}}}
			require.Equal(t, uint32(10), o.Borrow(1000*ms, request).GetLent()[0].GetAmount())
			require.Equal(t, uint32(10), o.Borrow(1001*ms, request).GetLent()[0].GetAmount(), "the same loan again")
			now := 1010 * ms
			for i, r := range tt.reports {
				o.Borrow(r.at, &fleetpb.BorrowRequest{
					Seq: uint64(i + 2), Held: []*fleetpb.Tokens{{Team: "stalls", Loan: 1, Amount: r.held}},
					Returned: []*fleetpb.Tokens{{Team: "stalls", Loan: 1, Amount: r.returned}},
				})
				now = max(now, r.at)
			}
			tt.want.Borrowers = 1
			require.Equal(t, tt.want, o.Balance(now, "stalls"))
		})
	}
}

// Guards invariants 7 and 9 against responses of the owner that are late, repeated or for another request: tokens of a
// repeated response or an expired loan must not be spent, and no request may get the token of another one.
func TestLateAndCrossedAnswers(t *testing.T) {
	var out bytes.Buffer
	b := limit.NewBorrower(limit.BorrowerOptions{Host: "entry", Incarnation: 1})
	now := 100 * ms
	record := func(what string, outcomes []limit.Outcome) {
		fmt.Fprintf(&out, "%4d ms  %-44s holds %d;", now/ms, what, b.Held(now, "stalls"))
		for _, o := range outcomes {
			if o.Refused != nil {
				fmt.Fprintf(&out, " request %d is refused: %v", o.ID, o.Refused)
				continue
			}
			fmt.Fprintf(&out, " request %d runs", o.ID)
		}
		fmt.Fprintln(&out)
	}
	answer := func(seq uint64, amount uint32) *fleetpb.BorrowResponse {
		return &fleetpb.BorrowResponse{Seq: seq, LifetimeMs: 500, Lent: []*fleetpb.Tokens{{Team: "stalls", Amount: amount, Loan: seq}}}
	}
	take := func() {
		decision, _ := b.Take(now, limit.Request{Team: "stalls"}, now+2000*ms)
		record(fmt.Sprintf("a request comes: %T%v", decision, decision), nil)
	}
	take()
	take()
	first := b.NextRequest(now)
	b.HandleFailure(now)
	record("request 1 to the owner gets no answer", nil)
	now += 60 * ms
	second := b.NextRequest(now)
	require.NotEqual(t, first.GetSeq(), second.GetSeq())
	now += 10 * ms
	record("answer 2 lends 1", b.HandleResponse(now, answer(second.GetSeq(), 1)))
	record("answer 2 again", b.HandleResponse(now, answer(second.GetSeq(), 1)))
	now += 10 * ms
	record("answer 1 lends 2, late", b.HandleResponse(now, answer(first.GetSeq(), 2)))
	record("answer 9 was never asked for", b.HandleResponse(now, answer(9, 5)))
	now = 599 * ms
	record("the loan of answer 1 lives", nil)
	now = 600 * ms
	record("it ends 500 ms after request 1", nil)
	take()
	third := b.NextRequest(now)
	now += 500 * ms
	record("answer 3 lends 4, too late", b.HandleResponse(now, answer(third.GetSeq(), 4)))
	now += 500 * ms
	record("the request has waited for 1 s", b.Expire(now, "stalls"))
	take()
	b.NextRequest(now)
	b.HandleFailure(now)
	now += 1500 * ms
	record("no owner answers", b.Expire(now, "stalls"))
	now += 500 * ms
	record("the deadline", b.Expire(now, "stalls"))
	goldie.New(t).Assert(t, "crossed", out.Bytes())
}
