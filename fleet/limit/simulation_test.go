package limit_test

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

const ms = ident.Time(time.Millisecond)

// simulation runs an owner and borrowers in logical time. Messages are delayed, lost or repeated.
type simulation struct {
	now          ident.Time
	rules        map[ident.Team]limit.Rule
	owner        *limit.Owner
	down         bool // no owner takes requests
	borrowers    []*limit.Borrower
	busyUntil    []ident.Time // end of the call in flight, per host
	incarnations []ident.Incarnation
	messages     []message
	spends       map[ident.Team][]ident.Time
	spent        []spent // by requests that may be undone
	refused      map[ident.Team]int
	longestWaits map[ident.Team]ident.Time
	waiting      map[string]waiting // by waiterKey
	period       time.Duration      // options of the borrowers
	prefetch     int64
	requests     int // callers' requests so far
	bytes        int // sum of the messages' sizes
	// decided, if not nil, is called with each request's outcome.
	decided func(w waiting, refused *limit.Exceeded)
}

// waiting is a request that has no token yet.
type waiting struct {
	limit.Request
	since  ident.Time
	number int // of the request in the simulation
}

// spent is a token that a host spent.
type spent struct {
	team        ident.Team
	at          ident.Time
	host        int
	incarnation ident.Incarnation
	receipt     limit.Receipt
}

// message is a message in transit: a borrow request, or the response to its borrower.
type message struct {
	at          ident.Time
	host        int
	incarnation ident.Incarnation
	request     *fleetpb.BorrowRequest
	response    *fleetpb.BorrowResponse
}

func newSimulation(hosts int, rules map[ident.Team]limit.Rule) *simulation {
	sim := &simulation{
		rules: rules, spends: map[ident.Team][]ident.Time{}, refused: map[ident.Team]int{},
		longestWaits: map[ident.Team]ident.Time{}, waiting: map[string]waiting{},
		borrowers: make([]*limit.Borrower, hosts), busyUntil: make([]ident.Time, hosts),
		incarnations: make([]ident.Incarnation, hosts),
	}
	sim.newOwner()
	for i := range hosts {
		sim.restart(i)
	}
	return sim
}

func (sim *simulation) newOwner() {
	sim.owner = limit.NewOwner(limit.OwnerOptions{Since: sim.now})
	sim.owner.SetRules(sim.now, sim.rules)
}

func (sim *simulation) restart(host int) {
	sim.incarnations[host]++
	sim.busyUntil[host] = 0
	sim.borrowers[host] = limit.NewBorrower(limit.BorrowerOptions{
		Host: ident.Host(fmt.Sprint("entry", host)), Incarnation: sim.incarnations[host], Period: sim.period, Prefetch: sim.prefetch,
	})
}

func (sim *simulation) take(host int, team ident.Team) {
	sim.takeFor(host, limit.Request{Team: team}, sim.now+5000*ms)
}

func (sim *simulation) takeFor(host int, request limit.Request, deadline ident.Time) {
	decision, _ := sim.borrowers[host].Take(sim.now, request, deadline)
	sim.requests++
	w := waiting{request, sim.now, sim.requests}
	switch d := decision.(type) {
	case limit.Spent:
		sim.spend(host, w, d.Receipt)
	case limit.Wait:
		sim.waiting[sim.waiterKey(host, d.ID)] = w
	case limit.Refuse:
		sim.decide(w, &d.Exceeded)
	}
}

func (sim *simulation) spend(host int, w waiting, receipt limit.Receipt) {
	sim.decide(w, nil)
	sim.spent = append(sim.spent, spent{w.Team, sim.now, host, sim.incarnations[host], receipt})
}

// undo refunds the token of a request that did not run. If the host accepts, the spending never happened.
func (sim *simulation) undo(i int) {
	s := sim.spent[i]
	sim.spent = slices.Delete(sim.spent, i, i+1)
	if s.incarnation != sim.incarnations[s.host] {
		return
	}
	outcomes, done := sim.borrowers[s.host].Refund(sim.now, s.receipt)
	if !done {
		return
	}
	at := slices.Index(sim.spends[s.team], s.at)
	sim.spends[s.team] = slices.Delete(sim.spends[s.team], at, at+1)
	sim.applyOutcomes(s.host, outcomes)
}

// decide records the outcome of a request.
func (sim *simulation) decide(w waiting, refused *limit.Exceeded) {
	if sim.decided != nil {
		sim.decided(w, refused)
	}
	if refused != nil {
		sim.refused[w.Team]++
		return
	}
	sim.spends[w.Team] = append(sim.spends[w.Team], sim.now)
	sim.longestWaits[w.Team] = max(sim.longestWaits[w.Team], sim.now-w.since)
}

func (sim *simulation) waiterKey(host int, id limit.WaiterID) string {
	return fmt.Sprint(host, " ", sim.incarnations[host], " ", id)
}

func (sim *simulation) applyOutcomes(host int, list []limit.Outcome) {
	for _, o := range list {
		w := sim.waiting[sim.waiterKey(host, o.ID)]
		delete(sim.waiting, sim.waiterKey(host, o.ID))
		if o.Refused == nil {
			sim.spend(host, w, o.Receipt)
			continue
		}
		sim.decide(w, o.Refused)
	}
}

// sendRequest sends the host's borrow request when it is due and no call is in flight. A negative delay means that
// the message is lost.
func (sim *simulation) sendRequest(host int, requestDelay, responseDelay ident.Time) bool {
	b := sim.borrowers[host]
	if sim.now < sim.busyUntil[host] || sim.now < b.Due() {
		return false
	}
	request := b.NextRequest(sim.now)
	if request == nil {
		return false
	}
	sim.bytes += proto.Size(request)
	sim.busyUntil[host] = sim.now + 100*ms
	if sim.down {
		requestDelay = -1
		sim.busyUntil[host] = sim.now
	}
	if requestDelay >= 0 {
		sim.messages = append(sim.messages, message{
			at: sim.now + requestDelay, host: host, incarnation: sim.incarnations[host], request: request,
		})
	}
	if requestDelay < 0 || responseDelay < 0 {
		sim.applyOutcomes(host, b.HandleFailure(sim.now))
	}
	return true
}

// deliver delivers the messages that have arrived. The response to a delivered request arrives after responseDelay.
func (sim *simulation) deliver(responseDelay ident.Time) {
	sim.deliverWith(func(int) ident.Time { return responseDelay })
}

// deliverWith is deliver with a delay of the responses for each host.
func (sim *simulation) deliverWith(delay func(host int) ident.Time) {
	for i := 0; i < len(sim.messages); i++ {
		m := sim.messages[i]
		if m.at > sim.now {
			continue
		}
		sim.messages = slices.Delete(sim.messages, i, i+1)
		i--
		if m.request != nil {
			responseDelay := delay(m.host)
			response := sim.owner.Borrow(sim.now, proto.Clone(m.request).(*fleetpb.BorrowRequest))
			if responseDelay >= 0 {
				sim.bytes += proto.Size(response)
				sim.messages = append(sim.messages, message{
					at: sim.now + responseDelay, host: m.host, incarnation: m.incarnation, response: response,
				})
			}
			continue
		}
		if m.incarnation != sim.incarnations[m.host] {
			continue
		}
		sim.busyUntil[m.host] = 0
		sim.applyOutcomes(m.host, sim.borrowers[m.host].HandleResponse(sim.now, m.response))
	}
}

// expire refuses the requests of all teams that have waited too long on the host.
func (sim *simulation) expire(host int) {
	for team := range sim.rules {
		sim.applyOutcomes(host, sim.borrowers[host].Expire(sim.now, team))
	}
}

// excess returns the largest number of tokens by which any window of a team's spending exceeds burst + rate x window.
func (sim *simulation) excess(team ident.Team) float64 {
	rule := sim.rules[team]
	level, worst := float64(rule.Burst), 0.0
	at := ident.Time(0)
	spends := slices.Clone(sim.spends[team])
	slices.Sort(spends)
	for _, t := range spends {
		level = min(float64(rule.Burst), level+float64(rule.Rate)*time.Duration(t-at).Seconds()) - 1
		at = t
		worst = max(worst, -level)
	}
	return worst
}
