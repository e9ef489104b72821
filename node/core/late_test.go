package core

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/steady"
)

// waitingCall returns the context of a call that has reached this machine, and is read after a while.
func waitingCall(t *testing.T, wait time.Duration) context.Context {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	_, err = client.Write([]byte("call"))
	require.NoError(t, err)
	time.Sleep(wait)
	return expiry.WithConnection(t.Context(), server)
}

// Guards against an acknowledged evacuation that is undone by an order that its operator has given up: the leader reads it late itself, or gets
// it late from another host, whether or not its clock is known there. Orders in time, and those of hosts of an older version, are executed.
func TestLateOrders(t *testing.T) {
	s := newServiceUnderTest(t)
	c := s.core
	evacuated := func() bool { return len(c.state.evacuated()) > 0 }
	require.NoError(t, c.Evacuate(t.Context(), "z", true))
	var late *expiry.LateError
	require.ErrorAs(t, c.Evacuate(waitingCall(t, senderTimeout+100*time.Millisecond), "z", false), &late)
	closed, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorAs(t, c.Evacuate(closed, "z", false), &late, "the operator has closed the connection")
	require.True(t, evacuated())

	order := func(active bool, deadline *fleetpb.Deadline) *fleetpb.OrderResponse {
		response, err := service{c}.Order(t.Context(), &fleetpb.OrderRequest{
			Evacuate: &fleetpb.Evacuate{Zone: "z", Active: active}, Deadline: deadline,
		})
		require.NoError(t, err)
		return response
	}
	now := steady.Now()
	readings := expiry.NewReadings()
	response := order(false, readings.Deadline(now, "a", now.Add(time.Minute)))
	require.True(t, response.GetLate() && !response.GetDone(), "the sender does not know the clock")
	readings.Record(steady.Now(), "a", response.GetClock())
	response = order(false, readings.Deadline(now, "a", now.Add(-time.Millisecond)))
	require.True(t, response.GetLate() && !response.GetDone())
	require.True(t, evacuated())

	require.True(t, order(false, readings.Deadline(now, "a", steady.Now().Add(time.Minute))).GetDone())
	require.False(t, evacuated())
	require.True(t, order(false, readings.Deadline(now, "a", steady.Now().Add(time.Minute))).GetDone(), "a repeat")
	require.True(t, order(true, nil).GetDone())
	require.True(t, evacuated())
	require.NoError(t, c.Evacuate(waitingCall(t, 100*time.Millisecond), "z", false))
	require.False(t, evacuated())
	s.endLeadership()
	require.False(t, order(true, &fleetpb.Deadline{}).GetLate(), "a host that is not the leader refuses nothing")
}

// Guards against an order that the leader has checked in time and appends to the log after a suspension of its process.
func TestOrderAppendedLate(t *testing.T) {
	s := newServiceUnderTest(t)
	// The replica of the test has a clock that starts with it.
	_, err := s.core.replica.ProposeUntil(t.Context(), evacuate("z", true), 1)
	require.True(t, isLate(err), "%v", err)
	require.Empty(t, s.core.state.evacuated())
	_, err = s.core.replica.ProposeUntil(t.Context(), evacuate("z", true), steady.Now())
	require.NoError(t, err)
	require.Equal(t, []string{"z"}, s.core.state.evacuated())
}

// Guards against a running upstream that ends because the end of its earlier start, which names no start, was held up, on the way from the
// upstream or from another core host.
func TestLateEndOfEarlierStart(t *testing.T) {
	s := newServiceUnderTest(t)
	c := s.core
	end := &fleetpb.Announcement{Upstream: "i-9", Gone: true, Leaving: true}
	started := &fleetpb.Announcement{Upstream: "i-9", Service: "svc", Address: "127.0.0.1:9", Zone: "z", Seq: 1, Born: 2}
	listed := func() int { return len(c.directory.List(steady.Now())) }
	c.recordAnnouncement(started)
	waiting := waitingCall(t, senderTimeout+100*time.Millisecond)
	var late *expiry.LateError
	require.ErrorAs(t, c.Announce(waiting, end), &late)
	_, err := service{c}.PassOn(waiting, &fleetpb.AnnounceBatch{Announcements: []*fleetpb.Announcement{end}})
	var refused twirp.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, 1, listed())
	// Announcements that name their start are ordered by it, however late they come.
	_, err = service{c}.PassOn(waiting, &fleetpb.AnnounceBatch{Announcements: []*fleetpb.Announcement{{Upstream: "i-9", Gone: true, Born: 2}}})
	require.NoError(t, err)
	require.Zero(t, listed())
	c.recordAnnouncement(&fleetpb.Announcement{Upstream: "i-9", Service: "svc", Address: "127.0.0.1:9", Zone: "z", Seq: 1, Born: 3})
	require.Equal(t, 1, listed())
	c.options.Seeds = func() []string { return nil }
	require.NoError(t, c.Announce(t.Context(), end), "an end in time")
	require.Zero(t, listed())
}

// Guards against a primary that steps down long after the core has given up its replacement, since the entry host that passes the order on was
// frozen. An order in time is carried out though the core has not called that host before.
func TestLateStepDown(t *testing.T) {
	s := newServiceUnderTest(t)
	relay := s.serve()
	p := s.promotion(s.execute)
	p.relay = relay
	host := fleetpb.NewGatewayProtobufClient(s.core.options.Peers.URL(relay), s.core.client)
	request := &fleetpb.StatusOfRequest{Service: "svc", Upstream: "i-0", StepDownTerm: 9, Deadline: &fleetpb.Deadline{}}
	response, err := host.StatusOf(t.Context(), request)
	require.NoError(t, err)
	require.True(t, response.GetLate())
	readings := expiry.NewReadings()
	now := steady.Now()
	readings.Record(now, relay, response.GetClock())
	request.Deadline = readings.Deadline(now, relay, now.Add(-time.Second))
	response, err = host.StatusOf(t.Context(), request)
	require.NoError(t, err)
	require.True(t, response.GetLate())
	require.True(t, s.group.Store("after", "after", "x"), "the primary serves")
	status, err := p.requestThroughRelay(t.Context(), s.targets["i-0"], 9)
	require.NoError(t, err)
	require.False(t, status.Primary)
	require.False(t, s.group.Store("later", "later", "x"))
}
