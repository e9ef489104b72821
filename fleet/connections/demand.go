package connections

import (
	"math"
	"time"

	"tamarackshunt.dev/fleet/decay"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// demandTime is the time over which uses are averaged. It spans several uses of a team with average load.
	demandTime = 5 * time.Second
	// urgencyFactor is how many uses of one priority count as much as one of the next more urgent priority.
	urgencyFactor = 4
)

// demand is the decayed use of connections, by team.
type demand struct {
	teams map[ident.Team]*teamDemand
	// lastUse is the time of the last use of each priority.
	lastUse map[int]ident.Time
}

// teamDemand is the use of a team, decayed over demandTime: the number of uses, weighted by their urgency, and the time in seconds for
// which connections were held.
type teamDemand struct{ uses, held decay.Sum }

func newDemand() demand {
	return demand{teams: map[ident.Team]*teamDemand{}, lastUse: map[int]ident.Time{}}
}

// of returns the demand of a team.
func (d *demand) of(team ident.Team) *teamDemand {
	t := d.teams[team]
	if t == nil {
		t = &teamDemand{}
		d.teams[team] = t
	}
	return t
}

// use records that a statement of a priority asks for a connection.
func (d *demand) use(now ident.Time, team ident.Team, priority int) {
	if priority < 0 {
		// Requests of the host itself belong to no route.
		return
	}
	d.of(team).uses.Add(now, demandTime, math.Pow(urgencyFactor, -float64(priority)))
	d.lastUse[priority] = now
}

// hold records for how long a connection was held.
func (d *demand) hold(now ident.Time, team ident.Team, held time.Duration) {
	d.of(team).held.Add(now, demandTime, held.Seconds())
}

// urgent returns the priority of the most urgent route that was used lately.
func (d *demand) urgent(now ident.Time) int {
	urgent := math.MaxInt
	for priority, at := range d.lastUse {
		if now.Sub(at) < demandTime {
			urgent = min(urgent, priority)
		}
	}
	return urgent
}

// value returns the rate at which a team's n-th connection is needed, weighted by urgency. The chance that n-1 others are in use
// follows from the team's offered load, as in Erlang's formula.
func (d *demand) value(now ident.Time, team ident.Team, n int) float64 {
	t := d.of(team)
	value, load := t.uses.At(now, demandTime), t.held.Rate(now, demandTime)
	for k := 1; k < n; k++ {
		value *= min(1, load/float64(k))
	}
	return value
}
