package admission_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/admission"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/queue"
)

const (
	ms = ident.Time(time.Millisecond)
	// capacity is the number of statements that the replayed upstream runs at a time; spare more are sent to it.
	capacity, spare = 4, 2
	// timeout is that of all routes, and patience the time in which refused callers come back.
	timeout, patience = 800 * ms, 4000 * ms
	// transactions is the part of the callers that run a transaction of so many statements.
	transactions, statements = 0.4, 4
)

// operation is what a caller asks; work is the mean time of its statements in milliseconds.
type operation struct {
	priority, work    int
	share             float64
	objective         ident.Time
	team              ident.Team
	first, began, end ident.Time
	left              int
	id                admission.ID
}

var kinds = []operation{
	{priority: 0, objective: 400 * ms, work: 5, share: 0.15},
	{priority: 1, objective: 600 * ms, work: 22, share: 0.15},
	{priority: 2, objective: 1500 * ms, work: 14, share: 0.70},
}

// replay steps through the milliseconds of one upstream. Without a scheduler it follows the rule before it: a queue for each priority that
// transactions pass, and half of the objective as the time to come back.
type replay struct {
	scheduler  *admission.Scheduler
	queues     [3]*queue.Queue
	queued     [3]map[queue.ID]*operation
	admitted   map[admission.ID]*operation
	started    map[admission.ID]bool
	rand       *rand.Rand
	now        ident.Time
	future     map[ident.Time][]*operation
	sent       []*operation // the first ones run until their end
	asked      [3]float64
	inTime     [3]float64
	late       [3]float64
	refused    [3]float64
	answeredOf map[ident.Team]int
	urgent     []ident.Time // times of the answers of priority 0
}

func newReplay(scheduled bool) *replay {
	r := &replay{
		rand: rand.New(rand.NewPCG(1, 2)), admitted: map[admission.ID]*operation{}, started: map[admission.ID]bool{},
		future: map[ident.Time][]*operation{}, answeredOf: map[ident.Team]int{},
	}
	for i := range kinds {
		r.queues[i], r.queued[i] = queue.New(queue.Options{PerTeam: admission.DefaultPerTeam}), map[queue.ID]*operation{}
	}
	if scheduled {
		r.scheduler = admission.New(admission.Options{Limit: capacity + spare})
	}
	return r
}

// ask adds a caller.
func (r *replay) ask(at ident.Time, kind operation, team ident.Team, length int) {
	kind.team, kind.first, kind.left = team, at, length
	r.asked[kind.priority]++
	r.future[at] = append(r.future[at], &kind)
}

// load adds callers of all kinds at a multiple of the capacity.
func (r *replay) load(overload float64, until ident.Time) {
	mean := 0.0
	for _, k := range kinds {
		mean += k.share * float64(k.work) * (1 + transactions*(statements-1))
	}
	for at := 0.0; ident.Time(at)*ms < until; at += r.rand.ExpFloat64() * mean / capacity / overload {
		pick, kind, length := r.rand.Float64(), 0, 1
		for ; pick > kinds[kind].share; kind++ {
			pick -= kinds[kind].share
		}
		if r.rand.Float64() < transactions {
			length = statements
		}
		r.ask(ident.Time(at)*ms, kinds[kind], ident.Team(fmt.Sprint("team", r.rand.IntN(12))), length)
	}
}

func (r *replay) run(until ident.Time) {
	for ; r.now < until; r.now += ms {
		for _, o := range r.future[r.now] {
			r.arrive(o, false)
		}
		for _, o := range slices.Clone(r.sent) {
			if o.end != 0 && o.end <= r.now {
				r.finish(o)
			}
		}
		for _, o := range r.sent[:min(capacity, len(r.sent))] {
			if o.end == 0 {
				o.end = r.now + ident.Time(1+r.rand.IntN(2*o.work-1))*ms
			}
		}
	}
}

// arrive admits a statement; the later ones of a transaction are inside.
func (r *replay) arrive(o *operation, inside bool) {
	o.began = r.now
	if r.scheduler != nil {
		late := r.now >= o.first+o.objective
		deadline := o.first + min(o.objective, timeout)
		if late || inside || deadline <= r.now {
			deadline = r.now + timeout
		}
		id, decisions := r.scheduler.Arrive(r.now, admission.Request{
			Team: o.team, Priority: o.priority, Deadline: deadline, Late: late, Holding: inside,
		})
		o.id, r.admitted[id], r.started[id] = id, o, inside
		r.apply(decisions)
		return
	}
	if inside {
		r.send(o)
		return
	}
	id, dropped, err := r.queues[o.priority].Push(r.now, o.team, r.now+timeout)
	r.drop(o.priority, dropped)
	if err != nil {
		r.refuse(o, o.objective/2)
		return
	}
	r.queued[o.priority][id] = o
	r.next()
}

func (r *replay) apply(decisions []admission.Decision) {
	for _, d := range decisions {
		switch o := r.admitted[d.ID]; {
		case d.Refused != nil:
			r.refuse(o, (ident.Time(d.Refused.Retry)/ms+1)*ms)
		case r.started[d.ID]:
			r.send(o)
		default:
			r.started[d.ID] = true
			r.apply(r.scheduler.Start(r.now, d.ID))
		}
	}
}

// next lets statements run by the rule before the scheduler.
func (r *replay) next() {
	for priority, q := range r.queues {
		for len(r.sent) < capacity+spare {
			work, found, dropped := q.Next(r.now)
			r.drop(priority, dropped)
			if !found {
				break
			}
			r.send(r.queued[priority][work.ID])
		}
	}
}

func (r *replay) drop(priority int, dropped []*queue.Dropped) {
	for _, d := range dropped {
		o := r.queued[priority][d.Work.ID]
		r.refuse(o, o.objective/2)
	}
}

func (r *replay) send(o *operation) {
	o.end = 0
	r.sent = append(r.sent, o)
}

func (r *replay) finish(o *operation) {
	r.sent = slices.DeleteFunc(r.sent, func(x *operation) bool { return x == o })
	o.left--
	if r.scheduler != nil {
		r.apply(r.scheduler.Finish(r.now, o.id))
	} else {
		r.queues[o.priority].RecordServiceTime(r.now, time.Duration(r.now-o.began))
		r.next()
	}
	if o.left > 0 {
		r.arrive(o, true)
		return
	}
	r.answeredOf[o.team]++
	if o.priority == 0 {
		r.urgent = append(r.urgent, r.now-o.first)
	}
	if r.now <= o.first+o.objective {
		r.inTime[o.priority]++
	} else {
		r.late[o.priority]++
	}
}

// refuse tells a caller to come back, who does within its patience.
func (r *replay) refuse(o *operation, after ident.Time) {
	r.refused[o.priority]++
	again := *o
	if at := r.now + after; at < o.first+patience {
		r.future[at] = append(r.future[at], &again)
	}
}

// Guards against a team that gets less than its fair share of a priority: one asks for less, two for more, in an overload.
func TestFairShare(t *testing.T) {
	r := newReplay(true)
	for team, gap := range map[ident.Team]ident.Time{"small": 40, "middle": 5, "large": 2} {
		for at := ident.Time(0); at < 10_000*ms; at += gap * ms {
			r.ask(at, kinds[2], team, 1)
		}
	}
	r.run(10_000 * ms)
	require.GreaterOrEqual(t, r.answeredOf["small"], 250*95/100, "it asks for less than its share")
	share := (r.answeredOf["middle"] + r.answeredOf["large"]) / 2
	require.GreaterOrEqual(t, r.answeredOf["middle"], share*95/100)
	require.GreaterOrEqual(t, r.answeredOf["large"], share*95/100)
}

// Guards against an overload in which urgent callers are served worse than others, or later than by the rule before: three priorities, 40%
// transactions and a burst of the least urgent kind; callers come back when they are told to.
func TestOverload(t *testing.T) {
	var out bytes.Buffer
	for _, overload := range []float64{0.6, 1.3, 2} {
		fmt.Fprintf(&out, "%.1f times the capacity for 10 s, 200 of priority 2 at 4 s\n", overload)
		for _, scheduled := range []bool{false, true} {
			r := newReplay(scheduled)
			r.load(overload, 10_000*ms)
			for range 200 {
				r.ask(4000*ms, kinds[2], "burst", 1)
			}
			r.run(20_000 * ms)
			previous := 1.0
			for priority, asked := range r.asked {
				share := r.inTime[priority] / asked
				fmt.Fprintf(&out, "  scheduled %-5t priority %d: %.2f in time, %.2f late, refused %.2f times\n",
					scheduled, priority, share, r.late[priority]/asked, r.refused[priority]/asked)
				require.True(t, !scheduled || share <= previous+0.005, "priority %d is served better than a more urgent one", priority)
				previous = share
			}
			slices.Sort(r.urgent)
			fmt.Fprintf(&out, "    99 of 100 answers of priority 0 within %d ms\n", r.urgent[len(r.urgent)*99/100]/ms)
		}
	}
	goldie.New(t).Assert(t, "overload", out.Bytes())
}
