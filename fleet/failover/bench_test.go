package failover_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"tamarackshunt.dev/fleet/failover"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// BenchmarkGroups measures the memory and the tick time of a healthy group on the control leader for several numbers of
// groups, and the time for one observer's report on the three members of a group.
func BenchmarkGroups(b *testing.B) {
	for _, count := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("groups=%d", count), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			groups := make([]*failover.Group, count)
			now := ident.Time(time.Second)
			for i := range groups {
				groups[i] = newHealthyGroup(now)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for n := range b.N {
				groups[n%count].Step(now, failover.Tick{})
			}
			b.StopTimer()
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "heap-B/group")
			runtime.KeepAlive(groups)
		})
	}
	b.Run("report", func(b *testing.B) {
		now := ident.Time(time.Second)
		group := newHealthyGroup(now)
		b.ResetTimer()
		for range b.N {
			reportMembers(group, now, "h1")
		}
	})
}

// newHealthyGroup returns a group of three members that three observers reach.
func newHealthyGroup(now ident.Time) *failover.Group {
	group := failover.New(failover.Options{Service: "orders"})
	state := &fleetpb.Group{Service: "orders", Term: 1, Attempt: 1, Primary: "u0"}
	for i := range 3 {
		state.Members = append(state.Members, &fleetpb.Member{
			Upstream: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 5000+i), Zone: "north", Region: "moravia",
		})
	}
	group.Step(now, failover.ControlOf(state, 3, 3))
	for i := range 3 {
		group.Step(now, failover.Announced{Member: failover.MemberOf(state.GetMembers()[i]), Lease: time.Hour})
	}
	for _, host := range []ident.Host{"h1", "h2", "h3"} {
		reportMembers(group, now, host)
	}
	return group
}

func reportMembers(group *failover.Group, now ident.Time, host ident.Host) {
	for i := range 3 {
		group.Step(now, failover.Observed{
			Host: host, Zone: ident.Zone("z-" + string(host)), Upstream: ident.Upstream(fmt.Sprintf("u%d", i)),
			State: failover.State{Primary: i == 0, Following: i > 0, Term: 1, Last: ident.Position{Term: 1, LSN: 100}},
		})
	}
}
