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

// BenchmarkGroups measures what a healthy group costs the control leader, by the number of groups: memory, a tick, and one
// observer's report on its three members.
func BenchmarkGroups(b *testing.B) {
	for _, count := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("groups=%d", count), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			groups := make([]*failover.Group, count)
			now := ident.Time(time.Second)
			for i := range groups {
				groups[i] = healthy(now)
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
		group := healthy(now)
		b.ResetTimer()
		for range b.N {
			report(group, now, "h1")
		}
	})
}

// healthy returns a group whose primary three observers reach.
func healthy(now ident.Time) *failover.Group {
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
		report(group, now, host)
	}
	return group
}

func report(group *failover.Group, now ident.Time, host ident.Host) {
	for i := range 3 {
		group.Step(now, failover.Observed{
			Host: host, Zone: ident.Zone("z-" + string(host)), Upstream: ident.Upstream(fmt.Sprintf("u%d", i)),
			State: failover.State{Primary: i == 0, Following: i > 0, Term: 1, Last: ident.Position{Term: 1, LSN: 100}},
		})
	}
}
