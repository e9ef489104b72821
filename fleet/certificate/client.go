package certificate

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
)

// dialTimeout limits a dial, including its TLS handshake.
const dialTimeout = 2 * time.Second

// Hosts makes calls to the peer addresses of hosts, for programs outside of the fleet such as the operator's command.
type Hosts struct {
	store     *Store
	transport *http.Transport
}

// NewHosts reads the certificates that settings names; nil settings mean calls without TLS.
func NewHosts(settings *fleetpb.ClientTLS) (*Hosts, error) {
	h := &Hosts{transport: &http.Transport{IdleConnTimeout: time.Minute}}
	if settings == nil {
		return h, nil
	}
	if (settings.GetCertificate() == "") != (settings.GetKey() == "") {
		return nil, trace.BadParameter("tls: expected certificate and key, or none of them")
	}
	var err error
	h.store, err = Load(Files{
		Certificate: settings.GetCertificate(), Key: settings.GetKey(), Authority: settings.GetAuthority(),
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	h.transport.DialTLSContext = h.dial
	return h, nil
}

// Client returns an HTTP client whose requests are limited to timeout.
func (h *Hosts) Client(timeout time.Duration) *http.Client {
	return &http.Client{Transport: h.transport, Timeout: timeout}
}

// URL returns the base URL of the host at a peer address.
func (h *Hosts) URL(address string) string {
	if h.store == nil {
		return "http://" + address
	}
	return "https://" + address
}

// Reload reads the certificates again, for new connections. On failure the former ones stay in use.
func (h *Hosts) Reload() error {
	if h.store == nil {
		return nil
	}
	if err := h.store.Reload(); err != nil {
		return trace.Wrap(err)
	}
	h.transport.CloseIdleConnections()
	return nil
}

func (h *Hosts) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return h.store.Dial(ctx, network, address, "", dialTimeout)
}

// Dial opens a TLS 1.3 connection to a peer address. The server's certificate must contain name, as for ClientConfig.
func (s *Store) Dial(ctx context.Context, network, address, name string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	config := s.ClientConfig(name)
	config.MinVersion = tls.VersionTLS13
	secured := tls.Client(socket, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = socket.Close()
		return nil, trace.Wrap(err)
	}
	return secured, nil
}
