package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/fleetpb"
)

const (
	// idleConnections is the number of idle connections kept for each peer. Every write calls a keeper in each availability
	// zone, so many calls to one peer run concurrently.
	idleConnections = 64
	// idleTimeout is the time after which a connection without calls is closed.
	idleTimeout = time.Minute
	// dialTimeout bounds a dial with its TLS handshake; both take three round trips of at most 10 ms between regions.
	dialTimeout = time.Second
)

// Options configure a Network.
type Options struct {
	// Secret is the fleet secret; with Trusted there is none.
	Secret string
	// Trusted is for a network that no other parties can reach. Calls contain no secret, Admit requires none, and the headers
	// that TrustedHandler restores are omitted, so all peers must serve with a TrustedHandler.
	Trusted bool
	// Certificates holds the certificates of this host; nil means calls without TLS.
	Certificates *certificate.Store
	// Control lists the hosts whose certificates must have their names.
	Control []*fleetpb.ControlHost
}

// Network makes and authenticates the calls between hosts of the fleet. Its methods are safe for concurrent use.
type Network struct {
	options   Options
	transport atomic.Pointer[http.Transport]
	// hostByAddress holds the names of the hosts in Options.Control by peer address, and controlHosts the set of these names.
	hostByAddress map[string]string
	controlHosts  map[string]bool
}

// New returns a network without connections.
func New(options Options) *Network {
	n := &Network{options: options, hostByAddress: map[string]string{}, controlHosts: map[string]bool{}}
	for _, host := range options.Control {
		n.hostByAddress[host.GetPeer()] = host.GetHost()
		n.controlHosts[host.GetHost()] = true
	}
	n.transport.Store(n.newTransport())
	return n
}

func (n *Network) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         n.dial,
		DialTLSContext:      n.dialTLS,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// dial connects to a peer.
func (n *Network) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return expiry.ResetOnClose(connection), nil
}

// dialTLS connects to a peer and verifies its certificate. For a control host of Options.Control this includes the host name.
func (n *Network) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := n.options.Certificates.Dial(ctx, network, address, n.hostByAddress[address], dialTimeout)
	if err != nil {
		return nil, err
	}
	return expiry.ResetOnClose(connection), nil
}

// Client returns an HTTP client that presents the fleet secret. Its calls end after timeout, or with their contexts only if
// timeout is 0. All clients of a network share connections.
func (n *Network) Client(timeout time.Duration) *http.Client {
	return &http.Client{Transport: authorizedTransport{n}, Timeout: timeout}
}

// URL returns the base URL of the peer at an address.
func (n *Network) URL(address string) string {
	if n.options.Certificates == nil {
		return "http://" + address
	}
	return "https://" + address
}

// Listen returns the listener for the peer address, with TLS when there are certificates.
func (n *Network) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if n.options.Certificates == nil {
		return listener, nil
	}
	return tls.NewListener(listener, n.options.Certificates.PeerConfig()), nil
}

// ResetConnections makes all further calls use new connections, with the current certificates. Running calls finish on their
// old connections, which do not return to the shared pool: they would be reused with the old certificate until it expires.
func (n *Network) ResetConnections() {
	n.transport.Swap(n.newTransport()).CloseIdleConnections()
}

// Close closes idle connections.
func (n *Network) Close() {
	n.transport.Load().CloseIdleConnections()
}

// authorizedTransport adds the fleet secret to every request and drops headers that the services do not read. An idle control
// host sends about 20 requests per second, and most of their bytes are headers.
type authorizedTransport struct {
	network *Network
}

// RoundTrip implements http.RoundTripper, which must not change the request that it is given.
func (a authorizedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	if a.network.options.Trusted {
		request.Header.Del(contentType)
	} else {
		request.Header.Set("Authorization", bearer+a.network.options.Secret)
	}
	request.Header.Del("Accept")
	request.Header.Del("Twirp-Version")
	// An empty value keeps net/http from adding its own.
	request.Header.Set("User-Agent", "")
	return a.network.transport.Load().RoundTrip(request)
}
