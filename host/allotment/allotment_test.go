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

// host applies each allotment at once and opens all allotted connections.
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

func becomeLeader(a *allotment.Allotment, since ident.Time) {
	a.SetState(since, &fleetpb.Text{Services: []*fleetpb.Service{{Name: "orders", Connections: connections}}}, nil)
	a.SetLeadership(since, control.Leadership{Leads: true, Since: since})
}

// Guards against a sum of connections above the limit of the upstream while demands change, hosts leave and return, and new
// leaders start without the allotments of earlier ones.
func TestSumStaysWithinLimit(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		a := allotment.New()
		becomeLeader(a, 1)
		var hosts []*host
		for i := range 6 {
			hosts = append(hosts, &host{name: fmt.Sprint("e", i), incarnation: 1})
		}
		highest := uint32(0)
		for step := range 400 {
			now := ident.Time(time.Duration(step+1) * 50 * time.Millisecond)
			h := hosts[step%len(hosts)]
			switch random.IntN(40) {
			case 0:
				h.leave(a, now)
			case 1:
				becomeLeader(a, now)
			default:
				h.sync(a, now, random.Uint32N(connections))
			}
			sum := uint32(0)
			for _, each := range hosts {
				sum += each.open
			}
			require.LessOrEqual(t, sum, uint32(connections-pool.Reserved), "seed %d step %d", seed, step)
			highest = max(highest, sum)
		}
		require.EqualValues(t, connections-pool.Reserved, highest, "the connections never reached the limit, seed %d", seed)
	}
}

// Guards against allotments by a host that does not lead or for a service that is not in the configuration text, and against
// the loss of all allotments when the same leadership is reported again.
func TestLeadership(t *testing.T) {
	a := allotment.New()
	h, other := &host{name: "e1", incarnation: 1}, &host{name: "e2", incarnation: 1}
	h.sync(a, 1, 5)
	require.Zero(t, h.allotted, "no leadership and no configuration text")
	becomeLeader(a, 1)
	now := ident.Time(3 * time.Second)
	h.sync(a, now, 5)
	require.EqualValues(t, connections-pool.Reserved, h.allotted)
	a.SetLeadership(now, control.Leadership{Leads: true, Since: 1, Until: now})
	other.sync(a, now, 5)
	require.Zero(t, other.allotted, "all connections are allotted to the other host")
	a.SetLeadership(now, control.Leadership{})
	h.sync(a, now, 5)
	require.Zero(t, h.allotted, "the leadership ended")
}
