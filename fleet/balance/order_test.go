package balance_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"tamarackshunt.dev/fleet/balance"
	"tamarackshunt.dev/fleet/ident"
)

// report returns a report of the work on an upstream of four slots.
func report(work int, serviceTime, age time.Duration) balance.Report {
	load := balance.Load{Waiting: max(0, work-slots), Running: min(work, slots), Slots: slots, Service: serviceTime}
	return balance.Report{Load: load, Known: true, Age: age}
}

// Guards against calm load that leaves the near upstream, a share that leaves a busy or slow upstream or comes back to it all at once,
// an old report that counts like a new one, a primary without room for its writes, a gateway that answers nobody and gets all reads of
// its zone until they fail, an order that prefers an upstream that failed, times that overflow, and another order than the former one where hosts are few or nothing is reported.
func TestChoose(t *testing.T) {
	const ms = time.Millisecond
	near := func(r balance.Report) balance.Option { return balance.Option{Report: r} }
	far := func(r balance.Report) balance.Option {
		return balance.Option{Distance: balance.DistanceFar, Report: r}
	}
	idle := far(report(0, 15*ms, 0))
	unknown := balance.Report{}
	primary := near(report(12, 15*ms, 0))
	primary.Primary = true
	avoided, busySelf := near(report(0, 15*ms, 0)), near(unknown)
	avoided.Avoid = true
	busySelf.InFlight = 3
	// All hosts together send what an upstream of four slots serves in time, and half more.
	old := func(work int, age time.Duration, rate float64) balance.Option {
		o := near(report(work, 15*ms, age))
		o.Report.Sent, o.Report.Rate = 1, rate
		return o
	}
	const even, over = 4, 6
	silent := func(silence time.Duration) balance.Option {
		o := near(report(2, 15*ms, silence))
		o.InFlight, o.Report.Silence = 1, silence
		return o
	}
	var out strings.Builder
	for _, c := range []struct {
		name    string
		hosts   int
		options []balance.Option
	}{
		{"calm", hosts, []balance.Option{idle, near(report(3, 15*ms, 0)), idle}},
		{"near has 12", hosts, []balance.Option{idle, near(report(12, 15*ms, 0)), idle}},
		{"near has 16", hosts, []balance.Option{idle, near(report(16, 15*ms, 0)), idle}},
		{"near has 20", hosts, []balance.Option{idle, near(report(20, 15*ms, 0)), idle}},
		{"near has 36", hosts, []balance.Option{idle, near(report(36, 15*ms, 0)), idle}},
		{"near had 36 100 ms ago", hosts, []balance.Option{idle, old(36, 100*ms, even), idle}},
		{"near had 36 300 ms ago", hosts, []balance.Option{idle, old(36, 300*ms, even), idle}},
		{"near had 36 1 s ago", hosts, []balance.Option{idle, old(36, time.Second, even), idle}},
		{"near had 36 100 ms ago, no arrivals", hosts, []balance.Option{idle, old(36, 100*ms, 0), idle}},
		{"near had 4 300 ms ago, arrivals over", hosts, []balance.Option{idle, old(4, 300*ms, over), idle}},
		{"near has 12 and is the primary", hosts, []balance.Option{idle, primary, idle}},
		{"near is slow", hosts, []balance.Option{idle, near(report(4, 90*ms, 0)), idle}},
		{"near was slow 2 s ago", hosts, []balance.Option{idle, near(report(4, 90*ms, 2*time.Second)), idle}},
		{"near was slow 6 s ago", hosts, []balance.Option{idle, near(report(4, 90*ms, 6*time.Second)), idle}},
		{"all are full", hosts, []balance.Option{far(report(36, 15*ms, 0)), near(report(36, 15*ms, 0)), far(report(36, 15*ms, 0))}},
		{"near reports absurd numbers", hosts, []balance.Option{idle, near(report(1<<32, time.Hour, 0)), idle}},
		{"two are near", hosts, []balance.Option{near(report(4, 15*ms, 0)), near(report(10, 15*ms, 0)), idle}},
		{"near has not answered for 60 ms", hosts, []balance.Option{idle, silent(60 * ms), idle}},
		{"near has not answered for 90 ms", hosts, []balance.Option{idle, silent(90 * ms), idle}},
		{"near has not answered for 200 ms", hosts, []balance.Option{idle, silent(200 * ms), idle}},
		{"near has failed", hosts, []balance.Option{idle, avoided, idle}},
		{"only near is not reported", hosts, []balance.Option{idle, near(unknown), idle}},
		{"few hosts", 11, []balance.Option{idle, near(report(36, 15*ms, 0)), idle}},
		{"no report", hosts, []balance.Option{far(unknown), near(unknown), far(unknown)}},
		{"no report, busy with own statements", hosts, []balance.Option{far(unknown), busySelf, far(unknown)}},
	} {
		random := rand.New(rand.NewPCG(1, 0))
		const draws = 4000
		first, reasons := make([]int, len(c.options)), map[balance.Reason]int{}
		for range draws {
			order := balance.Choose(c.options, c.hosts, random.Float64)
			first[order.Indexes[0]]++
			reasons[order.Reason]++
		}
		fmt.Fprintf(&out, "%-38s first:", c.name)
		for _, n := range first {
			fmt.Fprintf(&out, " %4.1f%%", float64(n)/draws*100)
		}
		fmt.Fprintf(&out, "  %v\n", reasons)
	}
	goldie.New(t).Assert(t, "choose", []byte(out.String()))
}

// Guards against a report that forgets what the host has sent since, or that keeps its rate after the host has stopped.
func TestTracker(t *testing.T) {
	var tracker balance.Tracker
	start := ident.Time(0).Add(time.Hour)
	var out strings.Builder
	show := func(what string, at time.Duration) {
		r := tracker.Report(start.Add(at))
		fmt.Fprintf(&out, "%-22s known %-5t age %-5v work %d, sent %d, rate %.2f, silence %v\n", what, r.Known, r.Age,
			r.Load.Waiting+r.Load.Running, r.Sent, r.Rate, r.Silence)
	}
	show("nothing", 0)
	for i := range 40 {
		tracker.RecordSent(start.Add(time.Duration(i)*250*time.Millisecond), false)
	}
	tracker.RecordLoad(start.Add(10*time.Second), balance.Load{Waiting: 2, Running: 4, Slots: 4, Service: service})
	show("4 a second for 10 s", 10*time.Second)
	tracker.RecordSent(start.Add(10*time.Second), true)
	show("another 0.5 s later", 10500*time.Millisecond)
	show("nothing for 10 s", 20*time.Second)
	goldie.New(t).Assert(t, "tracker", []byte(out.String()))
}
