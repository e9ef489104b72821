package switchover

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/failover"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// waitLimit is the longest wait for a condition; no test depends on its length.
const waitLimit = 20 * time.Second

// proposal is a proposed change that waits for the answer of the control log.
type proposal struct {
	change *fleetpb.Change
	ctx    context.Context
	answer chan proto.Message
}

// simulation runs a Switchover on logical time. The connections channel gets a value for each connection to the only upstream.
type simulation struct {
	*Switchover
	now         ident.Time
	proposals   chan proposal
	connections chan struct{}
	member      *fleetpb.Member
}

func newSimulation(t *testing.T) *simulation {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	s := &simulation{
		now: ident.Time(time.Second), proposals: make(chan proposal, 10), connections: make(chan struct{}, 100),
		member: &fleetpb.Member{Upstream: "o1", Address: listener.Addr().String(), Zone: "north", Region: "moravia"},
	}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			socket.Close()
			s.connections <- struct{}{}
		}
	}()
	s.Switchover = New(Options{Clock: func() ident.Time { return s.now }})
	s.propose = func(ctx context.Context, change *fleetpb.Change) (proto.Message, error) {
		p := proposal{change, ctx, make(chan proto.Message, 1)}
		s.proposals <- p
		return <-p.answer, nil
	}
	text := &fleetpb.Text{Services: []*fleetpb.Service{{Name: "orders", Upstreams: 1}}}
	s.SetState(s.now, text, []*fleetpb.Group{{Service: "orders", Members: []*fleetpb.Member{s.member}}})
	return s
}

// waitForAttempt advances the time until the group proposes to promote its first primary.
func (s *simulation) waitForAttempt(t *testing.T) proposal {
	t.Helper()
	var p proposal
	require.Eventually(t, func() bool {
		s.mutex.Lock()
		s.now = s.now.Add(tick)
		s.mutex.Unlock()
		s.Announced(s.now, &fleetpb.AnnounceRequest{Service: "orders", Member: s.member, LeaseMs: 3000})
		s.mutex.Lock()
		s.stepAll(s.now, failover.Tick{})
		s.mutex.Unlock()
		select {
		case p = <-s.proposals:
			return true
		default:
			return false
		}
	}, waitLimit, time.Millisecond)
	require.EqualValues(t, 1, p.change.GetAttempt().GetTerm())
	return p
}

// Guards against a promotion that continues after its leadership ended, concurrently with the next leader's, against an answer to
// an earlier leadership that a later one handles as its own, and against a restart of a leadership that has not ended.
func TestLeadershipChange(t *testing.T) {
	s := newSimulation(t)
	first := control.Leadership{Leads: true, Since: s.now}
	s.SetLeadership(s.now, first)
	old := s.leadership
	early := s.waitForAttempt(t)
	first.Until = s.now
	s.SetLeadership(s.now, first)
	require.Same(t, old, s.leadership)
	require.NoError(t, early.ctx.Err())

	s.SetLeadership(s.now, control.Leadership{Leads: true, Since: s.now})
	<-early.ctx.Done()
	require.ErrorIs(t, early.ctx.Err(), context.Canceled, "the proposal was not canceled until its timeout")
	require.NotSame(t, old, s.leadership)
	require.Empty(t, s.leadership.lastSync)
	late := s.waitForAttempt(t)
	early.answer <- &fleetpb.Outcome{Done: true}
	old.proposals.Wait()
	select {
	case <-s.connections:
		require.Fail(t, "an answer to an earlier leadership fenced the upstream")
	case <-time.After(50 * time.Millisecond):
	}
	late.answer <- &fleetpb.Outcome{Done: true}
	<-s.connections

	ended := s.leadership
	s.SetLeadership(s.now, control.Leadership{})
	require.Nil(t, s.leadership)
	s.Observed(s.now, "e1", "north", []*fleetpb.Observed{{Service: "orders", Upstream: "o1", Refused: true}})
	s.Announced(s.now, &fleetpb.AnnounceRequest{Service: "orders", Member: s.member, LeaseMs: 3000})
	ended.end()
	require.Empty(t, s.proposals)
}

// Guards against a fleet in one availability zone that never replaces a failed primary: a majority of the zones has to report the
// fault, so zones are counted and not hosts.
func TestObserverZonesAreCounted(t *testing.T) {
	s := newSimulation(t)
	s.SetLeadership(s.now, control.Leadership{Leads: true, Since: s.now})
	observe := func(zones ...ident.Zone) int {
		s.now = s.now.Add(control.Lease)
		for i, zone := range zones {
			s.Observed(s.now, ident.Host(string(rune('a'+i))), zone, nil)
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return s.leadership.observerZones
	}
	require.Equal(t, 1, observe("north", "north", "north", "north"))
	require.Equal(t, 2, observe("north", "south", "south", "south"))
	require.Equal(t, 3, observe("north", "south", "east", "west"))
}
