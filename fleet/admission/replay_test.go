package admission_test

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/admission"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/queue"
)

const ms = ident.Time(time.Millisecond)

// capacity is the number of statements that the replayed upstream runs at a time; spare more are sent to it.
const (
	capacity = 4
	spare    = 2
)

// kind is a kind of operations of the replay.
type kind struct {
	priority  int
	objective time.Duration
	// work is the mean time of a statement, and transactions the part of operations with three more statements.
	work         time.Duration
	transactions float64
	// share is the part of the arrivals.
	share float64
}

var kinds = []kind{
	{priority: 0, objective: 400 * time.Millisecond, work: 5 * time.Millisecond, transactions: 0.4, share: 0.15},
	{priority: 1, objective: 600 * time.Millisecond, work: 22 * time.Millisecond, transactions: 0.4, share: 0.15},
	{priority: 2, objective: 1500 * time.Millisecond, work: 14 * time.Millisecond, transactions: 0.4, share: 0.70},
}

// operation is one operation of the replay; it has a number of statements to run one after the other.
type operation struct {
	kind     *kind
	team     ident.Team
	arrived  ident.Time
	deadline ident.Time
	left     int
	id       admission.ID
}

// rule is how statements are admitted: the scheduler, or the rule that it replaced.
type rule interface {
	// arrive adds the first statement of an operation, and follow a later one.
	arrive(now ident.Time, o *operation)
	follow(now ident.Time, o *operation)
	finish(now ident.Time, o *operation, took time.Duration)
	// outcomes returns the operations whose statements were granted and refused since the last call.
	outcomes() (granted []*operation, refused []refusal)
}

type refusal struct {
	operation *operation
	reason    string
	retry     time.Duration
}

// scheduled admits by the scheduler.
type scheduled struct {
	s       *admission.Scheduler
	byID    map[admission.ID]*operation
	started map[admission.ID]bool
	granted []*operation
	refused []refusal
}

func newScheduled() *scheduled {
	return &scheduled{s: admission.New(admission.Options{Limit: capacity + spare}), byID: map[admission.ID]*operation{}, started: map[admission.ID]bool{}}
}

func (r *scheduled) arrive(now ident.Time, o *operation) { r.add(now, o, false) }
func (r *scheduled) follow(now ident.Time, o *operation) { r.add(now, o, true) }

func (r *scheduled) add(now ident.Time, o *operation, holding bool) {
	id, decisions := r.s.Arrive(now, admission.Request{Team: o.team, Priority: o.kind.priority, Deadline: o.deadline, Holding: holding})
	o.id = id
	r.byID[id], r.started[id] = o, holding
	r.apply(now, decisions)
}

func (r *scheduled) apply(now ident.Time, decisions []admission.Decision) {
	for _, d := range decisions {
		o := r.byID[d.ID]
		switch {
		case d.Refused != nil:
			delete(r.byID, d.ID)
			r.refused = append(r.refused, refusal{o, d.Refused.Reason.String(), d.Refused.Retry})
		case !r.started[d.ID]:
			r.started[d.ID] = true
			r.apply(now, r.s.Start(now, d.ID))
		default:
			r.granted = append(r.granted, o)
		}
	}
}

func (r *scheduled) finish(now ident.Time, o *operation, _ time.Duration) {
	delete(r.byID, o.id)
	r.apply(now, r.s.Finish(now, o.id))
}

func (r *scheduled) outcomes() ([]*operation, []refusal) {
	granted, refused := r.granted, r.refused
	r.granted, r.refused = nil, nil
	return granted, refused
}

// unbounded admits by the rule before the scheduler: statements of transactions pass the bound, the deadline of a wait is the caller's
// timeout, and refused callers come back after half of their objective.
type unbounded struct {
	running int
	queues  map[int]*queue.Queue
	waiting map[int]map[queue.ID]*operation
	granted []*operation
	refused []refusal
}

const unboundedTimeout = 800 * time.Millisecond

func newUnbounded() *unbounded {
	r := &unbounded{queues: map[int]*queue.Queue{}, waiting: map[int]map[queue.ID]*operation{}}
	for _, k := range kinds {
		r.queues[k.priority], r.waiting[k.priority] = queue.New(queue.Options{PerTeam: 256}), map[queue.ID]*operation{}
	}
	return r
}

func (r *unbounded) arrive(now ident.Time, o *operation) {
	id, dropped, err := r.queues[o.kind.priority].Push(now, o.team, now.Add(unboundedTimeout))
	r.drop(o.kind.priority, dropped)
	if err != nil {
		r.refused = append(r.refused, refusal{o, "queue", o.kind.objective / 2})
		return
	}
	r.waiting[o.kind.priority][id] = o
	r.grant(now)
}

func (r *unbounded) follow(_ ident.Time, o *operation) {
	r.running++
	r.granted = append(r.granted, o)
}

func (r *unbounded) finish(now ident.Time, o *operation, took time.Duration) {
	r.running--
	r.queues[o.kind.priority].RecordServiceTime(now, took)
	r.grant(now)
}

func (r *unbounded) grant(now ident.Time) {
	for _, k := range kinds {
		for r.running < capacity+spare {
			work, found, dropped := r.queues[k.priority].Next(now)
			r.drop(k.priority, dropped)
			if !found {
				break
			}
			r.running++
			r.granted = append(r.granted, r.waiting[k.priority][work.ID])
		}
	}
}

func (r *unbounded) drop(priority int, dropped []*queue.Dropped) {
	for _, d := range dropped {
		o := r.waiting[priority][d.Work.ID]
		r.refused = append(r.refused, refusal{o, "queue", o.kind.objective / 2})
	}
}

func (r *unbounded) outcomes() ([]*operation, []refusal) {
	granted, refused := r.granted, r.refused
	r.granted, r.refused = nil, nil
	return granted, refused
}

// event is something that happens at a time of the replay.
type event struct {
	at  ident.Time
	seq int
	do  func(now ident.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// tally counts the operations of one kind or team.
type tally struct{ asked, inTime, late, lost, refused int }

// replay replays arrivals of three kinds on one upstream that runs four statements at a time.
type replay struct {
	rule   rule
	rand   *rand.Rand
	events events
	seq    int
	busy   int
	queued []func(now ident.Time)
	// firstReturns is set to count a refused operation as ended; otherwise its caller comes back twice.
	byKind  map[int]*tally
	byTeam  map[ident.Team]*tally
	returns []ident.Time
	reasons map[string]int
	// longestRefusal is the longest wait of an operation that was refused.
	longestRefusal time.Duration
}

func newReplay(r rule) *replay {
	return &replay{
		rule: r, rand: rand.New(rand.NewPCG(1, 2)), byKind: map[int]*tally{0: {}, 1: {}, 2: {}}, byTeam: map[ident.Team]*tally{},
		reasons: map[string]int{},
	}
}

func (r *replay) schedule(at ident.Time, do func(now ident.Time)) {
	r.seq++
	heap.Push(&r.events, event{at, r.seq, do})
}

// runUpstream runs a statement: capacity of them at a time, the others in order.
func (r *replay) runUpstream(now ident.Time, work time.Duration, done func(now ident.Time)) {
	start := func(now ident.Time) {
		r.schedule(now.Add(work), func(now ident.Time) {
			r.busy--
			if len(r.queued) > 0 {
				next := r.queued[0]
				r.queued = r.queued[1:]
				r.busy++
				next(now)
			}
			done(now)
		})
	}
	if r.busy < capacity {
		r.busy++
		start(now)
		return
	}
	r.queued = append(r.queued, start)
}

// ask sends an operation. A refused caller comes back up to two times.
func (r *replay) ask(now ident.Time, k *kind, team ident.Team, first ident.Time, tries int) {
	o := &operation{kind: k, team: team, arrived: first, deadline: first.Add(k.objective), left: 1}
	if o.deadline < now {
		o.deadline = now.Add(unboundedTimeout)
	}
	if r.rand.Float64() < k.transactions {
		o.left = 4
	}
	asked := now
	r.rule.arrive(now, o)
	r.settle(now)
	_ = asked
	_ = tries
}

func (r *replay) settle(now ident.Time) {
	granted, refused := r.rule.outcomes()
	for _, o := range granted {
		work := time.Duration(float64(o.kind.work) * (0.5 + r.rand.Float64()))
		sent := now
		r.runUpstream(now, work, func(now ident.Time) {
			o.left--
			r.rule.finish(now, o, now.Sub(sent))
			if o.left > 0 {
				r.rule.follow(now, o)
			} else {
				r.answered(now, o)
			}
			r.settle(now)
		})
	}
	for _, f := range refused {
		r.reasons[f.reason]++
		t := r.byKind[f.operation.kind.priority]
		t.refused++
		r.returns = append(r.returns, now.Add(f.retry))
		r.longestRefusal = max(r.longestRefusal, now.Sub(f.operation.arrived))
		again := now.Add(f.retry)
		if again.Sub(f.operation.arrived) > 4*time.Second {
			t.lost++
			continue
		}
		r.schedule(again, func(now ident.Time) { r.ask(now, f.operation.kind, f.operation.team, f.operation.arrived, 1) })
	}
}

func (r *replay) answered(now ident.Time, o *operation) {
	for _, t := range []*tally{r.byKind[o.kind.priority], r.team(o.team)} {
		if now.Sub(o.arrived) <= o.kind.objective {
			t.inTime++
		} else {
			t.late++
		}
	}
}

func (r *replay) team(name ident.Team) *tally {
	if r.byTeam[name] == nil {
		r.byTeam[name] = &tally{}
	}
	return r.byTeam[name]
}

func (r *replay) run(until ident.Time) {
	for len(r.events) > 0 && r.events[0].at <= until {
		e := heap.Pop(&r.events).(event)
		e.do(e.at)
	}
}

// load is the mean demand, in statements' time, of one operation.
func load() time.Duration {
	var mean float64
	for _, k := range kinds {
		mean += k.share * float64(k.work) * (1 + 3*k.transactions)
	}
	return time.Duration(mean)
}

// arrivals schedules operations of all kinds at a multiple of what the upstream can run, and a burst of the least urgent kind.
func (r *replay) arrivals(overload float64, from, until ident.Time, teams int) {
	gap := time.Duration(float64(load()) / capacity / overload)
	for at := from; at < until; at = at.Add(time.Duration(r.rand.ExpFloat64() * float64(gap))) {
		pick := r.rand.Float64()
		k := &kinds[2]
		switch {
		case pick < kinds[0].share:
			k = &kinds[0]
		case pick < kinds[0].share+kinds[1].share:
			k = &kinds[1]
		}
		team := ident.Team(fmt.Sprint("team", r.rand.IntN(teams)))
		r.byKind[k.priority].asked++
		r.schedule(at, func(now ident.Time) { r.ask(now, k, team, now, 0) })
	}
}

// Guards against an overload in which the most urgent callers are served worse than others. The replay has three priorities, 40%
// transactions and a burst of the least urgent kind; callers who are refused come back when they are told to.
func TestOverloadByPriority(t *testing.T) {
	var out bytes.Buffer
	for _, overload := range []float64{0.7, 1.3, 1.6, 2} {
		fmt.Fprintf(&out, "arrivals at %.1f times the capacity for 10 s, a burst of 200 of priority 2 at 4 s\n", overload)
		for _, c := range []struct {
			name string
			rule rule
		}{{"before", newUnbounded()}, {"scheduler", newScheduled()}} {
			r := newReplay(c.rule)
			r.arrivals(overload, 0, 10_000*ms, 12)
			for range 200 {
				r.byKind[2].asked++
				r.schedule(4000*ms, func(now ident.Time) { r.ask(now, &kinds[2], "burst", now, 0) })
			}
			r.run(20_000 * ms)
			previous := 1.0
			for priority := range len(kinds) {
				k := r.byKind[priority]
				share := float64(k.inTime) / float64(k.asked)
				fmt.Fprintf(&out, "  %-9s priority %d: %.2f in time, %.2f late, %.2f refusals each\n", c.name, priority, share,
					float64(k.late)/float64(k.asked), float64(k.refused)/float64(k.asked))
				if c.name == "scheduler" {
					require.LessOrEqual(t, share, previous+0.005, "priority %d at %v", priority, overload)
					previous = share
				}
			}
		}
	}
	goldie.New(t).Assert(t, "overload", out.Bytes())
}
