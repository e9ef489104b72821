package connections_test

import (
	"bytes"
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/ident"
)

// The load of a busy upstream: teams of uneven demand on fewer connections.
const (
	loadTeams     = 72
	loadAccount   = 52
	loadSlots     = 4
	loadHandshake = 12 * time.Millisecond
	loadTime      = 30 * time.Second
	loadRate      = 165
	restTime      = 60 * time.Millisecond
)

// kinds are the kinds of requests: their share, their time on a slot, and the part of them that are transactions.
var kinds = []struct {
	share, transactions float64
	work                time.Duration
}{
	{0.15, 0.4, 4500 * time.Microsecond},
	{0.15, 0.1, 22 * time.Millisecond},
	{0.70, 0.12, 14 * time.Millisecond},
}

// event is what happens at a time.
type event struct {
	at    ident.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay runs a load on an allocator and an upstream with slots.
type replay struct {
	now       ident.Time
	events    events
	count     int
	allocator *connections.Allocator
	granted   map[connections.WaiterID]func(id connections.ConnID, open bool)
	// busy counts the slots in use, and queue holds what waits for one.
	busy                     int
	queue                    []func()
	opened, evicted, refused int
	// waits has the time until each request held a connection, by priority.
	waits [3][]time.Duration
}

func (r *replay) after(d time.Duration, do func()) {
	r.count++
	heap.Push(&r.events, event{r.now.Add(d), r.count, do})
}

// work occupies a slot for a time, once one is free.
func (r *replay) work(d time.Duration, done func()) {
	if r.busy == loadSlots {
		r.queue = append(r.queue, func() { r.work(d, done) })
		return
	}
	r.busy++
	r.after(d, func() {
		r.busy--
		if len(r.queue) > 0 {
			next := r.queue[0]
			r.queue = r.queue[1:]
			next()
		}
		done()
	})
}

func (r *replay) carryOut(actions []connections.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case *connections.HandOver:
			r.granted[action.Waiter](action.Conn, false)
		case *connections.Open:
			r.opened++
			r.granted[action.Waiter](action.Conn, true)
		case *connections.Close:
			r.evicted++
		case *connections.Refuse:
			r.refused++
		}
	}
	if wake := r.allocator.Wake(); wake > r.now {
		r.after(wake.Sub(r.now), func() { r.carryOut(r.allocator.Tick(r.now, time.Minute)) })
	}
}

// request sends a request of a kind; a transaction rests between its two statements.
func (r *replay) request(team ident.Team, priority int, transaction bool) {
	began := r.now
	id, actions := r.allocator.Request(r.now, team, priority)
	r.granted[id] = func(conn connections.ConnID, open bool) {
		run := func() {
			r.waits[priority] = append(r.waits[priority], r.now.Sub(began))
			release := func() { r.carryOut(r.allocator.Release(r.now, conn, true)) }
			r.work(kinds[priority].work, func() {
				if !transaction {
					release()
					return
				}
				r.allocator.SetResting(conn, true)
				r.after(restTime, func() {
					r.allocator.SetResting(conn, false)
					r.work(kinds[priority].work, release)
				})
			})
		}
		if !open {
			run()
			return
		}
		r.work(loadHandshake, func() {
			r.carryOut(r.allocator.Opened(r.now, conn))
			run()
		})
	}
	r.carryOut(actions)
}

func newReplay(teams int) *replay {
	r := &replay{allocator: connections.NewAllocator(), granted: map[connections.WaiterID]func(connections.ConnID, bool){}}
	r.allocator.SetTeams(teams)
	r.allocator.SetSlots(loadSlots)
	r.allocator.Account.Resize(0, loadAccount, false)
	return r
}

// run plays the load, in which team n has a demand of 1/(n+8), and describes the outcome.
func (r *replay) run(name string) string {
	rng := rand.New(rand.NewPCG(7, 7))
	total := 0.0
	for n := range loadTeams {
		total += 1 / float64(n+8)
	}
	for at := time.Duration(0); at < loadTime; at += time.Duration(rng.ExpFloat64() * float64(time.Second) / loadRate) {
		team, pick := 0, rng.Float64()*total
		for pick -= 1 / float64(8); pick > 0 && team < loadTeams-1; pick -= 1 / float64(team+8) {
			team++
		}
		priority, pick := 0, rng.Float64()
		for pick > kinds[priority].share && priority < 2 {
			pick -= kinds[priority].share
			priority++
		}
		transaction := rng.Float64() < kinds[priority].transactions
		r.after(at, func() { r.request(ident.Team(fmt.Sprintf("t%02d", team)), priority, transaction) })
	}
	for r.events.Len() > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.do()
	}
	out := fmt.Sprintf("%s: opened %d, evicted %d, held back %d\n", name, r.opened, r.evicted, r.refused)
	for priority, waits := range r.waits {
		slices.Sort(waits)
		sum := time.Duration(0)
		for _, wait := range waits {
			sum += wait
		}
		out += fmt.Sprintf("  priority %d: %d requests, wait for a connection: mean %v, 99%% within %v\n", priority, len(waits),
			(sum / time.Duration(len(waits))).Round(100*time.Microsecond), waits[len(waits)*99/100].Round(100*time.Microsecond))
	}
	return out
}

// Guards against handshakes that take the slots of statements when teams are more than connections, and against urgent requests that
// wait longer than others. The first rule is the one for enough connections: the least recently used one is closed.
func TestCrowded(t *testing.T) {
	plain, crowded := newReplay(0), newReplay(loadTeams)
	out := plain.run("least recently used") + crowded.run("by demand")
	goldie.New(t).Assert(t, "crowded", []byte(out))
	require.Less(t, crowded.opened, plain.opened)
	require.Less(t, crowded.waits[0][len(crowded.waits[0])*99/100], plain.waits[0][len(plain.waits[0])*99/100])
}

// plainRule is the rule for enough connections in its shortest form.
type plainRule struct {
	total, limit int
	idle         []string
	waiting      []plainWaiter
	out          *bytes.Buffer
}

type plainWaiter struct {
	team     string
	priority int
}

func (p *plainRule) request(team string, priority int) {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i] == team {
			p.idle = slices.Delete(p.idle, i, i+1)
			fmt.Fprintf(p.out, "%s gets one of its own\n", team)
			return
		}
	}
	switch {
	case p.total < p.limit:
		p.total++
	case len(p.idle) > 0:
		fmt.Fprintf(p.out, "close one of %s\n", p.idle[0])
		p.idle = p.idle[1:]
	default:
		at, _ := slices.BinarySearchFunc(p.waiting, priority+1, func(w plainWaiter, priority int) int { return w.priority - priority })
		p.waiting = slices.Insert(p.waiting, at, plainWaiter{team, priority})
		return
	}
	fmt.Fprintf(p.out, "%s opens one\n", team)
}

func (p *plainRule) release(team string) {
	for i, w := range p.waiting {
		if w.team == team && w.priority == p.waiting[0].priority {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			fmt.Fprintf(p.out, "%s gets one of its own\n", team)
			return
		}
	}
	if len(p.waiting) == 0 {
		p.idle = append(p.idle, team)
		return
	}
	fmt.Fprintf(p.out, "close one of %s\n%s opens one\n", team, p.waiting[0].team)
	p.waiting = p.waiting[1:]
}

// Guards against other decisions than before where no team has to share: the golden file is the outcome of the earlier rule, which the
// test also runs beside the allocator.
func TestPlain(t *testing.T) {
	const teams, limit = 8, 14
	a := connections.NewAllocator()
	a.SetTeams(teams)
	a.SetSlots(2)
	a.Account.Resize(0, limit, false)
	var out, want bytes.Buffer
	rule := plainRule{limit: limit, out: &want}
	rng := rand.New(rand.NewPCG(1, 2))
	names, waiters := map[connections.ConnID]string{}, map[connections.WaiterID]string{}
	var held []connections.ConnID
	now := ident.Time(0)
	var carryOut func(actions []connections.Action)
	carryOut = func(actions []connections.Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case *connections.HandOver:
				fmt.Fprintf(&out, "%s gets one of its own\n", waiters[action.Waiter])
				held = append(held, action.Conn)
			case *connections.Open:
				fmt.Fprintf(&out, "%s opens one\n", waiters[action.Waiter])
				names[action.Conn] = waiters[action.Waiter]
				held = append(held, action.Conn)
				carryOut(a.Opened(now, action.Conn))
			case *connections.Close:
				fmt.Fprintf(&out, "close one of %s\n", names[action.Conn])
			}
		}
	}
	for step := range 600 {
		now = now.Add(5 * time.Millisecond)
		if rng.IntN(100) < 52 || len(held) == 0 {
			team, priority := fmt.Sprintf("t%d", rng.IntN(teams)), rng.IntN(3)
			rule.request(team, priority)
			id, actions := a.Request(now, ident.Team(team), priority)
			waiters[id] = team
			carryOut(actions)
		} else {
			i := rng.IntN(len(held))
			conn := held[i]
			held = slices.Delete(held, i, i+1)
			rule.release(names[conn])
			carryOut(a.Release(now, conn, true))
		}
		require.Equal(t, want.String(), out.String(), "step %d", step)
	}
	goldie.New(t).Assert(t, "plain", out.Bytes())
}
