package entry

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/member"
)

// waitLimit is the longest wait for an answer; no test depends on its length.
const waitLimit = 20 * time.Second

// flakyListener fails a number of times before it accepts, as a listener does while the process has no descriptors left.
type flakyListener struct {
	net.Listener
	failures int
}

func (l *flakyListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// Guards against a host that stops accepting callers for good after one failure, while the load balancer still sends callers to
// it.
func TestAcceptContinuesAfterFailures(t *testing.T) {
	s, err := New(Options{
		Settings: &fleetpb.HostSettings{Caller: "127.0.0.1:0"}, Clock: clock.New(),
		View: func() *member.View { return &member.View{} },
	})
	require.NoError(t, err)
	s.listener = &flakyListener{s.listener, 3}
	accepting := make(chan struct{})
	go func() {
		s.accept(t.Context())
		close(accepting)
	}()
	socket, err := net.Dial("tcp", s.Addr().String())
	require.NoError(t, err)
	require.NoError(t, socket.SetDeadline(time.Now().Add(waitLimit)))
	_, err = socket.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
	_, err = socket.Read(make([]byte, 1))
	require.NoError(t, err, "the caller is served")
	s.closing.Store(true)
	require.NoError(t, s.listener.Close())
	<-accepting
	socket.Close()
	s.group.Wait()
}

// Guards against a panic in one caller's connection that ends the process, and with it the connections of all callers.
func TestPanicEndsOnlyItsCaller(t *testing.T) {
	var views atomic.Int64
	s, err := New(Options{
		Settings: &fleetpb.HostSettings{Caller: "127.0.0.1:0"}, Clock: clock.New(),
		View: func() *member.View {
			if views.Add(1) == 1 {
				panic("unexpected")
			}
			return &member.View{}
		},
	})
	require.NoError(t, err)
	go s.accept(t.Context())
	for range 2 {
		socket, err := net.Dial("tcp", s.Addr().String())
		require.NoError(t, err)
		require.NoError(t, socket.SetDeadline(time.Now().Add(waitLimit)))
		startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"database": "d", "user": "u"}}).Encode(nil)
		require.NoError(t, err)
		_, err = socket.Write(startup)
		require.NoError(t, err)
		_, err = pgproto3.NewFrontend(socket, socket).Receive()
		if views.Load() > 1 {
			require.NoError(t, err, "the next caller is served")
		}
		socket.Close()
	}
	s.closing.Store(true)
	require.NoError(t, s.listener.Close())
	s.group.Wait()
}
