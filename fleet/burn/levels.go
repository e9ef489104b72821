package burn

import (
	"fmt"

	"tamarackshunt.dev/fleet/ident"
)

// Unit is the unit of a level's amounts.
type Unit int

// Units of levels.
const (
	// Share is a fraction from 0 to 1.
	Share Unit = iota
	// Seconds is a duration in seconds.
	Seconds
	// Requests is a number of requests.
	Requests
)

// Format returns an amount as it is shown to operators, or "-" if it is not known.
func (u Unit) Format(v Value) string {
	if !v.Known {
		return "-"
	}
	switch u {
	case Share:
		return fmt.Sprintf("%.1f%%", 100*v.Amount)
	case Seconds:
		return fmt.Sprintf("%.2f s", v.Amount)
	default:
		return fmt.Sprintf("%.0f", v.Amount)
	}
}

// Point is a measurement over one bucket of time.
type Point struct {
	// At is the start of the bucket.
	At     ident.Time
	Amount float64
}

// Level is the result for one service level over both windows.
type Level struct {
	Name      string
	Objective string
	Unit      Unit
	// Bound is the limit given by the objective.
	Bound float64
	Fast  Value
	Slow  Value
	State string
	Note  string
}

// Series are the points of a level, oldest first. Buckets without data have no point.
type Series []Point

// definition describes a service level and selects its value from Measures.
type definition struct {
	name      string
	objective string
	unit      Unit
	bound     float64
	value     func(Measures) Value
}

var definitions = []definition{
	{"reads served by replicas", "at least 90%", Share, ReplicaShare, func(m Measures) Value { return m.ReplicaShare }},
	{"failover gap, median", "under 3 s", Seconds, GapMedian.Seconds(), func(m Measures) Value { return m.GapMedian }},
	{"failover gap, longest", "under 20 s", Seconds, GapLongest.Seconds(), func(m Measures) Value { return m.GapLongest }},
	{"worst-served team", "at least 95%", Share, WorstServed, func(m Measures) Value { return m.WorstServed }},
	{"wrongful refusals, at least", "none", Requests, 0, func(m Measures) Value { return m.Wrongful }},
	{"failures in zone changes", "none", Requests, 0, func(m Measures) Value { return m.ZoneFailures }},
}

// worstServedName is the name of the level whose note names the worst-served team.
const worstServedName = "worst-served team"

// Levels returns the service levels over the windows before now.
func (m *Meter) Levels(now ident.Time) []Level {
	fast, slow := m.Measure(now, Fast), m.Measure(now, Slow)
	levels := make([]Level, 0, len(definitions))
	for _, d := range definitions {
		level := Level{
			Name: d.name, Objective: d.objective, Unit: d.unit, Bound: d.bound, Fast: d.value(fast), Slow: d.value(slow),
		}
		level.State = level.state()
		if d.name == worstServedName {
			level.Note = worstTeamNote(fast, slow)
		}
		levels = append(levels, level)
	}
	return levels
}

// Series returns the points of each level over the slow window, in the order of Levels. The last bucket is not
// complete yet.
func (m *Meter) Series(now ident.Time) []Series {
	all := make([]Series, len(definitions))
	for _, b := range m.window(now, Slow) {
		at := ident.Time(b.number * int64(Bucket))
		measures := m.Measure(at, Bucket)
		for i, d := range definitions {
			if v := d.value(measures); v.Known {
				all[i] = append(all[i], Point{At: at, Amount: v.Amount})
			}
		}
	}
	return all
}

// Restart clears all counts, for a meter that has not counted for a while. The time of the last zone change is kept.
func (m *Meter) Restart(now ident.Time) {
	clear(m.buckets)
	clear(m.tokens)
	m.began = now
}

// Began returns the time at which the meter began to count.
func (m *Meter) Began() ident.Time {
	return m.began
}

// state distinguishes a miss that lasts from one that has just begun: the slow window includes the fast one.
func (l Level) state() string {
	allowance := 1.0
	if l.Bound == 0 {
		allowance = 0
	}
	switch {
	case !l.Slow.Known:
		return "no data"
	case l.Slow.Burn > allowance:
		return "missed"
	case l.Fast.Burn > allowance:
		return "burning"
	default:
		return "met"
	}
}
