package limit_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

// mostInWindow returns the most tokens by which spending in any span up to the window exceeds burst + rate x span.
func mostInWindow(spends []ident.Time, rule limit.Rule, window ident.Time) float64 {
	worst := 0.0
	for i, from := range spends {
		for j := i; j < len(spends) && spends[j]-from <= window; j++ {
			allowed := float64(rule.Burst) + float64(rule.Rate)*time.Duration(spends[j]-from).Seconds()
			worst = max(worst, float64(j-i+1)-allowed)
		}
	}
	return worst
}

// Guards against a team that exceeds rate and burst by more than the advance in one window: because two owners have all of it, because an advance is lent on top of a full bucket, because hosts that were only cut off still hold an earlier owner's tokens, or because tokens of an advance are put back.
func TestAdvanceStaysWithinTheOverrun(t *testing.T) {
	const window = 5000 * ms
	rapid.Check(t, func(r *rapid.T) {
		rule := limit.Rule{Rate: rapid.Uint32Range(1, 60).Draw(r, "rate"), Burst: rapid.Uint32Range(1, 40).Draw(r, "burst")}
		tokens := rapid.Int64Range(0, 40).Draw(r, "advance")
		sim := newSimulation(3, map[ident.Team]limit.Rule{"stalls": rule})
		// out is the percent of the advance that is out, as the log has it, and takenAt when this owner took its share.
		out, takenAt := uint32(0), ident.Time(0)
		for range rapid.IntRange(20, 150).Draw(r, "steps") {
			sim.now += rapid.SampledFrom([]ident.Time{5 * ms, 20 * ms, 100 * ms, 250 * ms, 900 * ms}).Draw(r, "elapsed")
			switch rapid.IntRange(0, 12).Draw(r, "event") {
			case 0:
				sim.restart(rapid.IntRange(0, 2).Draw(r, "host"))
			case 1, 2:
				sim.newOwner()
				takenAt = 0
			case 3, 4:
				if takenAt == 0 {
					share := limit.AdvanceShare(out, rapid.Bool().Draw(r, "restarted"))
					out, takenAt = out+share, sim.now
					sim.owner.Advance(sim.now, func(limit.Rule) int64 { return tokens * int64(share) / limit.WholeAdvance })
				}
			case 5, 6, 7:
				// An operation that has just got its token doesn't run.
				if n := len(sim.spent); n > 0 {
					sim.undo(n - 1 - rapid.IntRange(0, min(n, 10)-1).Draw(r, "undone"))
				}
			}
			if sim.now > max(sim.owner.LendsFrom(), takenAt)+window {
				out = 0
			}
			for host := range sim.borrowers {
				for range rapid.SampledFrom([]int{0, 0, 1, 5, 60}).Draw(r, "requests") {
					sim.take(host, "stalls")
				}
				sim.expire(host)
				sim.sendRequest(host, 5*ms, 5*ms)
			}
			sim.deliver(5 * ms)
		}
		if e := mostInWindow(sim.spends["stalls"], rule, window); e > float64(tokens)+1e-6 {
			r.Fatalf("a window exceeds rate %d and burst %d by %f tokens with an advance of %d", rule.Rate, rule.Burst, e, tokens)
		}
	})
}

// Guards against a team that exceeds rate, burst and overrun in one window because the hosts' reserves, which they spend while no owner
// answers, and the advances of two new owners add up to more than the overrun. The team asks for more than it gets from a full bucket on.
func TestReservesAndAdvancesStayWithinTheOverrun(t *testing.T) {
	for _, c := range []struct {
		rule  limit.Rule
		slack int64
		hosts int
	}{
		{limit.Rule{Rate: 2, Burst: 60}, 10, 3},
		{limit.Rule{Rate: 2, Burst: 60}, 40, 12},
		{limit.Rule{Rate: 10, Burst: 40}, 20, 6},
		{limit.Rule{Rate: 2, Burst: 40}, 20, 65},
	} {
		overrun := limit.Overrun{Window: 5 * time.Second, Fraction: 0.1, Slack: c.slack}
		sim := newSimulation(c.hosts, map[ident.Team]limit.Rule{"stalls": c.rule})
		for host := range c.hosts {
			sim.borrowers[host].SetReserves(sim.now, map[ident.Team]limit.Reserve{"stalls": overrun.Reserve(c.rule, c.hosts)})
		}
		sim.now = 60_000 * ms
		out := uint32(0)
		for _, restarted := range []bool{false, true} {
			askFor(sim, 300*ms)
			sim.down = true
			askFor(sim, 300*ms)
			sim.down = false
			sim.newOwner()
			share := limit.AdvanceShare(out, restarted)
			out += share
			sim.owner.Advance(sim.now, func(rule limit.Rule) int64 { return overrun.Advance(rule, c.hosts) * int64(share) / limit.WholeAdvance })
		}
		askFor(sim, 4000*ms)
		tokens := (float64(c.rule.Rate)*5+float64(c.rule.Burst))*overrun.Fraction + float64(overrun.Slack)
		excess := mostInWindow(sim.spends["stalls"], c.rule, 5000*ms)
		require.LessOrEqual(t, excess, tokens, "%+v", c)
		require.Greater(t, excess, tokens/3, "%+v", c)
	}
}

// askFor makes all hosts ask for many tokens for a time.
func askFor(sim *simulation, d ident.Time) {
	for end := sim.now + d; sim.now < end; sim.now += 5 * ms {
		sim.deliver(5 * ms)
		for host := range sim.borrowers {
			if sim.now%(20*ms) == 0 {
				sim.take(host, "stalls")
				sim.take(host, "stalls")
			}
			sim.expire(host)
			sim.sendRequest(host, 5*ms, 5*ms)
		}
	}
}

// Guards against a new owner that lends nothing until the loans of an earlier one are over, although the overrun allows some, and
// against one whose buckets are empty although no owner has lent for long.
func TestNewOwnerLends(t *testing.T) {
	rules := map[ident.Team]limit.Rule{"stalls": {Rate: 10, Burst: 30}}
	balance := func(electedAt ident.Time, advance int64) int64 {
		owner := limit.NewOwner(limit.OwnerOptions{Since: 1000 * ms})
		owner.SetRules(electedAt, rules)
		if advance > 0 {
			owner.Advance(electedAt, func(limit.Rule) int64 { return advance })
		}
		return owner.Balance(electedAt, "stalls").Bucket
	}
	require.EqualValues(t, 0, balance(1100*ms, 0))
	require.EqualValues(t, 12, balance(1100*ms, 12))
	require.EqualValues(t, 30, balance(1100*ms, 40), "the burst bounds the bucket")
	require.EqualValues(t, 20, balance(3500*ms, 0), "the bucket has refilled since the last loans ended")
	require.EqualValues(t, 30, balance(60_000*ms, 12))
}

// Guards against owners that take more than the whole advance together, and against an ordinary change of the owner that leaves none for
// the restart of all.
func TestAdvanceShare(t *testing.T) {
	for _, c := range []struct {
		out       uint32
		restarted bool
		share     uint32
	}{
		{0, true, 100},
		{25, true, 75},
		{100, true, 0},
		{math.MaxUint32, true, 0},
		{0, false, 25},
		{25, false, 25},
		{90, false, 10},
		{100, false, 0},
	} {
		require.Equal(t, c.share, limit.AdvanceShare(c.out, c.restarted), "%d out, restarted %t", c.out, c.restarted)
	}
}

// Guards against an overrun that is given out twice: by hosts that know half, all or more of the hosts, and by the owner's advance.
func TestOverrunIsDivided(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		overrun := limit.Overrun{
			Window: 5 * time.Second, Fraction: rapid.Float64Range(0, 0.5).Draw(r, "fraction"), Slack: rapid.Int64Range(0, 50).Draw(r, "slack"),
		}
		rule := limit.Rule{Rate: rapid.Uint32Range(1, 400).Draw(r, "rate"), Burst: rapid.Uint32Range(1, 400).Draw(r, "burst")}
		hosts := rapid.IntRange(1, 300).Draw(r, "hosts")
		tokens := (float64(rule.Rate)*5+float64(rule.Burst))*overrun.Fraction + float64(overrun.Slack)
		given := float64(overrun.Advance(rule, hosts)) + float64(overrun.Reserve(rule, hosts).Tokens)*float64(hosts)
		require.LessOrEqual(r, given, tokens+1e-6)
		// A host that knows only half of the others has a reserve only beside the small advance.
		if overrun.Reserve(rule, hosts/2).Tokens > 0 {
			require.LessOrEqual(r, float64(overrun.Advance(rule, hosts)), tokens*3/8)
		}
	})
	require.Zero(t, limit.Overrun{}.Advance(limit.Rule{Rate: 10, Burst: 10}, 3), "without settings there is none")
	withoutWindow := limit.Overrun{Fraction: 0.1, Slack: 20}
	require.Zero(t, withoutWindow.Advance(limit.Rule{Rate: 10, Burst: 10}, 3))
	require.Zero(t, withoutWindow.Reserve(limit.Rule{Rate: 10, Burst: 10}, 3), "a reserve without a window could be spent again and again")
	large := limit.Overrun{Window: 5 * time.Second, Fraction: 0.1, Slack: 20}
	require.EqualValues(t, 20, large.Advance(limit.Rule{Rate: 10, Burst: 20}, 65), "hosts of a large fleet have no reserve")
}
