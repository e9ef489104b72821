package control_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/burn"
	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// source returns a configuration with the given number of services.
func source(services int) []byte {
	var b strings.Builder
	b.WriteString("zones:\n  - {name: north, region: moravia}\nservices:\n")
	for i := range services {
		fmt.Fprintf(&b, "  - {name: s%d, upstreams: 3, slots: 2, connections: 20, age: 2s, deadline: 5s}\n", i)
	}
	b.WriteString("teams:\n  - {name: brno, rate: 200, burst: 100}\n")
	return []byte(b.String())
}

// newMachine returns a machine whose text has the given number of services, each with three members and a primary.
func newMachine(b *testing.B, services int) (*control.Machine, uint64) {
	machine := control.NewMachine()
	index := uint64(0)
	apply := func(change *fleetpb.Change) {
		index++
		machine.Apply(index, change)
	}
	change, refused := control.ApplyChange(&fleetpb.ApplyRequest{Id: "a", Source: source(services), File: "b.yaml"}, 0)
	if refused != nil {
		b.Fatal(refused)
	}
	apply(change)
	for i := range services {
		name := fmt.Sprintf("s%d", i)
		for m := range 3 {
			apply(join(name, member(fmt.Sprintf("%s-%d", name, m), "north")))
		}
		apply(attempt(name, 1))
		apply(promoted(name, 1, name+"-0"))
	}
	return machine, index
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkState measures the control state by the number of services: the sizes of memory, snapshot and full state,
// and the size and time of a delta with one change of a primary.
func BenchmarkState(b *testing.B) {
	for _, services := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			before := heapInUse()
			machine, index := newMachine(b, services)
			used := heapInUse() - before
			snapshot, err := machine.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			full := proto.Size(machine.Delta(0))
			known := machine.Version()
			term := uint64(1)
			b.ResetTimer()
			for range b.N {
				term++
				index += 2
				machine.Apply(index-1, attempt("s0", term))
				machine.Apply(index, promoted("s0", term, "s0-1"))
			}
			b.StopTimer()
			b.ReportMetric(float64(used)/float64(services), "heap-B/service")
			b.ReportMetric(float64(len(snapshot))/float64(services), "snapshot-B/service")
			b.ReportMetric(float64(full)/float64(services), "full-B/service")
			b.ReportMetric(float64(proto.Size(machine.Delta(known))), "delta-B/change")
			runtime.KeepAlive(machine)
		})
	}
}

// BenchmarkSync measures one sync by the number of hosts, and the size of the lists that each host gets after a
// change of hosts.
func BenchmarkSync(b *testing.B) {
	for _, hosts := range []int{12, 100, 1000, 3700} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			before := heapInUse()
			machine, _ := newMachine(b, 10)
			leader := control.NewLeader(control.LeaderOptions{Host: "c1", Machine: machine, Meter: burn.New()})
			now := ident.Time(time.Second)
			leader.SetLeadership(now, control.Leadership{Leads: true, Since: now, Until: now.Add(time.Hour)})
			requests := make([]*fleetpb.SyncRequest, hosts)
			for i := range requests {
				requests[i] = &fleetpb.SyncRequest{
					Host: fmt.Sprintf("h%d", i), Incarnation: 1, Zone: "north", Region: "moravia", Peer: fmt.Sprintf("127.0.0.1:%d", 10000+i),
				}
			}
			lists := 0
			sync := func(i int) {
				response, _, err := leader.Sync(now, requests[i])
				if err != nil {
					b.Fatal(err)
				}
				lists = max(lists, proto.Size(response))
				requests[i].Digest = response.GetDigest()
				requests[i].Known = response.GetState().GetVersion()
			}
			for range 2 {
				for i := range requests {
					sync(i)
				}
			}
			used := heapInUse() - before
			b.ResetTimer()
			for n := range b.N {
				sync(n % hosts)
			}
			b.StopTimer()
			b.ReportMetric(float64(used)/float64(hosts), "heap-B/host")
			b.ReportMetric(float64(lists), "lists-B")
			runtime.KeepAlive(leader)
		})
	}
}
