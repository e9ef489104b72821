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

// Guards against more open connections over all hosts than the upstream accepts, with lost, late and crossed reports,
// restarted hosts, ended leases and a new leader.
func TestAllocationNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const limit = 16
		type response struct {
			host        int
			incarnation ident.Incarnation
			seq         uint64
			allotted    int
			lease       ident.Time
		}
		type request struct {
			host        int
			incarnation ident.Incarnation
			demand      *fleetpb.Demand
			sent        ident.Time
		}
		var now ident.Time
		users := make([]user, 4)
		var requests []request
		var responses []response
		a := pool.NewAllocator(pool.AllocatorOptions{Limit: limit})
		for range rapid.IntRange(20, 200).Draw(r, "steps") {
			now += ident.Time(rapid.Int64Range(0, int64(300*ms)).Draw(r, "pass"))
			i := rapid.IntRange(0, len(users)-1).Draw(r, "host")
			for j := range users {
				if now >= users[j].lease {
					users[j].open, users[j].allotted = 0, 0
				}
			}
			u := &users[i]
			switch rapid.IntRange(0, 12).Draw(r, "event") {
			case 0:
				users[i] = user{incarnation: u.incarnation + 1}
			case 1:
				a = pool.NewAllocator(pool.AllocatorOptions{Limit: limit, Quiet: now + 2000*ms})
				requests, responses = nil, nil
			case 2, 3:
				u.open = rapid.IntRange(0, max(u.open, u.allotted)).Draw(r, "open")
			case 4, 5, 6, 7:
				u.seq++
				requests = append(requests, request{i, u.incarnation, &fleetpb.Demand{
					Wanted: rapid.Uint32Range(0, 20).Draw(r, "wanted"), Open: uint32(u.open), Allotted: uint32(u.allotted), Seq: u.seq,
				}, now})
			case 8, 9, 10:
				if n := len(requests); n > 0 {
					q := requests[rapid.IntRange(0, n-1).Draw(r, "request")]
					got := a.Report(now, ident.Host(fmt.Sprint(q.host)), q.incarnation, q.demand, now+2000*ms)
					responses = append(responses, response{q.host, q.incarnation, q.demand.GetSeq(), got, q.sent + 2000*ms})
				}
			default:
				if n := len(responses); n > 0 {
					p := responses[rapid.IntRange(0, n-1).Draw(r, "response")]
					h := &users[p.host]
					if p.incarnation == h.incarnation && p.seq == h.seq && now < p.lease {
						h.allotted, h.lease = p.allotted, max(h.lease, p.lease)
					}
				}
			}
			sum := 0
			for j := range users {
				sum += max(users[j].open, users[j].allotted)
			}
			if sum > limit-pool.Reserved {
				r.Fatalf("%d connections may be open, %d are allowed: %+v", sum, limit-pool.Reserved, users)
			}
		}
	})
}
