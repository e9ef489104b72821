package burn

import (
	"math"

	"tamarackshunt.dev/fleet/ident"
)

// tokenEstimate is a lower bound of a team's tokens. It is updated once for each step, an interval of length
// tokenStep.
type tokenEstimate struct {
	minimum float64
	step    int64
	counts  Counts
}

// addToStep adds requests to a team's current step, and closes the previous step when a new one begins.
func (m *Meter) addToStep(now ident.Time, team ident.Team, c Counts) {
	limit, limited := m.limits[team]
	if !limited {
		delete(m.tokens, team)
		return
	}
	number := int64(max(now, 0)) / int64(tokenStep)
	t := m.tokens[team]
	if t == nil {
		t = &tokenEstimate{step: number}
		m.tokens[team] = t
	}
	if number > t.step {
		m.close(team, t, limit)
		idle := float64(number-t.step-1) * tokenStep.Seconds()
		t.minimum = min(limit.Burst, t.minimum+idle*limit.Rate)
		t.step, t.counts = number, Counts{}
	}
	t.counts = t.counts.Plus(c)
}

// close adds the requests of a step that were due a token whatever their order of arrival. A request waits for the
// length of a step before it is refused, so the tokens granted in that time count as well.
func (m *Meter) close(team ident.Team, t *tokenEstimate, limit Limit) {
	granted := limit.Rate * tokenStep.Seconds()
	b := m.bucketAt(ident.Time(t.step * int64(tokenStep)))
	due := min(float64(t.counts.Asked), t.minimum+granted)
	b.due[team] += due
	// Tokens that were due but not used are dropped, so that no token is due twice.
	t.minimum = max(min(limit.Burst, t.minimum+granted)-max(due, float64(t.counts.tokensTaken())), 0)
}

// wrongful counts refusals for rate that no order of arrival explains. It leaves out one step's worth of requests in
// each bucket, because hosts report requests and their outcomes at different times.
func (m *Meter) wrongful(buckets []*bucket) Value {
	var v Value
	for _, b := range buckets {
		for team, c := range b.teams {
			limit, limited := m.limits[team]
			if !limited {
				continue
			}
			v.Known = true
			missed := b.due[team] - float64(c.tokensTaken()) - limit.Rate*tokenStep.Seconds()
			v.Amount += math.Floor(min(max(missed, 0), float64(c.RefusedRate)))
		}
	}
	v.Burn = v.Amount
	return v
}
