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
	// timeout is the time of all routes, pause that between the statements of a transaction, and patience how long callers come back.
	timeout, pause, patience = 800 * ms, 20 * ms, 4000 * ms
	transactions, statements = 0.4, 4
)

type kind struct {
	priority  int
	objective ident.Time
	work      int // mean milliseconds of a statement
	share     float64
}

var kinds = []*kind{{0, 400 * ms, 5, 0.15}, {1, 600 * ms, 22, 0.15}, {2, 1500 * ms, 14, 0.70}}

type operation struct {
	*kind
	team           ident.Team
	first          ident.Time // when the caller asked first
	began          ident.Time // when it asked last
	deadline, next ident.Time
	left           int
	id             admission.ID
}

// replay steps through the milliseconds of one upstream with a limited number of connections. Without a scheduler it follows the rule
// before it: a connection first, then a queue for each priority that transactions pass, and half of the objective as the time to return.
type replay struct {
	scheduler   *admission.Scheduler
	queues      []*queue.Queue
	rand        *rand.Rand
	now         ident.Time
	connections int
	operations  map[admission.ID]*operation
	queued      map[*queue.Queue]map[queue.ID]*operation
	future      map[ident.Time][]*operation // callers that ask or come back, by millisecond
	connecting  []*operation                // in the order of their turns
	sent        []*operation                // at the upstream, the first ones run until next
	busy        int
	pausing     []*operation
	asked       [3]int
	inTime      [3]int
	late        [3]int
	refused     [3]int
	teams       map[ident.Team]int
	urgent      []ident.Time // times of the answers of priority 0
}

func newReplay(scheduled bool, connections int) *replay {
	r := &replay{
		rand: rand.New(rand.NewPCG(1, 2)), connections: connections, operations: map[admission.ID]*operation{},
		queued: map[*queue.Queue]map[queue.ID]*operation{}, teams: map[ident.Team]int{},
		future: map[ident.Time][]*operation{},
	}
	for range kinds {
		q := queue.New(queue.Options{PerTeam: admission.DefaultPerTeam})
		r.queues, r.queued[q] = append(r.queues, q), map[queue.ID]*operation{}
	}
	if scheduled {
		r.scheduler = admission.New(admission.Options{Limit: capacity + spare})
	}
	return r
}

// ask adds a caller.
func (r *replay) ask(at ident.Time, k *kind, team ident.Team) {
	o := &operation{kind: k, team: team, first: at, next: at, left: 1}
	if r.rand.Float64() < transactions {
		o.left = statements
	}
	r.asked[k.priority]++
	r.schedule(o)
}

func (r *replay) schedule(o *operation) {
	r.future[o.next/ms] = append(r.future[o.next/ms], o)
}

// load adds callers at a multiple of the capacity. Teams share them by weight.
func (r *replay) load(overload float64, until ident.Time, weights []int) {
	mean := 0.0
	for _, k := range kinds {
		mean += k.share * float64(k.work) * (1 + transactions*(statements-1))
	}
	var names []ident.Team
	for team, weight := range weights {
		names = append(names, slices.Repeat([]ident.Team{ident.Team(fmt.Sprint("team", team))}, weight)...)
	}
	for at := 0.0; ident.Time(at)*ms < until; at += r.rand.ExpFloat64() * mean / capacity / overload {
		pick, k := r.rand.Float64(), kinds[2]
		if pick < kinds[0].share {
			k = kinds[0]
		} else if pick < kinds[0].share+kinds[1].share {
			k = kinds[1]
		}
		r.ask(ident.Time(at)*ms, k, names[r.rand.IntN(len(names))])
	}
}

func take(list *[]*operation, which func(o *operation) bool) []*operation {
	var taken []*operation
	*list = slices.DeleteFunc(*list, func(o *operation) bool {
		if which(o) {
			taken = append(taken, o)
			return true
		}
		return false
	})
	return taken
}

func (r *replay) run(until ident.Time) {
	due := func(o *operation) bool { return o.next <= r.now }
	for ; r.now < until; r.now += ms {
		for _, o := range r.future[r.now/ms] {
			o.began, o.deadline = r.now, max(o.first+min(o.objective, timeout), r.now+ms)
			if o.deadline == r.now+ms {
				o.deadline = r.now + timeout
			}
			r.arrive(o)
		}
		for _, o := range take(&r.connecting, func(o *operation) bool { return r.now >= o.deadline }) {
			if r.scheduler != nil {
				r.apply(r.scheduler.Abandon(r.now, o.id))
			} else {
				r.refuse(o, o.objective/2)
			}
		}
		for _, o := range take(&r.pausing, due) {
			r.follow(o)
		}
		for _, o := range take(&r.sent, func(o *operation) bool { return o.next != 0 && due(o) }) {
			r.end(o)
		}
		r.startSent()
		if r.scheduler != nil {
			r.apply(r.scheduler.Decide(r.now))
		}
	}
}

func (r *replay) startSent() {
	for _, o := range r.sent {
		if o.next == 0 && r.busy < capacity {
			r.busy++
			o.next = r.now + ident.Time(1+r.rand.IntN(2*o.work-1))*ms
		}
	}
}

func (r *replay) arrive(o *operation) {
	if r.scheduler == nil {
		o.deadline = r.now + timeout
		r.connect(o)
		return
	}
	r.admit(o, admission.Request{Team: o.team, Priority: o.priority, Deadline: o.deadline, Late: r.now >= o.first+o.objective})
}

func (r *replay) admit(o *operation, request admission.Request) {
	id, decisions := r.scheduler.Arrive(r.now, request)
	o.id, r.operations[id] = id, o
	o.began = r.now
	r.apply(decisions)
}

func (r *replay) apply(decisions []admission.Decision) {
	for _, d := range decisions {
		o := r.operations[d.ID]
		switch {
		case d.Refused != nil:
			r.refuse(o, ident.Time(d.Refused.Retry))
		case o.next == -1: // holds a connection
			r.send(o)
		default:
			r.connect(o)
		}
	}
}

// connect gives operations a connection in the order of priority.
func (r *replay) connect(o *operation) {
	at, _ := slices.BinarySearchFunc(r.connecting, o.priority+1, func(o *operation, priority int) int { return o.priority - priority })
	r.connecting = slices.Insert(r.connecting, at, o)
	r.giveConnections()
}

func (r *replay) giveConnections() {
	for r.connections > 0 && len(r.connecting) > 0 {
		o := r.connecting[0]
		r.connecting = slices.Delete(r.connecting, 0, 1)
		r.connections--
		o.next = -1
		if r.scheduler != nil {
			r.apply(r.scheduler.Start(r.now, o.id))
			continue
		}
		q := r.queues[o.priority]
		id, dropped, err := q.Push(r.now, o.team, o.deadline)
		r.drop(q, dropped)
		if err != nil {
			r.refuse(o, o.objective/2)
			continue
		}
		r.queued[q][id] = o
		r.grantQueued()
	}
}

func (r *replay) grantQueued() {
	for _, q := range r.queues {
		for len(r.sent) < capacity+spare {
			work, found, dropped := q.Next(r.now)
			r.drop(q, dropped)
			if !found {
				break
			}
			r.send(r.queued[q][work.ID])
		}
	}
}

func (r *replay) drop(q *queue.Queue, dropped []*queue.Dropped) {
	for _, d := range dropped {
		o := r.queued[q][d.Work.ID]
		r.refuse(o, o.objective/2)
	}
}

func (r *replay) send(o *operation) {
	o.next = 0
	r.sent = append(r.sent, o)
}

// follow sends a later statement of a transaction.
func (r *replay) follow(o *operation) {
	o.next = -1
	if r.scheduler == nil {
		r.send(o)
		return
	}
	r.admit(o, admission.Request{Team: o.team, Priority: o.priority, Deadline: r.now + timeout, Holding: true})
}

// end ends a statement, and after the last one its operation.
func (r *replay) end(o *operation) {
	r.busy--
	o.left--
	if o.left > 0 {
		o.next = r.now + pause
		r.pausing = append(r.pausing, o)
	} else {
		r.connections++
		r.teams[o.team]++
		if o.priority == 0 {
			r.urgent = append(r.urgent, r.now-o.first)
		}
		if r.now <= o.first+o.objective+pause*statements {
			r.inTime[o.priority]++
		} else {
			r.late[o.priority]++
		}
	}
	if r.scheduler != nil {
		r.apply(r.scheduler.Finish(r.now, o.id))
	} else {
		r.queues[o.priority].RecordServiceTime(r.now, time.Duration(r.now-o.began))
		r.grantQueued()
	}
	r.giveConnections()
}

// refuse tells a caller to come back, who does within its patience.
func (r *replay) refuse(o *operation, after ident.Time) {
	if o.next == -1 {
		r.connections++
	}
	r.refused[o.priority]++
	again := *o
	again.next = r.now + max(after, 2*ms)
	if again.next < o.first+patience && (o.left == 1 || o.left == statements) {
		r.schedule(&again)
	}
}

// Guards against a team that gets less than its fair share of a priority: one asks little, one the most, all in an overload.
func TestFairShare(t *testing.T) {
	r := newReplay(true, 30)
	asks := map[ident.Team]int{"small": 40, "middle": 5, "large": 2}
	for team, gap := range asks {
		for at := 0; at < 10_000; at += gap {
			o := &operation{kind: kinds[2], team: team, first: ident.Time(at) * ms, next: ident.Time(at) * ms, left: 1}
			r.schedule(o)
		}
	}
	r.run(10_000 * ms)
	served := r.teams["small"] + r.teams["middle"] + r.teams["large"]
	require.GreaterOrEqual(t, r.teams["small"], 250*95/100, "it asks for less than its share")
	share := (served - r.teams["small"]) / 2
	require.GreaterOrEqual(t, r.teams["middle"], share*95/100)
	require.GreaterOrEqual(t, r.teams["large"], share*95/100)
}

// Guards against a deadlock, and connections that are lost, when the transactions hold all connections of a small pool.
func TestFewConnections(t *testing.T) {
	r := newReplay(true, 2)
	r.load(1.3, 5000*ms, []int{1, 1, 1, 1})
	r.run(15_000 * ms)
	require.Zero(t, r.scheduler.Waiting())
	require.Equal(t, 2, r.connections)
	require.Greater(t, r.inTime[0], r.asked[0]/2)
}

// Guards against an overload in which urgent callers are served worse than others: three priorities, 40% transactions, fewer connections
// than callers, and a burst of the least urgent kind; callers come back when they are told to.
func TestOverload(t *testing.T) {
	var out bytes.Buffer
	for _, overload := range []float64{0.6, 1.3, 2} {
		fmt.Fprintf(&out, "%.1f times the capacity for 10 s, 200 of priority 2 at 4 s\n", overload)
		for _, scheduled := range []bool{false, true} {
			r := newReplay(scheduled, 30)
			r.load(overload, 10_000*ms, []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1})
			for range 200 {
				r.ask(4000*ms, kinds[2], "burst")
			}
			r.run(20_000 * ms)
			previous := 1.0
			for priority := range kinds {
				asked := float64(r.asked[priority])
				share := float64(r.inTime[priority]) / asked
				fmt.Fprintf(&out, "  scheduled %-5t priority %d: %.2f in time, %.2f late, refused %.2f times\n",
					scheduled, priority, share, float64(r.late[priority])/asked, float64(r.refused[priority])/asked)
				require.True(t, !scheduled || share <= previous+0.005, "priority %d is served better than a more urgent one", priority)
				previous = share
			}
			slices.Sort(r.urgent)
			fmt.Fprintf(&out, "    99 of 100 answers of priority 0 within %d ms\n", r.urgent[len(r.urgent)*99/100]/ms)
		}
	}
	goldie.New(t).Assert(t, "overload", out.Bytes())
}
