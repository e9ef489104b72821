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
	"tamarackshunt.dev/fleet/fleetpb"
)

const (
	// idleConnections is the number of idle connections kept for each peer. Every write calls a keeper of each availability
	// zone, so many calls to one peer run at a time.
	idleConnections = 64
	// idleTime is how long a connection stays open without calls.
	idleTime = time.Minute
	// dialTimeout bounds a dial with its TLS handshake; both take three round trips of at most 10 ms between regions.
	dialTimeout = time.Second
)

// Options configure a Network.
type Options struct {
	// Secret is the fleet secret; with Trusted there is none.
	Secret string
	// Trusted is for a network that lets nobody else in: calls show no secret, which Admit does not ask for, and leave out the
	// headers that a TrustedHandler restores. All peers must serve through one.
	Trusted bool
	// Certificates of this host; nil means calls without TLS.
	Certificates *certificate.Store
	// Control lists the hosts whose certificates must have their names.
	Control []*fleetpb.ControlHost
}

// Network makes and admits the calls between hosts of the fleet. Its methods may be called from several goroutines.
type Network struct {
	options   Options
	transport atomic.Pointer[http.Transport]
	// control holds the hosts of Options.Control by address, and named the same hosts.
	control map[string]string
	named   map[string]bool
}

// New returns a network without connections.
func New(options Options) *Network {
	n := &Network{options: options, control: map[string]string{}, named: map[string]bool{}}
	for _, host := range options.Control {
		n.control[host.GetPeer()] = host.GetHost()
		n.named[host.GetHost()] = true
	}
	n.transport.Store(n.newTransport())
	return n
}

func (n *Network) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DialTLSContext:      n.dialTLS,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,
	}
}

// dialTLS connects to a peer and verifies its certificate, with the host's name for a control host of the settings.
func (n *Network) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	return n.options.Certificates.Dial(ctx, network, address, n.control[address], dialTimeout)
}

// Client returns an HTTP client that shows the fleet secret and gives up after timeout; 0 leaves the time to the contexts
// of its calls. All clients of a network share connections.
func (n *Network) Client(timeout time.Duration) *http.Client {
	return &http.Client{Transport: authorized{n}, Timeout: timeout}
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
	return tls.NewListener(listener, n.options.Certificates.Peers()), nil
}

// ResetConnections makes all further calls use new connections, with the certificates of now. Calls that run end on theirs;
// a connection that went back to a shared pool would be used on with its old certificate until that expires.
func (n *Network) ResetConnections() {
	n.transport.Swap(n.newTransport()).CloseIdleConnections()
}

// Close closes idle connections.
func (n *Network) Close() {
	n.transport.Load().CloseIdleConnections()
}

// authorized shows the fleet secret in every request and drops headers that the services do not read. An idle control host
// sends about 20 requests a second, most of whose bytes are headers.
type authorized struct {
	network *Network
}

// RoundTrip is part of http.RoundTripper, which must not change the request that it is given.
func (a authorized) RoundTrip(request *http.Request) (*http.Response, error) {
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
