package controller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/controller"
	"tamarackshunt.dev/host/peer"
)

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

// Guards against an upstream that is listed as serving again although it has announced that it leaves: an older announcement, which its
// sender has given up, is read late by a process that was suspended, from the upstream or from another host.
func TestLateAnnouncement(t *testing.T) {
	p := &parts{}
	start := time.Now()
	clock := func() ident.Time { return ident.Time(time.Since(start)) }
	c, err := controller.New(controller.Options{
		Host: "c1", Secrets: secrets, Clock: clock, Parts: controller.Parts{Failover: p}, Peers: peer.New(peer.Options{Secret: secrets.GetFleet()}),
	})
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(fleetpb.ControlPathPrefix, c.Handler())
	mux.Handle("/announce", controller.AnnounceHandler(secrets.GetAnnounce(), c.Announce))
	server := httptest.NewUnstartedServer(mux)
	server.Config.ConnContext = expiry.WithConnection
	hold := make(chan struct{})
	server.Listener = heldListener{server.Listener, hold}
	server.Start()
	t.Cleanup(server.Close)
	c.Start(newLocalLog(c, clock))
	t.Cleanup(c.Close)

	const announcement = `{"service":"orders","upstream":"u1","address":"127.0.0.1:1","zone":"north","region":"moravia","leaseMs":3000}`
	const forwarded = `{"service":"orders","member":{"upstream":"u1","address":"127.0.0.1:1","zone":"north","region":"moravia"},"lease_ms":3000}`
	send := func(path, body string) io.Reader {
		connection, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			path, secrets.GetAnnounce(), len(body), body)
		require.NoError(t, err)
		return connection
	}
	late := []io.Reader{send("/announce", announcement), send(fleetpb.ControlPathPrefix+"Announce", forwarded)}
	time.Sleep(controller.ForwardTimeout + 200*time.Millisecond)
	close(hold)
	for _, connection := range late {
		answer, err := io.ReadAll(connection)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(string(answer), "HTTP/1.1 503"), string(answer))
		require.Contains(t, string(answer), "stopped waiting")
	}
	require.NotContains(t, p.recorded(), "announced u1")
	answer, err := io.ReadAll(send("/announce", announcement))
	require.NoError(t, err)
	require.False(t, strings.Contains(string(answer), "stopped waiting"), "a new announcement is handled")
}

// recorded returns the recorded calls.
func (p *parts) recorded() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string{}, p.calls...)
}
