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

// Guards against divisions that leave a host without a connection, ignore demand or hand out reserved connections.
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
			// Each host gives up what others lack in one round, and they get it in the next.
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

// user is a host that opens and closes connections within its allotment.
type user struct {
	incarnation ident.Incarnation
	seq         uint64
	open        int
	allotted    int
	lease       ident.Time
}

// report is a report of a host on its way to the leader, or back with the allotment.
type report struct {
	host        int
	incarnation ident.Incarnation
	demand      *fleetpb.Demand
	lease       ident.Time
	allotted    int
}

// fleet is an allocator with its hosts and the messages that come late.
type fleet struct {
	now       ident.Time
	allocator *pool.Allocator
	users     [4]user
	requests  []report
	responses []report
}

func (f *fleet) report(host int, wanted uint32) report {
	u := &f.users[host]
	u.seq++
	return report{host: host, incarnation: u.incarnation, lease: f.now + 2000*ms, demand: &fleetpb.Demand{
		Wanted: wanted, Open: uint32(u.open), Allotted: uint32(u.allotted), Seq: u.seq,
	}}
}

func (f *fleet) answer(r report) report {
	r.allotted = f.allocator.Report(f.now, ident.Host(fmt.Sprint(r.host)), r.incarnation, r.demand, f.now+2000*ms)
	return r
}

func (f *fleet) apply(r report) {
	u := &f.users[r.host]
	if r.incarnation == u.incarnation && r.demand.GetSeq() == u.seq && f.now < r.lease {
		u.allotted, u.lease = r.allotted, max(u.lease, r.lease)
	}
}

// expire closes the connections of hosts whose lease has ended.
func (f *fleet) expire() {
	for i := range f.users {
		if f.now >= f.users[i].lease {
			f.users[i].open, f.users[i].allotted = 0, 0
		}
	}
}

// Guards against more open connections over all hosts than the upstream accepts, with lost, late and crossed reports,
// restarted hosts, ended leases and a new leader.
func TestAllocationNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const limit = 16
		f := &fleet{allocator: pool.NewAllocator(pool.AllocatorOptions{Limit: limit})}
		for range rapid.IntRange(20, 200).Draw(r, "steps") {
			f.now += ident.Time(rapid.Int64Range(0, int64(200*ms)).Draw(r, "pass"))
			f.expire()
			i := rapid.IntRange(0, len(f.users)-1).Draw(r, "host")
			u := &f.users[i]
			wanted := func() uint32 { return rapid.SampledFrom([]uint32{0, 3, 20}).Draw(r, "wanted") }
			switch rapid.SampledFrom([]string{
				"sync", "sync", "sync", "sync", "open", "open", "close", "lose response", "delay request", "delay response",
				"late request", "late response", "restart", "leader",
			}).Draw(r, "event") {
			case "sync":
				f.apply(f.answer(f.report(i, wanted())))
			case "open":
				u.open = max(u.open, u.allotted)
			case "close":
				u.open = rapid.IntRange(0, u.open).Draw(r, "open")
			case "lose response":
				f.answer(f.report(i, wanted()))
			case "delay request":
				f.requests = append(f.requests, f.report(i, wanted()))
			case "delay response":
				f.responses = append(f.responses, f.answer(f.report(i, wanted())))
			case "late request":
				if n := len(f.requests); n > 0 {
					f.apply(f.answer(f.requests[rapid.IntRange(0, n-1).Draw(r, "late")]))
				}
			case "late response":
				if n := len(f.responses); n > 0 {
					f.apply(f.responses[rapid.IntRange(0, n-1).Draw(r, "late")])
				}
			case "restart":
				f.users[i] = user{incarnation: u.incarnation + 1}
			case "leader":
				if rapid.IntRange(0, 3).Draw(r, "elect") == 0 {
					f.allocator = pool.NewAllocator(pool.AllocatorOptions{Limit: limit, GraceUntil: f.now + 2000*ms})
					f.requests = nil
				}
			}
			sum := 0
			for _, u := range f.users {
				sum += max(u.open, u.allotted)
			}
			if sum > limit-pool.Reserved {
				r.Fatalf("%d connections may be open, %d are allowed: %+v", sum, limit-pool.Reserved, f.users)
			}
		}
	})
}
