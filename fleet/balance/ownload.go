package balance

import (
	"cmp"
	"slices"
	"time"
)

// Costs of the order by a host's own load, as equivalent waiting time.
const (
	costPerStatement = 10 * time.Millisecond
	costAvoided      = time.Second
)

// byOwnLoad orders options by distance, the host's own statements and recent failures.
func byOwnLoad(options []Option) []int {
	cost := func(o Option) time.Duration {
		cost := time.Duration(o.InFlight)*costPerStatement + o.Distance.cost()
		if o.Avoid {
			cost += costAvoided
		}
		return cost
	}
	indexes := make([]int, len(options))
	for i := range indexes {
		indexes[i] = i
	}
	slices.SortStableFunc(indexes, func(i, j int) int { return cmp.Compare(cost(options[i]), cost(options[j])) })
	return indexes
}
