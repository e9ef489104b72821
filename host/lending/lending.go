package lending

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

// Counters of the tokens lent for requests that waited and for predicted demand, and of those that hosts gave back unspent.
var (
	lentWaiting = metrics.NewCounter(`tamarack_lending_tokens_total{for="waiting"}`)
	lentAhead   = metrics.NewCounter(`tamarack_lending_tokens_total{for="ahead"}`)
	takenBack   = metrics.NewCounter("tamarack_lending_taken_back_total")
)

// Lender lends tokens while this host leads. Each leadership starts with a new owner and empty buckets. Its methods are safe
// for concurrent use.
type Lender struct {
	mutex sync.Mutex
	since ident.Time
	owner *limit.Owner
	rules map[ident.Team]limit.Rule
	// scarce holds the teams whose tokens were lent on demand at their last loan, and counted the owner's tokens taken back that
	// were counted.
	scarce  map[ident.Team]bool
	counted int64
}

// New returns a Lender, which lends nothing until SetLeadership reports that this host leads.
func New() *Lender {
	return &Lender{scarce: map[ident.Team]bool{}}
}

// SetLeadership creates a new owner when this host becomes the leader and drops it when the leadership ends.
func (l *Lender) SetLeadership(now ident.Time, leadership control.Leadership) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !leadership.Leads {
		l.owner = nil
		return
	}
	if l.owner != nil && l.since == leadership.Since {
		return
	}
	l.since = leadership.Since
	l.owner = limit.NewOwner(limit.OwnerOptions{Since: leadership.NoLeaderSince})
	l.counted = 0
	clear(l.scarce)
	l.owner.SetRules(now, l.rules)
}

// LendsFrom returns the time from which the owner of the leadership that began at since lends the tokens of its buckets, or false if
// that leadership does not last.
func (l *Lender) LendsFrom(since ident.Time) (ident.Time, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.owner == nil || l.since != since {
		return 0, false
	}
	return l.owner.LendsFrom(), true
}

// Advance lets the owner of the leadership that began at since lend tokens beyond the teams' rules at once. It reports whether that
// leadership still lasts.
func (l *Lender) Advance(now, since ident.Time, amount func(limit.Rule) int64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.owner == nil || l.since != since {
		return false
	}
	l.owner.Advance(now, amount)
	return true
}

// SetState sets the teams' rates and bursts from the configuration text in force.
func (l *Lender) SetState(now ident.Time, text *fleetpb.Text, _ []*fleetpb.Group) {
	rules := make(map[ident.Team]limit.Rule, len(text.GetTeams()))
	for _, team := range text.GetTeams() {
		rules[ident.Team(team.GetName())] = limit.Rule{Rate: team.GetRate(), Burst: team.GetBurst()}
	}
	l.SetRules(now, rules)
}

// SetRules replaces the teams' rates and bursts.
func (l *Lender) SetRules(now ident.Time, rules map[ident.Team]limit.Rule) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rules = rules
	if l.owner != nil {
		l.owner.SetRules(now, l.rules)
	}
}

// Borrow handles a host's request for tokens; while this host does not lead, it lends nothing.
func (l *Lender) Borrow(now ident.Time, request *fleetpb.BorrowRequest) *fleetpb.BorrowResponse {
	l.mutex.Lock()
	owner := l.owner
	l.mutex.Unlock()
	if owner == nil {
		return &fleetpb.BorrowResponse{}
	}
	response := owner.Borrow(now, request)
	l.observe(owner, request, response)
	return response
}

// observe counts the tokens of a call and logs when a team's tokens begin or cease to be lent on demand.
func (l *Lender) observe(owner *limit.Owner, request *fleetpb.BorrowRequest, response *fleetpb.BorrowResponse) {
	waiting := map[string]uint32{}
	for _, t := range request.GetWanted() {
		waiting[t.GetTeam()] = t.GetWaiting()
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, t := range response.GetLent() {
		met := min(t.GetAmount(), waiting[t.GetTeam()])
		lentWaiting.AddInt64(int64(met))
		lentAhead.AddInt64(int64(t.GetAmount() - met))
		l.setScarce(ident.Team(t.GetTeam()), t.GetScarce())
	}
	if l.owner == owner {
		total := owner.TakenBack()
		takenBack.AddInt64(total - l.counted)
		l.counted = total
	}
}

func (l *Lender) setScarce(team ident.Team, scarce bool) {
	if l.scarce[team] == scarce {
		return
	}
	if scarce {
		l.scarce[team] = true
		klog.InfoS("Lends a team's tokens on demand", "team", team, "reason", "its burst is small beside the number of its hosts")
		return
	}
	delete(l.scarce, team)
	klog.InfoS("Lends a team's tokens ahead", "team", team)
}
