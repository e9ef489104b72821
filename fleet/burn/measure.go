package burn

import (
	"maps"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

// Objectives, the bounds of section 2 of the design page.
const (
	ReplicaShare = 0.90
	GapMedian    = 3 * time.Second
	GapMost      = 20 * time.Second
	WorstServed  = 0.95
)

// leastDemand is the number of requests below which a team's share says nothing.
const leastDemand = 20

// Value is a measure over one window.
type Value struct {
	// Known is false when the window holds nothing to measure.
	Known  bool
	Amount float64
	// Burn is the part of the allowance that is used: 1 is the whole of it, more misses the objective. For objectives
	// that allow nothing it is the number of misses.
	Burn float64
}

// Measures are the service levels over one window. Shares are from 0 to 1, gaps in seconds, others in requests.
type Measures struct {
	ReplicaShare Value
	GapMedian    Value
	GapMost      Value
	WorstServed  Value
	WorstTeam    ident.Team
	Wrongful     Value
	ZoneFailures Value
}

// Measure returns the service levels over the time before now.
func (m *Meter) Measure(now ident.Time, length time.Duration) Measures {
	slots := m.window(now, length)
	totals := map[ident.Team]Counts{}
	for _, s := range slots {
		for team, c := range s.teams {
			totals[team] = totals[team].Plus(c)
		}
	}
	measures := Measures{
		ReplicaShare: replicaShare(totals),
		Wrongful:     m.wrongful(slots),
		ZoneFailures: zoneFailures(slots),
	}
	measures.GapMedian, measures.GapMost = gaps(slots)
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

func gaps(slots []*slot) (median, most Value) {
	var all []time.Duration
	for _, s := range slots {
		all = append(all, s.gaps...)
	}
	if len(all) == 0 {
		return Value{}, Value{}
	}
	slices.Sort(all)
	middle, last := all[len(all)/2], all[len(all)-1]
	median = Value{Known: true, Amount: middle.Seconds(), Burn: middle.Seconds() / GapMedian.Seconds()}
	most = Value{Known: true, Amount: last.Seconds(), Burn: last.Seconds() / GapMost.Seconds()}
	return median, most
}

func zoneFailures(slots []*slot) Value {
	var v Value
	for _, s := range slots {
		v.Known = v.Known || s.changing
		v.Amount += float64(s.failed)
	}
	v.Burn = v.Amount
	return v
}

// worstServed returns the least share of its fair part that a team was served. The fair parts divide what all teams were
// served by weight, where no team is due more than it asked for and its limit grants.
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
	fair := m.divide(capacity, demands)
	worst, which := Value{}, ident.Team("")
	for _, team := range slices.Sorted(maps.Keys(fair)) {
		if demands[team] < leastDemand || fair[team] == 0 {
			continue
		}
		share := float64(totals[team].Served) / fair[team]
		if !worst.Known || share < worst.Amount {
			worst, which = Value{Known: true, Amount: share, Burn: max(1-share, 0) / (1 - WorstServed)}, team
		}
	}
	return worst, which
}

// divide gives each team the lesser of its demand and its weighted part of what the others leave.
func (m *Meter) divide(capacity float64, demands map[ident.Team]float64) map[ident.Team]float64 {
	open := slices.Sorted(maps.Keys(demands))
	weight := func(team ident.Team) float64 {
		if limit, limited := m.limits[team]; limited {
			return limit.Weight
		}
		return 1
	}
	slices.SortStableFunc(open, func(a, b ident.Team) int {
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
	for _, team := range open {
		weights += weight(team)
	}
	fair := map[ident.Team]float64{}
	for _, team := range open {
		fair[team] = min(demands[team], capacity*weight(team)/weights)
		capacity -= fair[team]
		weights -= weight(team)
	}
	return fair
}
