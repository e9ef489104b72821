package allotment_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/pool"
	"tamarackshunt.dev/host/allotment"
)

const connections = 20

// host applies each allotment at once and opens all connections that it may.
type host struct {
	name        string
	incarnation uint64
	seq         uint64
	open        uint32
	allotted    uint32
}

func (h *host) sync(a *allotment.Allotment, now ident.Time, wanted uint32) {
	h.seq++
	demand := &fleetpb.Demand{Service: "orders", Upstream: "o1", Wanted: wanted, Open: h.open, Allotted: h.allotted, Seq: h.seq}
	request := &fleetpb.SyncRequest{Host: h.name, Incarnation: h.incarnation, Demand: []*fleetpb.Demand{demand}}
	h.allotted = 0
	for _, answer := range a.Allot(now, request, nil) {
		h.allotted = answer.GetConnections()
	}
	h.open = h.allotted
}

func (h *host) leave(a *allotment.Allotment, now ident.Time) {
	a.Allot(now, &fleetpb.SyncRequest{Host: h.name, Incarnation: h.incarnation, Gone: true}, nil)
	*h = host{name: h.name, incarnation: h.incarnation + 1}
}

func lead(a *allotment.Allotment, since ident.Time) {
	a.SetState(since, &fleetpb.Text{Services: []*fleetpb.Service{{Name: "orders", Connections: connections}}}, nil)
	a.SetLeadership(since, control.Leadership{Leads: true, Since: since})
}

// Guards against more connections in all than the upstream accepts, while demands change, hosts leave and come back, and
// the office changes to a leader that knows none of the allotments.
func TestSumStaysWithinLimit(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		a := allotment.New()
		lead(a, 1)
		var hosts []*host
		for i := range 6 {
			hosts = append(hosts, &host{name: fmt.Sprint("e", i), incarnation: 1})
		}
		most := uint32(0)
		for step := range 400 {
			now := ident.Time(time.Duration(step+1) * 50 * time.Millisecond)
			h := hosts[step%len(hosts)]
			switch random.IntN(40) {
			case 0:
				h.leave(a, now)
			case 1:
				lead(a, now)
			default:
				h.sync(a, now, random.Uint32N(connections))
			}
			sum := uint32(0)
			for _, each := range hosts {
				sum += each.open
			}
			require.LessOrEqual(t, sum, uint32(connections-pool.Reserved), "seed %d step %d", seed, step)
			most = max(most, sum)
		}
		require.EqualValues(t, connections-pool.Reserved, most, "the limit was never reached, seed %d", seed)
	}
}

// Guards against allotments from a host that does not lead or for a service that the text does not name, and against a
// repeated notice of the same office that forgets what hosts have.
func TestOffice(t *testing.T) {
	a := allotment.New()
	h, late := &host{name: "e1", incarnation: 1}, &host{name: "e2", incarnation: 1}
	h.sync(a, 1, 5)
	require.Zero(t, h.allotted, "no office, no text")
	lead(a, 1)
	now := ident.Time(3 * time.Second)
	h.sync(a, now, 5)
	require.EqualValues(t, connections-pool.Reserved, h.allotted)
	a.SetLeadership(now, control.Leadership{Leads: true, Since: 1, Until: now})
	late.sync(a, now, 5)
	require.Zero(t, late.allotted, "all connections are taken")
	a.SetLeadership(now, control.Leadership{})
	h.sync(a, now, 5)
	require.Zero(t, h.allotted, "the office ended")
}
