package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/decay"
	"tamarackshunt.dev/fleet/ident"
)

// shareHalfLife is the time in which past grants lose half of their weight in the order of teams.
const shareHalfLife = 500 * time.Millisecond

// forgottenGrants is the weight of past grants below which an idle team is forgotten.
const forgottenGrants = 0.01

// level holds the statements of one priority that wait or hold a reservation.
type level struct {
	priority int
	waiting  int
	// reserved holds the statements with a reservation in the order of their grants.
	reserved []*item
	teams    map[ident.Team]*team
	// order holds the teams in the order of their first statements, so that decisions don't depend on the order of a map.
	order []*team
	// grants measures the granted reservations.
	grants decay.Sum
	// nextReturn is the last time at which a refused caller was told to come back.
	nextReturn ident.Time
}

// team holds the waiting statements of one team, the earliest deadline first and late ones last.
type team struct {
	name  ident.Team
	items []*item
	// granted is the number of past grants with exponential decay, as of decayedAt.
	granted   float64
	decayedAt ident.Time
}

func (l *level) team(name ident.Team) *team {
	t, found := l.teams[name]
	if !found {
		t = &team{name: name}
		l.teams[name] = t
		l.order = append(l.order, t)
	}
	return t
}

func (l *level) insert(it *item) {
	t := l.team(it.Team)
	at, _ := slices.BinarySearchFunc(t.items, it, compareItems)
	t.items = slices.Insert(t.items, at, it)
	l.waiting++
}

func (l *level) remove(it *item) {
	t := l.teams[it.Team]
	t.items = slices.DeleteFunc(t.items, func(x *item) bool { return x == it })
	l.waiting--
}

// next returns the statement whose turn it is: the first one of the team that got the least lately.
func (l *level) next(now ident.Time) *item {
	var best *team
	for _, t := range l.order {
		t.decay(now)
		if len(t.items) > 0 && (best == nil || t.before(best)) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	return best.items[0]
}

// recordGrant charges a grant to a team.
func (l *level) recordGrant(now ident.Time, name ident.Team) {
	l.grants.Add(now, rateWindow, 1)
	t := l.team(name)
	t.decay(now)
	t.granted++
}

// forget drops the teams without statements whose past grants no longer count.
func (l *level) forget() {
	l.order = slices.DeleteFunc(l.order, func(t *team) bool {
		idle := len(t.items) == 0 && t.granted < forgottenGrants
		if idle {
			delete(l.teams, t.name)
		}
		return idle
	})
}

// longest returns the team with the most waiting statements, the later name among equals.
func (l *level) longest() *team {
	var longest *team
	for _, t := range l.order {
		if longest == nil || cmp.Or(cmp.Compare(len(t.items), len(longest.items)), cmp.Compare(t.name, longest.name)) > 0 {
			longest = t
		}
	}
	return longest
}

// ahead returns how many waiting statements of the level go before a new one: those of its team with earlier deadlines, and of each
// other team as many as let it catch up.
func (l *level) ahead(now ident.Time, it *item) int {
	own, granted := 0, 0.0
	if t := l.teams[it.Team]; t != nil {
		t.decay(now)
		granted = t.granted
		for own < len(t.items) && compareItems(t.items[own], it) < 0 {
			own++
		}
	}
	ahead := own
	for _, t := range l.order {
		if t.name == it.Team || len(t.items) == 0 {
			continue
		}
		t.decay(now)
		ahead += min(len(t.items), own+1+int(max(0, granted-t.granted)))
	}
	return ahead
}

// connecting returns how many reservations were granted after a time.
func (l *level) connecting(after ident.Time) int {
	count := 0
	for _, it := range slices.Backward(l.reserved) {
		if it.grantedAt <= after {
			break
		}
		count++
	}
	return count
}

func (l *level) unreserve(it *item) {
	l.reserved = slices.DeleteFunc(l.reserved, func(x *item) bool { return x == it })
}

// before reports whether the first statement of t goes before that of o. Both must be decayed to the same time.
func (t *team) before(o *team) bool {
	return cmp.Or(cmp.Compare(t.granted, o.granted), compareItems(t.items[0], o.items[0])) < 0
}

func (t *team) decay(now ident.Time) {
	if elapsed := now.Sub(t.decayedAt); elapsed > 0 {
		t.granted *= math.Exp2(-float64(elapsed) / float64(shareHalfLife))
		t.decayedAt = now
	}
}

func compareItems(x, y *item) int {
	if x.Late != y.Late {
		if y.Late {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(x.Deadline, y.Deadline), cmp.Compare(x.id, y.id))
}
