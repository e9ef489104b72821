package balance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"tamarackshunt.dev/fleet/balance"
	"tamarackshunt.dev/fleet/ident"
)

// The fleet of the replay: six availability zones in three regions, and a group of one upstream in each region.
const (
	hosts     = 65
	zones     = 6
	regions   = 3
	groups    = 8
	slots     = 4
	maxQueue  = 32
	service   = 15 * time.Millisecond
	runTime   = 10 * time.Second
	window    = time.Second
	retryTime = 25 * time.Millisecond
)

// scenario is a load on the fleet.
type scenario struct {
	name string
	// load is the demand relative to what all slots can serve, in a region at a time.
	load func(region int, at time.Duration) float64
	// pinned is the share of statements that only the primary runs.
	pinned float64
	// slowFactor is how much longer statements take on an upstream at a time.
	slowFactor func(upstream int, at time.Duration) float64
}

func constant(load float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return load }
}

func sameSpeed(int, time.Duration) float64 { return 1 }

const slowFrom, slowTo = 3 * time.Second, 6 * time.Second

var scenarios = []scenario{
	{"calm", constant(0.15), 0.2, sameSpeed},
	{"busy", constant(0.6), 0.2, sameSpeed},
	{"demand moves from region to region", func(region int, at time.Duration) float64 {
		return 0.5 + 0.4*math.Sin(2*math.Pi*(at.Seconds()/6+float64(region)/regions))
	}, 0.2, sameSpeed},
	{"primaries are busier", constant(0.5), 0.5, sameSpeed},
	{"uneven speeds", constant(0.5), 0.2, func(upstream int, _ time.Duration) float64 { return []float64{0.7, 1, 1.6}[(upstream/3+upstream)%3] }},
	{"one upstream turns slow and recovers", constant(0.35), 0.1, func(upstream int, at time.Duration) float64 {
		if upstream == 1 && at > slowFrom && at < slowTo {
			return 5
		}
		return 1
	}},
}

// event is something that happens at a time of the replay.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// job is a statement on an upstream; work is the time that it takes relative to the mean.
type job struct {
	work float64
	done func()
}

// server is an upstream with its gateway.
type server struct {
	waiting []job
	running int
	service balance.ServiceTime
	// occupied is the integral of the statements that wait or run in the current window, as of since.
	occupied float64
	since    time.Duration
}

// replay is the run of a scenario.
type replay struct {
	scenario scenario
	// deciders is the number of hosts that the rule is told.
	deciders int
	// random drives the load, and draws the choices, so that all rules meet the same load.
	random   *rand.Rand
	draws    *rand.Rand
	now      time.Duration
	events   events
	servers  [groups * regions]server
	trackers [hosts][groups * regions]balance.Tracker
	inFlight [hosts][groups * regions]int

	spreads []float64
	// latencies are those of reads, pinnedLatencies those of statements for the primary.
	latencies, pinnedLatencies []time.Duration
	reads, far                 int
	// chosen counts, for each window, the reads of the first group and those that were sent to its second upstream.
	chosen [runTime / window][2]int
}

func (r *replay) after(d time.Duration, run func()) {
	heap.Push(&r.events, event{r.now + d, run})
}

// distance returns the distance of a host and an upstream, and the time of a message between them.
func distance(host, upstream int) (balance.Distance, time.Duration) {
	switch zone := host % zones; {
	case zone == upstream%regions:
		return balance.DistanceZone, 200 * time.Microsecond
	case zone%regions == upstream%regions:
		return balance.DistanceRegion, 1500 * time.Microsecond
	default:
		return balance.DistanceFar, 12 * time.Millisecond
	}
}

// arrive lets a statement arrive at a host and schedules the next one.
func (r *replay) arrive(host int) {
	load := r.scenario.load(host%regions, r.now)
	perSecond := load * groups * regions * slots / service.Seconds() / hosts
	r.after(time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second)), func() { r.arrive(host) })
	group, pinned, work := r.random.IntN(groups), r.random.Float64() < r.scenario.pinned, r.random.ExpFloat64()
	began := r.now
	if pinned {
		r.send(host, []int{group*regions + group%regions}, 0, work, func() { r.pinnedLatencies = append(r.pinnedLatencies, r.now-began) })
		return
	}
	order := r.choose(host, group)
	r.reads++
	if d, _ := distance(host, order[0]); d == balance.DistanceFar {
		r.far++
	}
	if group == 0 {
		r.chosen[r.now/window][0]++
		if order[0] == 1 {
			r.chosen[r.now/window][1]++
		}
	}
	r.send(host, order, 0, work, func() { r.latencies = append(r.latencies, r.now-began) })
}

// choose returns the upstreams of a group in the order of the rule.
func (r *replay) choose(host, group int) []int {
	options := make([]balance.Option, regions)
	for i := range options {
		u := group*regions + i
		options[i].Distance, _ = distance(host, u)
		options[i].Primary = i == group%regions
		options[i].InFlight = r.inFlight[host][u]
		options[i].Report = r.trackers[host][u].Report(r.time())
	}
	order := balance.Choose(options, r.deciders, r.draws.Float64).Indexes
	for i := range order {
		order[i] += group * regions
	}
	return order
}

func (r *replay) time() ident.Time { return ident.Time(0).Add(time.Hour + r.now) }

// send sends a statement to the upstreams of an order until one takes it.
func (r *replay) send(host int, order []int, attempt int, work float64, done func()) {
	u := order[attempt%len(order)]
	s := &r.servers[u]
	_, delay := distance(host, u)
	r.inFlight[host][u]++
	r.trackers[host][u].RecordSent(r.time(), r.inFlight[host][u] == 1)
	answer := func(then func()) {
		load := balance.Load{Waiting: len(s.waiting), Running: s.running, Slots: slots, Service: s.service.Mean()}
		r.after(delay, func() {
			r.inFlight[host][u]--
			r.trackers[host][u].RecordLoad(r.time(), load)
			then()
		})
	}
	r.after(delay, func() {
		if len(s.waiting) >= maxQueue {
			answer(func() { r.after(retryTime, func() { r.send(host, order, attempt+1, work, done) }) })
			return
		}
		r.count(s)
		s.waiting = append(s.waiting, job{work, func() { answer(done) }})
		r.start(u)
	})
}

// start runs waiting statements of an upstream in its free slots.
func (r *replay) start(u int) {
	s := &r.servers[u]
	for s.running < slots && len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		took := time.Duration(next.work * r.scenario.slowFactor(u, r.now) * float64(service))
		r.after(took, func() {
			s.service.Record(took, s.running, slots)
			r.count(s)
			s.running--
			r.start(u)
			next.done()
		})
	}
}

// count brings the occupation of an upstream up to date.
func (r *replay) count(s *server) {
	s.occupied += float64(len(s.waiting)+s.running) * (r.now - s.since).Seconds()
	s.since = r.now
}

// endWindow records the busiest upstream against the mean.
func (r *replay) endWindow() {
	var busiest, sum float64
	for i := range r.servers {
		s := &r.servers[i]
		r.count(s)
		busiest, sum = max(busiest, s.occupied), sum+s.occupied
		s.occupied = 0
	}
	r.spreads = append(r.spreads, busiest/(sum/float64(len(r.servers))))
	r.after(window, r.endWindow)
}

// run replays a scenario.
func run(s scenario, deciders int, seed uint64) *replay {
	r := &replay{scenario: s, deciders: deciders, random: rand.New(rand.NewPCG(seed, 0)), draws: rand.New(rand.NewPCG(seed, 1))}
	for host := range hosts {
		r.after(time.Duration(r.random.Int64N(int64(50*time.Millisecond))), func() { r.arrive(host) })
	}
	r.after(window, r.endWindow)
	for {
		next := heap.Pop(&r.events).(event)
		if next.at >= runTime {
			return r
		}
		r.now = next.at
		next.run()
	}
}

func mean(list []float64) (sum float64) {
	for _, x := range list {
		sum += x / float64(len(list))
	}
	return sum
}

// quantiles returns the mean, the median and the 99th percentile of latencies in milliseconds.
func quantiles(latencies []time.Duration) string {
	slices.Sort(latencies)
	var sum time.Duration
	for _, l := range latencies {
		sum += l
	}
	n := len(latencies)
	ms := func(d time.Duration) float64 { return d.Seconds() * 1000 }
	return fmt.Sprintf("%5.1f %5.1f %6.1f", ms(sum)/float64(n), ms(latencies[n/2]), ms(latencies[n*99/100]))
}

// Guards against upstreams that are overrun in turns while others idle, since many hosts act on the same old reports, and against
// calm load that is moved to distant upstreams.
func TestReplay(t *testing.T) {
	var out strings.Builder
	for _, s := range scenarios {
		fmt.Fprintf(&out, "%s\n", s.name)
		for seed := range uint64(2) {
			for _, rule := range []struct {
				name     string
				deciders int
			}{{"own load", 0}, {"reports", hosts}} {
				r := run(s, rule.deciders, seed)
				fmt.Fprintf(&out, "  seed %d, by %-8s  busiest/mean %.2f  reads %s  pinned %s  other region %4.1f%%\n", seed, rule.name,
					mean(r.spreads), quantiles(r.latencies), quantiles(r.pinnedLatencies), float64(r.far)/float64(r.reads)*100)
				if s.slowFactor(1, (slowFrom+slowTo)/2) > 2 {
					fmt.Fprintf(&out, "    share of its group's reads by the second:")
					for _, c := range r.chosen {
						fmt.Fprintf(&out, " %2.0f%%", float64(c[1])/float64(c[0])*100)
					}
					fmt.Fprintln(&out)
				}
			}
		}
	}
	goldie.New(t).Assert(t, "replay", []byte(out.String()))
}
