package burn

import (
	"maps"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Objectives of the service levels, from section 2 of the design page.
const (
	ReplicaShare = 0.90
	GapMedian    = 3 * time.Second
	GapLongest   = 20 * time.Second
	WorstServed  = 0.95
)

// minDemand is the number of requests below which a team's share is not meaningful.
const minDemand = 20

// Value is a measurement over one window.
type Value struct {
	// Known is false if the window has no data.
	Known  bool
	Amount float64
	// Burn is the used fraction of the allowance: at 1 all of it is used, above 1 the objective is missed. For
	// objectives that allow nothing, it is the number of misses.
	Burn float64
}

// Measures are the service levels over one window. Shares are from 0 to 1, gaps in seconds, and the rest in requests.
type Measures struct {
	ReplicaShare Value
	GapMedian    Value
	GapLongest   Value
	WorstServed  Value
	WorstTeam    ident.Team
	// Wrongful is a lower bound of the requests that were refused for rate although their team's limit allowed them.
	Wrongful Value
	// ZoneFailures is the number of requests that failed within zoneChangeWindow after an availability zone was taken out
	// of service or returned.
	ZoneFailures Value
}

// Measure returns the service levels over the given length of time before now.
func (m *Meter) Measure(now ident.Time, length time.Duration) Measures {
	buckets := m.window(now, length)
	totals := map[ident.Team]Counts{}
	for _, b := range buckets {
		for team, c := range b.teams {
			totals[team] = totals[team].Plus(c)
		}
	}
	measures := Measures{
		ReplicaShare: replicaShare(totals),
		Wrongful:     m.wrongful(buckets),
		ZoneFailures: zoneFailures(buckets),
	}
	measures.GapMedian, measures.GapLongest = gaps(buckets)
	measures.WorstServed, measures.WorstTeam = m.worstServed(totals, length)
	return measures
}

func replicaShare(totals map[ident.Team]Counts) Value {
	var replica, all uint64
	for _, c := range totals {
		replica += c.ReadsReplica
		all += c.ReadsReplica + c.ReadsPrimary
	}
	if all == 0 {
		return Value{}
	}
	share := float64(replica) / float64(all)
	return Value{Known: true, Amount: share, Burn: (1 - share) / (1 - ReplicaShare)}
}

func gaps(buckets []*bucket) (median, longest Value) {
	var all []time.Duration
	for _, b := range buckets {
		all = append(all, b.gaps...)
	}
	if len(all) == 0 {
		return Value{}, Value{}
	}
	slices.Sort(all)
	middle, last := all[len(all)/2], all[len(all)-1]
	median = Value{Known: true, Amount: middle.Seconds(), Burn: middle.Seconds() / GapMedian.Seconds()}
	longest = Value{Known: true, Amount: last.Seconds(), Burn: last.Seconds() / GapLongest.Seconds()}
	return median, longest
}

func zoneFailures(buckets []*bucket) Value {
	var v Value
	for _, b := range buckets {
		v.Known = v.Known || b.changing
		v.Amount += float64(b.failed)
	}
	v.Burn = v.Amount
	return v
}

// worstServed returns the team that was served the smallest part of its fair share, and that part. Fair shares divide
// the served requests of all teams by weight, but a team's fair share is at most what it asked for and its limit
// grants.
func (m *Meter) worstServed(totals map[ident.Team]Counts, length time.Duration) (Value, ident.Team) {
	var capacity float64
	demands := map[ident.Team]float64{}
	for team, c := range totals {
		capacity += float64(c.Served)
		demand := float64(c.Asked)
		if limit, limited := m.limits[team]; limited {
			demand = min(demand, limit.Burst+limit.Rate*length.Seconds())
		}
		demands[team] = demand
	}
	fair := m.fairShares(capacity, demands)
	worst, worstTeam := Value{}, ident.Team("")
	for _, team := range slices.Sorted(maps.Keys(fair)) {
		if demands[team] < minDemand || fair[team] == 0 {
			continue
		}
		share := float64(totals[team].Served) / fair[team]
		if !worst.Known || share < worst.Amount {
			worst, worstTeam = Value{Known: true, Amount: share, Burn: max(1-share, 0) / (1 - WorstServed)}, team
		}
	}
	return worst, worstTeam
}

// fairShares divides a capacity by weight. Each team gets the lesser of its demand and its weighted part of what the other
// teams leave.
func (m *Meter) fairShares(capacity float64, demands map[ident.Team]float64) map[ident.Team]float64 {
	ordered := slices.Sorted(maps.Keys(demands))
	weight := func(team ident.Team) float64 {
		if limit, limited := m.limits[team]; limited {
			return limit.Weight
		}
		return 1
	}
	slices.SortStableFunc(ordered, func(a, b ident.Team) int {
		left, right := demands[a]/weight(a), demands[b]/weight(b)
		switch {
		case left < right:
			return -1
		case left > right:
			return 1
		default:
			return 0
		}
	})
	var weights float64
	for _, team := range ordered {
		weights += weight(team)
	}
	fair := map[ident.Team]float64{}
	for _, team := range ordered {
		fair[team] = min(demands[team], capacity*weight(team)/weights)
		capacity -= fair[team]
		weights -= weight(team)
	}
	return fair
}
