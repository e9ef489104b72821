package entry

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
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
		Settings: &fleetpb.HostSettings{Caller: "127.0.0.1:0"},
		View:     func() *member.View { return &member.View{} },
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
