package expiry_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
)

const start = ident.Time(1000 * time.Second)

// Guards against an order that counts as new when its process reads it, although it has waited in the kernel, on a new connection and on one
// that was used before.
func TestArrivalOfCall(t *testing.T) {
	const wait = 300 * time.Millisecond
	ages := make(chan time.Duration, 2)
	hold := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		now := steady.Now()
		ages <- now.Sub(expiry.Arrived(r.Context(), now))
	}))
	server.Config.ConnContext = expiry.WithConnection
	server.Listener = heldListener{server.Listener, hold}
	server.Start()
	defer server.Close()
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer connection.Close()
	call := func() {
		_, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
	}
	call()
	time.Sleep(wait)
	close(hold)
	require.GreaterOrEqual(t, <-ages, wait-20*time.Millisecond, "the call came before the connection was accepted")
	time.Sleep(2 * wait)
	call()
	require.Less(t, <-ages, 2*wait, "the time of the connection's earlier calls does not count")
}

// heldListener accepts no connection until hold is closed.
type heldListener struct {
	net.Listener
	hold chan struct{}
}

// Accept implements net.Listener.
func (l heldListener) Accept() (net.Conn, error) {
	<-l.hold
	return l.Listener.Accept()
}

// Guards against an old order that counts as new after a pause, on a machine whose kernel does not tell when it came, whether the process
// reads it before or after it has noticed the pause, and against new orders that count as old for long after.
func TestPauses(t *testing.T) {
	ctx := context.Background()
	p := &expiry.Pauses{}
	require.Equal(t, start, p.Arrived(ctx, start, start), "nothing is known yet")
	for now := start; now <= start.Add(time.Second); now = now.Add(20 * time.Millisecond) {
		p.Tick(now, now)
		require.Equal(t, now.Add(time.Millisecond), p.Arrived(ctx, now.Add(time.Millisecond), now.Add(time.Millisecond)))
	}
	frozen, woken := start.Add(time.Second), start.Add(5*time.Second)
	require.Equal(t, frozen, p.Arrived(ctx, woken, woken), "read before the pause is noticed")
	p.Tick(woken, woken)
	soon := woken.Add(100 * time.Millisecond)
	require.Equal(t, frozen, p.Arrived(ctx, soon, soon), "read after the pause is noticed")
	for now := woken; now <= woken.Add(time.Second); now = now.Add(20 * time.Millisecond) {
		p.Tick(now, now)
	}
	later := woken.Add(time.Second)
	require.Equal(t, later, p.Arrived(ctx, later, later), "a new order")
}

// Guards against an order that the kernel takes for new after the machine was suspended, when the kernel's clock stands still, and against the
// first order after a mere stop of the process that is taken for old although the kernel knows better.
func TestPausesOfConnections(t *testing.T) {
	client, server := connected(t)
	_, err := io.WriteString(client, "order")
	require.NoError(t, err)
	_, err = io.ReadFull(server, make([]byte, len("order")))
	require.NoError(t, err)
	ctx := expiry.WithConnection(context.Background(), server)
	const pause = 4 * time.Second
	for _, suspended := range []bool{false, true} {
		now := steady.Now()
		asleep := time.Duration(0)
		if suspended {
			asleep = pause
		}
		for _, noticed := range []bool{false, true} {
			p := &expiry.Pauses{}
			p.Tick(now.Add(-pause), now.Add(asleep-pause))
			if noticed {
				p.Tick(now, now)
			}
			if suspended {
				require.Equal(t, now.Add(-pause), p.Arrived(ctx, now, now), "noticed %t", noticed)
			} else {
				require.Greater(t, p.Arrived(ctx, now, now), now.Add(-pause), "noticed %t", noticed)
			}
		}
	}
}

// connected returns the two ends of a TCP connection.
func connected(t *testing.T) (client, server net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// Guards against a receiver that takes a call after its sender has stopped waiting, whatever the offset and the drift of the two clocks and the
// delays of the readings, and against one that refuses a call after a prompt reading although its sender waits for long.
func TestDeadlineIsNeverLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := time.Duration(rapid.Int64Range(-int64(900*time.Second), int64(time.Hour)).Draw(t, "offset"))
		drift := rapid.Float64Range(-200e-6, 200e-6).Draw(t, "drift")
		remote := func(local ident.Time) ident.Time {
			return local.Add(offset + time.Duration(float64(local.Sub(start))*drift))
		}
		clock, readings := expiry.NewClock(), expiry.NewReadings()
		now := start
		for range rapid.IntRange(1, 8).Draw(t, "readings") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "pause")))
			reading := clock.Reading(remote(now))
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "delay")))
			readings.Record(now, "a", reading)
		}
		now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age")))
		wait := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "wait"))
		deadline := readings.Deadline(now, "a", now.Add(wait))
		late := now.Add(wait + time.Duration(rapid.Int64Range(int64(time.Microsecond), int64(time.Minute)).Draw(t, "late")))
		_, err := clock.Until(remote(late), deadline)
		var refused *expiry.LateError
		if !errors.As(err, &refused) {
			t.Fatalf("taken %v after the sender stopped waiting", late.Sub(now.Add(wait)))
		}
		prompt := clock.Reading(remote(now))
		readings.Record(now, "a", prompt)
		if _, err := clock.Until(remote(now.Add(time.Millisecond)), readings.Deadline(now, "a", now.Add(10*time.Millisecond))); err != nil {
			t.Fatal(err)
		}
	})
}

// response is the response of a receiver.
type response struct {
	clock *fleetpb.Clock
	late  bool
}

func (r response) GetClock() *fleetpb.Clock { return r.clock }
func (r response) GetLate() bool            { return r.late }

// Guards against a call that fails because its sender knows no reading of the receiver's clock, or one of an earlier process, and against one
// that is repeated after its sender has stopped waiting.
func TestCall(t *testing.T) {
	clock, readings := expiry.NewClock(), expiry.NewReadings()
	executed, calls := 0, 0
	receive := func(delay time.Duration) func(*fleetpb.Deadline) (response, error) {
		return func(deadline *fleetpb.Deadline) (response, error) {
			calls++
			now := steady.Now()
			_, err := clock.Until(now.Add(delay), deadline)
			if err == nil {
				executed++
			}
			return response{clock.Reading(now), err != nil}, nil
		}
	}
	call := func(delay time.Duration) error {
		_, err := expiry.Call(t.Context(), readings, "a", steady.Now().Add(time.Minute), receive(delay))
		return err
	}
	require.NoError(t, call(0))
	require.Equal(t, 2, calls, "the first call is refused with a reading")
	require.NoError(t, call(0))
	require.Equal(t, 3, calls)
	clock = expiry.NewClock()
	require.NoError(t, call(0), "the receiver's process was replaced")
	require.Equal(t, 3, executed)
	var late *expiry.LateError
	require.ErrorAs(t, call(time.Hour), &late)
	calls = 0
	const wait = 20 * time.Millisecond
	_, err := expiry.Call(t.Context(), readings, "a", steady.Now().Add(wait), func(deadline *fleetpb.Deadline) (response, error) {
		defer time.Sleep(2 * wait)
		return receive(time.Hour)(deadline)
	})
	require.ErrorAs(t, err, &late)
	require.Equal(t, 1, calls, "the sender has stopped waiting before a second call")
	_, err = expiry.Call(t.Context(), readings, "a", steady.Now().Add(-time.Millisecond), receive(0))
	require.ErrorAs(t, err, &late)
	require.Equal(t, 1, calls, "the sender has stopped waiting before the first call")
}

// Guards against a call that is delivered, or waited for, in an orderly way after its sender has closed the connection: what the receiver has
// not read yet must end in a reset.
func TestResetOnClose(t *testing.T) {
	client, server := connected(t)
	expiry.ResetOnClose(client)
	require.NoError(t, client.Close())
	_, err := server.Read(make([]byte, 1))
	require.ErrorContains(t, err, "reset")
}

// Guards against a call that a cut held up and that is executed although its sender has closed the connection; the call of a sender that still
// waits does not count as given up.
func TestClosed(t *testing.T) {
	client, server := connected(t)
	ctx, cancel := context.WithCancel(expiry.WithConnection(t.Context(), server))
	defer cancel()
	require.False(t, expiry.Closed(t.Context()), "the connection is not known")
	_, err := io.WriteString(client, "order")
	require.NoError(t, err)
	require.False(t, expiry.Closed(ctx))
	require.NoError(t, client.Close())
	require.Eventually(t, func() bool { return expiry.Closed(ctx) }, 10*time.Second, time.Millisecond)
	open, cancelOpen := context.WithCancel(t.Context())
	cancelOpen()
	require.True(t, expiry.Closed(open))
}
