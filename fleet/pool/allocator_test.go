package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/pool"
)

const ms = ident.Time(time.Millisecond)

// Guards against divisions that leave a host without a connection, ignore demand or allocate reserved connections.
func TestAllocatorDivides(t *testing.T) {
	tests := []struct {
		name   string
		limit  int
		wanted []uint32
		want   []int
	}{
		{"enough for all, the rest evenly", 20, []uint32{3, 5, 0}, []int{5, 8, 3}},
		{"scarce: max-min", 20, []uint32{100, 2, 100}, []int{7, 2, 7}},
		{"each gets one", 8, []uint32{100, 0, 0, 0}, []int{1, 1, 1, 1}},
		{"too few for all: most demand first", 6, []uint32{1, 9, 5}, []int{0, 1, 1}},
		{"only reserved ones", 4, []uint32{1}, []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := pool.NewAllocator(pool.AllocatorOptions{Limit: tt.limit})
			got := make([]int, len(tt.wanted))
			// In each round a host gives up the connections that others lack, and they get them in the next round.
			for round := range 4 {
				for i, wanted := range tt.wanted {
					got[i] = a.Report(0, ident.Host(fmt.Sprint("entry", i)), 1,
						&fleetpb.Demand{Seq: uint64(round + 1), Wanted: wanted, Allotted: uint32(got[i])}, 2000*ms)
				}
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// simulatedHost is a host that opens and closes connections within its allotment.
type simulatedHost struct {
	incarnation ident.Incarnation
	seq         uint64
	open        int
	allotted    int
	lease       ident.Time
}

// report is a host's report in transit to the leader, or the response with the allotment.
type report struct {
	host        int
	incarnation ident.Incarnation
	demand      *fleetpb.Demand
	lease       ident.Time
	allotted    int
}

// simulation is an allocator with its hosts and delayed messages.
type simulation struct {
	now       ident.Time
	allocator *pool.Allocator
	hosts     [4]simulatedHost
	requests  []report
	responses []report
}

func (sim *simulation) newReport(host int, wanted uint32) report {
	h := &sim.hosts[host]
	h.seq++
	return report{host: host, incarnation: h.incarnation, lease: sim.now + 2000*ms, demand: &fleetpb.Demand{
		Wanted: wanted, Open: uint32(h.open), Allotted: uint32(h.allotted), Seq: h.seq,
	}}
}

func (sim *simulation) respond(r report) report {
	r.allotted = sim.allocator.Report(sim.now, ident.Host(fmt.Sprint(r.host)), r.incarnation, r.demand, sim.now+2000*ms)
	return r
}

func (sim *simulation) apply(r report) {
	h := &sim.hosts[r.host]
	if r.incarnation == h.incarnation && r.demand.GetSeq() == h.seq && sim.now < r.lease {
		h.allotted, h.lease = r.allotted, max(h.lease, r.lease)
	}
}

// expire closes the connections of hosts whose lease has ended.
func (sim *simulation) expire() {
	for i := range sim.hosts {
		if sim.now >= sim.hosts[i].lease {
			sim.hosts[i].open, sim.hosts[i].allotted = 0, 0
		}
	}
}

// Guards against more open connections over all hosts than the upstream accepts, in spite of lost, late and reordered
// reports, restarted hosts, expired leases and a new leader.
func TestAllocationNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const limit = 16
		sim := &simulation{allocator: pool.NewAllocator(pool.AllocatorOptions{Limit: limit})}
		for range rapid.IntRange(20, 200).Draw(r, "steps") {
			sim.now += ident.Time(rapid.Int64Range(0, int64(200*ms)).Draw(r, "elapsed"))
			sim.expire()
			i := rapid.IntRange(0, len(sim.hosts)-1).Draw(r, "host")
			h := &sim.hosts[i]
			wanted := func() uint32 { return rapid.SampledFrom([]uint32{0, 3, 20}).Draw(r, "wanted") }
			switch rapid.SampledFrom([]string{
				"sync", "sync", "sync", "sync", "open", "open", "close", "lose response", "delay request", "delay response",
				"late request", "late response", "restart", "leader",
			}).Draw(r, "event") {
			case "sync":
				sim.apply(sim.respond(sim.newReport(i, wanted())))
			case "open":
				h.open = max(h.open, h.allotted)
			case "close":
				h.open = rapid.IntRange(0, h.open).Draw(r, "open")
			case "lose response":
				sim.respond(sim.newReport(i, wanted()))
			case "delay request":
				sim.requests = append(sim.requests, sim.newReport(i, wanted()))
			case "delay response":
				sim.responses = append(sim.responses, sim.respond(sim.newReport(i, wanted())))
			case "late request":
				if n := len(sim.requests); n > 0 {
					sim.apply(sim.respond(sim.requests[rapid.IntRange(0, n-1).Draw(r, "late")]))
				}
			case "late response":
				if n := len(sim.responses); n > 0 {
					sim.apply(sim.responses[rapid.IntRange(0, n-1).Draw(r, "late")])
				}
			case "restart":
				sim.hosts[i] = simulatedHost{incarnation: h.incarnation + 1}
			case "leader":
				if rapid.IntRange(0, 3).Draw(r, "elect") == 0 {
					sim.allocator = pool.NewAllocator(pool.AllocatorOptions{Limit: limit, GraceUntil: sim.now + 2000*ms})
					sim.requests = nil
				}
			}
			sum := 0
			for _, host := range sim.hosts {
				sum += max(host.open, host.allotted)
			}
			if sum > limit-pool.Reserved {
				r.Fatalf("%d connections may be open, %d are allowed: %+v", sum, limit-pool.Reserved, sim.hosts)
			}
		}
	})
}

// Guards against connections that the leader does not count: a host whose clock was stepped back before its restart reports with a
// lower incarnation, and its allotment must count after the lease of the earlier start has ended.
func TestRestartWithALowerIncarnation(t *testing.T) {
	const limit = 16
	allocator := pool.NewAllocator(pool.AllocatorOptions{Limit: limit})
	demand := &fleetpb.Demand{Seq: 1, Wanted: limit}
	before := allocator.Report(0, "h1", 1000, demand, 2000*ms)
	require.Equal(t, limit-pool.Reserved, before)
	require.Equal(t, before, allocator.Report(1999*ms, "h1", 5, demand, 3999*ms), "the lease of the earlier start has not ended")
	first := allocator.Report(2000*ms, "h1", 5, demand, 4000*ms)
	second := allocator.Report(2000*ms, "h2", 1, demand, 4000*ms)
	require.LessOrEqual(t, first+second, limit-pool.Reserved)
	require.Equal(t, first+second, allocator.MaxOpen(2000*ms))
}
