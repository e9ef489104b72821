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

// patience bounds a wait for something that must happen; no test depends on its length.
const patience = 20 * time.Second

// proposal is a change that waits for the control log.
type proposal struct {
	change *fleetpb.Change
	ctx    context.Context
	answer chan proto.Message
}

// world drives a switchover by logical time; calls counts the connections to the only upstream.
type world struct {
	*Switchover
	now       ident.Time
	proposals chan proposal
	calls     chan struct{}
	member    *fleetpb.Member
}

func newWorld(t *testing.T) *world {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	w := &world{
		now: ident.Time(time.Second), proposals: make(chan proposal, 10), calls: make(chan struct{}, 100),
		member: &fleetpb.Member{Upstream: "o1", Address: listener.Addr().String(), Zone: "north", Region: "moravia"},
	}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			socket.Close()
			w.calls <- struct{}{}
		}
	}()
	w.Switchover = New(Options{Clock: func() ident.Time { return w.now }})
	w.propose = func(ctx context.Context, change *fleetpb.Change) (proto.Message, error) {
		p := proposal{change, ctx, make(chan proto.Message, 1)}
		w.proposals <- p
		return <-p.answer, nil
	}
	text := &fleetpb.Text{Services: []*fleetpb.Service{{Name: "orders", Upstreams: 1}}}
	w.SetState(w.now, text, []*fleetpb.Group{{Service: "orders", Members: []*fleetpb.Member{w.member}}})
	return w
}

// attempt lets time pass until the group proposes to promote its first primary.
func (w *world) attempt(t *testing.T) proposal {
	t.Helper()
	var p proposal
	require.Eventually(t, func() bool {
		w.mutex.Lock()
		w.now = w.now.Add(tick)
		w.mutex.Unlock()
		w.Announced(w.now, &fleetpb.AnnounceRequest{Service: "orders", Member: w.member, LeaseMs: 3000})
		w.mutex.Lock()
		w.stepAll(w.now, failover.Tick{})
		w.mutex.Unlock()
		select {
		case p = <-w.proposals:
			return true
		default:
			return false
		}
	}, patience, time.Millisecond)
	require.EqualValues(t, 1, p.change.GetAttempt().GetTerm())
	return p
}

// Guards against a promotion that an ended office goes on with beside the next leader's, against an answer to an earlier
// office that a later one takes for its own, and against an office that starts anew without having ended.
func TestOffice(t *testing.T) {
	w := newWorld(t)
	first := control.Leadership{Leads: true, Since: w.now}
	w.SetLeadership(w.now, first)
	old := w.office
	early := w.attempt(t)
	first.Until = w.now
	w.SetLeadership(w.now, first)
	require.Same(t, old, w.office)
	require.NoError(t, early.ctx.Err())

	w.SetLeadership(w.now, control.Leadership{Leads: true, Since: w.now})
	<-early.ctx.Done()
	require.ErrorIs(t, early.ctx.Err(), context.Canceled, "the proposal went on until its timeout")
	require.NotSame(t, old, w.office)
	require.Empty(t, w.office.synced)
	late := w.attempt(t)
	early.answer <- &fleetpb.Outcome{Done: true}
	old.work.Wait()
	select {
	case <-w.calls:
		require.Fail(t, "an answer to an earlier office fenced the upstream")
	case <-time.After(50 * time.Millisecond):
	}
	late.answer <- &fleetpb.Outcome{Done: true}
	<-w.calls

	ended := w.office
	w.SetLeadership(w.now, control.Leadership{})
	require.Nil(t, w.office)
	w.Observed(w.now, "e1", "north", []*fleetpb.Observed{{Service: "orders", Upstream: "o1", Refused: true}})
	w.Announced(w.now, &fleetpb.AnnounceRequest{Service: "orders", Member: w.member, LeaseMs: 3000})
	ended.end()
	require.Empty(t, w.proposals)
}
