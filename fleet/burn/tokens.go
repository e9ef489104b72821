package burn

import (
	"math"

	"tamarackshunt.dev/fleet/ident"
)

// tokens follows the least number of tokens that a team can have had, one step after another.
type tokens struct {
	least float64
	step  int64
	open  Counts
}

// follow adds requests to a team's current step, and closes the step before when a new one begins.
func (m *Meter) follow(now ident.Time, team ident.Team, c Counts) {
	limit, limited := m.limits[team]
	if !limited {
		delete(m.tokens, team)
		return
	}
	number := int64(max(now, 0)) / int64(step)
	t := m.tokens[team]
	if t == nil {
		t = &tokens{step: number}
		m.tokens[team] = t
	}
	if number > t.step {
		m.close(team, t, limit)
		idle := float64(number-t.step-1) * step.Seconds()
		t.least = min(limit.Burst, t.least+idle*limit.Rate)
		t.step, t.open = number, Counts{}
	}
	t.open = t.open.Plus(c)
}

// close adds the requests of a step that were due tokens in whatever order they came: a request waits for a step's
// length before it is refused, so the tokens of that time count as well.
func (m *Meter) close(team ident.Team, t *tokens, limit Limit) {
	granted := limit.Rate * step.Seconds()
	s := m.at(ident.Time(t.step * int64(step)))
	due := min(float64(t.open.Asked), t.least+granted)
	s.due[team] += due
	// Tokens that were due but not used are gone, so that the same token is not due twice.
	t.least = max(min(limit.Burst, t.least+granted)-max(due, float64(t.open.got())), 0)
}

// wrongful counts refusals for rate that no order of arrival explains. In each bucket a step's worth of requests is left
// out, since hosts report requests and their outcomes at different times.
func (m *Meter) wrongful(slots []*slot) Value {
	var v Value
	for _, s := range slots {
		for team, c := range s.teams {
			limit, limited := m.limits[team]
			if !limited {
				continue
			}
			v.Known = true
			missed := s.due[team] - float64(c.got()) - limit.Rate*step.Seconds()
			v.Amount += math.Floor(min(max(missed, 0), float64(c.RefusedRate)))
		}
	}
	v.Burn = v.Amount
	return v
}
