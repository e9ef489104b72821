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

// world runs an owner and borrowers in logical time with messages that take time, get lost or come twice.
type world struct {
	now       ident.Time
	rules     map[ident.Team]limit.Rule
	owner     *limit.Owner
	down      bool // no owner takes requests
	borrowers []*limit.Borrower
	busy      []ident.Time // end of the call in flight, per host
	starts    []ident.Incarnation
	mail      []letter
	spends    map[ident.Team][]ident.Time
	refused   map[ident.Team]int
	waits     map[ident.Team]ident.Time
	waiting   map[string]waiting
}

// waiting is a request that has no token yet.
type waiting struct {
	team  ident.Team
	since ident.Time
}

// letter is a message on its way: a request, or the response to the borrower that asked.
type letter struct {
	at       ident.Time
	host     int
	start    ident.Incarnation
	request  *fleetpb.BorrowRequest
	response *fleetpb.BorrowResponse
}

func newWorld(hosts int, rules map[ident.Team]limit.Rule) *world {
	w := &world{
		rules: rules, spends: map[ident.Team][]ident.Time{}, refused: map[ident.Team]int{},
		waits: map[ident.Team]ident.Time{}, waiting: map[string]waiting{},
		borrowers: make([]*limit.Borrower, hosts), busy: make([]ident.Time, hosts), starts: make([]ident.Incarnation, hosts),
	}
	w.newOwner()
	for i := range hosts {
		w.restart(i)
	}
	return w
}

func (w *world) newOwner() {
	w.owner = limit.NewOwner(limit.OwnerOptions{Since: w.now})
	w.owner.SetRules(w.now, w.rules)
}

func (w *world) restart(host int) {
	w.starts[host]++
	w.busy[host] = 0
	w.borrowers[host] = limit.NewBorrower(limit.BorrowerOptions{
		Host: ident.Host(fmt.Sprint("entry", host)), Incarnation: w.starts[host],
	})
}

func (w *world) take(host int, team ident.Team) {
	decision, _ := w.borrowers[host].Take(w.now, limit.Request{Team: team}, w.now+5000*ms)
	switch d := decision.(type) {
	case limit.Spent:
		w.spends[team] = append(w.spends[team], w.now)
	case limit.Wait:
		w.waiting[w.waiter(host, d.ID)] = waiting{team, w.now}
	case limit.Refuse:
		w.refused[team]++
	}
}

func (w *world) waiter(host int, id limit.WaiterID) string {
	return fmt.Sprint(host, " ", w.starts[host], " ", id)
}

func (w *world) outcomes(host int, list []limit.Outcome) {
	for _, o := range list {
		asked := w.waiting[w.waiter(host, o.ID)]
		delete(w.waiting, w.waiter(host, o.ID))
		if o.Refused != nil {
			w.refused[asked.team]++
			continue
		}
		w.spends[asked.team] = append(w.spends[asked.team], w.now)
		w.waits[asked.team] = max(w.waits[asked.team], w.now-asked.since)
	}
}

// ask sends the host's request when it is due and no call is in flight; there and back are the delays, negative for lost.
func (w *world) ask(host int, there, back ident.Time) bool {
	b := w.borrowers[host]
	if w.now < w.busy[host] || w.now < b.Due() {
		return false
	}
	request := b.NextRequest(w.now)
	if request == nil {
		return false
	}
	w.busy[host] = w.now + 100*ms
	if w.down {
		there = -1
		w.busy[host] = w.now
	}
	if there >= 0 {
		w.mail = append(w.mail, letter{at: w.now + there, host: host, start: w.starts[host], request: request})
	}
	if there < 0 || back < 0 {
		b.HandleFailure(w.now)
	}
	return true
}

// deliver hands over the messages that have arrived; a request that is delivered gets a response after back.
func (w *world) deliver(back ident.Time) {
	for i := 0; i < len(w.mail); i++ {
		l := w.mail[i]
		if l.at > w.now {
			continue
		}
		w.mail = slices.Delete(w.mail, i, i+1)
		i--
		if l.request != nil {
			response := w.owner.Borrow(w.now, proto.Clone(l.request).(*fleetpb.BorrowRequest))
			if back >= 0 {
				w.mail = append(w.mail, letter{at: w.now + back, host: l.host, start: l.start, response: response})
			}
			continue
		}
		if l.start != w.starts[l.host] {
			continue
		}
		w.busy[l.host] = 0
		w.outcomes(l.host, w.borrowers[l.host].HandleResponse(w.now, l.response))
	}
}

// expire refuses the requests of all teams that have waited too long on the host.
func (w *world) expire(host int) {
	for team := range w.rules {
		w.outcomes(host, w.borrowers[host].Expire(w.now, team))
	}
}

// excess returns the largest number of tokens by which any window of a team's spending exceeds burst + rate x window.
func (w *world) excess(team ident.Team) float64 {
	rule := w.rules[team]
	level, worst := float64(rule.Burst), 0.0
	at := ident.Time(0)
	spends := slices.Clone(w.spends[team])
	slices.Sort(spends)
	for _, t := range spends {
		level = min(float64(rule.Burst), level+float64(rule.Rate)*time.Duration(t-at).Seconds()) - 1
		at = t
		worst = max(worst, -level)
	}
	return worst
}
