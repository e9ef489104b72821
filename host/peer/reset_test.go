package peer_test

import (
	"crypto/tls"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/certtest"
	"tamarackshunt.dev/host/peer"
)

// Guards against a call that the network delivers after its sender has given it up: the sender's kernel must drop it, which shows as a reset
// of the connection instead of its end.
func TestCallGivenUpIsReset(t *testing.T) {
	authority := certtest.New(t)
	own := loadStore(t, authority, certtest.Leaf{Names: []string{"e1"}})
	for _, secured := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		var certificates *certificate.Store
		server := make(chan net.Conn, 1)
		if secured {
			certificates = own
		}
		go func() {
			accepted, err := listener.Accept()
			if err == nil && secured {
				// The client sends its call once the handshake is complete.
				_ = tls.Server(accepted, &tls.Config{Certificates: loadKeyPair(t, authority, certtest.Leaf{Names: []string{"e2"}})}).Handshake()
			}
			server <- accepted
		}()
		network := peer.New(peer.Options{Secret: secret, Certificates: certificates})
		defer network.Close()
		//nolint:bodyclose // There is no response.
		_, err = network.Client(200 * time.Millisecond).Get(network.URL(listener.Addr().String()))
		require.Error(t, err)
		accepted := <-server
		defer accepted.Close()
		require.NoError(t, accepted.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = io.Copy(io.Discard, accepted)
		require.ErrorIs(t, err, syscall.ECONNRESET, "TLS %t", secured)
	}
}
