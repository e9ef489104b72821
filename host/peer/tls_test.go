package peer_test

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/certtest"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/host/peer"
)

const secret = "secret-of-the-fleet"

func loadStore(t *testing.T, a *certtest.Authority, leaf certtest.Leaf) *certificate.Store {
	t.Helper()
	file, key := a.Issue(leaf)
	store, err := certificate.Load(certificate.Files{Certificate: file, Key: key, Authority: a.File})
	require.NoError(t, err)
	return store
}

func serve(t *testing.T, listener net.Listener, handler http.Handler) {
	t.Helper()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, ErrorLog: peer.ErrorLog()}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// loadKeyPair loads a certificate without the checks of package certificate.
func loadKeyPair(t *testing.T, a *certtest.Authority, leaf certtest.Leaf) []tls.Certificate {
	t.Helper()
	read, err := tls.LoadX509KeyPair(a.Issue(leaf))
	require.NoError(t, err)
	return []tls.Certificate{read}
}

// Guards against peer services that answer a process without a valid certificate of the fleet, against a host that is accepted
// as another one, and against a balancer, operator or upstream that is refused because it has no certificate.
func TestServerVerifiesPeers(t *testing.T) {
	authority, other := certtest.New(t), certtest.New(t)
	network := peer.New(peer.Options{
		Secret: secret, Certificates: loadStore(t, authority, certtest.Leaf{Names: []string{"c1"}}),
		Control: []*fleetpb.ControlHost{{Host: "c1", Peer: "127.0.0.1:1"}, {Host: "c2", Peer: "127.0.0.1:2"}},
	})
	listener, err := network.Listen("127.0.0.1:0")
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle("/open", ok)
	mux.Handle("/claim", peer.Guard(network.Admit, &metrics.Counter{}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := network.VerifyControlHost(r.Context(), r.URL.Query().Get("host")); err != nil {
			_ = twirp.WriteError(w, err)
		}
	})))
	serve(t, listener, mux)

	named := func(names ...string) certtest.Leaf { return certtest.Leaf{Names: names} }
	const handshakeFails = 0
	tests := []struct {
		name         string
		certificates []tls.Certificate
		version      uint16
		secret, path string
		status       int
	}{
		{"control host", loadKeyPair(t, authority, named("c2")), 0, secret, "/claim?host=c2", http.StatusOK},
		{"entry host", loadKeyPair(t, authority, named("e1")), 0, secret, "/claim?host=e1", http.StatusOK},
		{"entry host under another one's name", loadKeyPair(t, authority, named("e2")), 0, secret, "/claim?host=e1", http.StatusOK},
		{"entry host as a control host", loadKeyPair(t, authority, named("e1")), 0, secret, "/claim?host=c2", http.StatusForbidden},
		{"control host as another one", loadKeyPair(t, authority, named("c1")), 0, secret, "/claim?host=c2", http.StatusForbidden},
		{"wrong secret", loadKeyPair(t, authority, named("c2")), 0, "another-secret", "/claim?host=c2", http.StatusUnauthorized},
		{"no certificate", nil, 0, secret, "/claim?host=e1", http.StatusUnauthorized},
		{"no certificate on an open path", nil, 0, "", "/open", http.StatusOK},
		{"another authority", loadKeyPair(t, other, named("c2")), 0, secret, "/claim?host=c2", handshakeFails},
		{"another authority on an open path", loadKeyPair(t, other, named("c2")), 0, "", "/open", handshakeFails},
		{"expired", loadKeyPair(t, authority, certtest.Leaf{Names: []string{"c2"}, Expired: true}), 0, secret, "/claim?host=c2", handshakeFails},
		{"TLS 1.2", loadKeyPair(t, authority, named("c2")), tls.VersionTLS12, secret, "/claim?host=c2", handshakeFails},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			roots := x509.NewCertPool()
			data, err := os.ReadFile(authority.File)
			require.NoError(t, err)
			require.True(t, roots.AppendCertsFromPEM(data))
			config := &tls.Config{
				RootCAs: roots, MaxVersion: tt.version,
				// A certificate is sent even if the server does not name its authority.
				GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
					if tt.certificates == nil {
						return &tls.Certificate{}, nil
					}
					return &tt.certificates[0], nil
				},
			}
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+listener.Addr().String()+tt.path, http.NoBody)
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+tt.secret)
			response, err := client.Do(request)
			if tt.status == handshakeFails {
				require.ErrorContains(t, err, "tls")
				return
			}
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, tt.status, response.StatusCode)
		})
	}
}

// Guards against a host that sends the fleet secret to a server which is not the control host at that address, or not a host
// of the fleet at all.
func TestClientVerifiesPeers(t *testing.T) {
	authority, other := certtest.New(t), certtest.New(t)
	own := loadStore(t, authority, certtest.Leaf{Names: []string{"e1"}})
	tests := []struct {
		name    string
		control bool
		server  []tls.Certificate
		version uint16
		problem string
	}{
		{"control host", true, loadKeyPair(t, authority, certtest.Leaf{Names: []string{"c1"}}), 0, ""},
		{"another host at a control host's address", true, loadKeyPair(t, authority, certtest.Leaf{Names: []string{"c2"}}), 0, "not c1"},
		{"any host elsewhere", false, loadKeyPair(t, authority, certtest.Leaf{Names: []string{"e7"}}), 0, ""},
		{"client certificate as a server", false, loadKeyPair(t, authority, certtest.Leaf{Names: []string{"e7"}, ClientOnly: true}), 0, "key usage"},
		{"another authority", false, loadKeyPair(t, other, certtest.Leaf{Names: []string{"e7"}}), 0, "unknown authority"},
		{"another authority at a control host's address", true, loadKeyPair(t, other, certtest.Leaf{Names: []string{"c1"}}), 0, "unknown authority"},
		{"expired", false, loadKeyPair(t, authority, certtest.Leaf{Names: []string{"e7"}, Expired: true}), 0, "expired"},
		{"expired control host", true, loadKeyPair(t, authority, certtest.Leaf{Names: []string{"c1"}, Expired: true}), 0, "expired"},
		{"TLS 1.2", true, loadKeyPair(t, authority, certtest.Leaf{Names: []string{"c1"}}), tls.VersionTLS12, "protocol version"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: tt.server, MaxVersion: tt.version})
			require.NoError(t, err)
			reached := make(chan string, 1)
			serve(t, listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { reached <- r.Header.Get("Authorization") }))
			options := peer.Options{Secret: secret, Certificates: own}
			if tt.control {
				options.Control = []*fleetpb.ControlHost{{Host: "c1", Peer: listener.Addr().String()}}
			}
			network := peer.New(options)
			defer network.Close()
			response, err := network.Client(10 * time.Second).Get(network.URL(listener.Addr().String()))
			if tt.problem != "" {
				require.ErrorContains(t, err, tt.problem)
				require.Empty(t, reached)
				return
			}
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, "Bearer "+secret, <-reached)
		})
	}
}

// Guards against a certificate that is accepted after its expiry because the connection was opened before.
func TestCertificateEndsDuringConnection(t *testing.T) {
	authority := certtest.New(t)
	network := peer.New(peer.Options{Secret: secret, Certificates: loadStore(t, authority, certtest.Leaf{})})
	for _, expired := range []bool{false, true} {
		read := loadKeyPair(t, authority, certtest.Leaf{Expired: expired})
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody)
		request.Header.Set("Authorization", "Bearer "+secret)
		request.TLS = &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{read[0].Leaf}}}
		recorder := httptest.NewRecorder()
		peer.Guard(network.Admit, &metrics.Counter{}, ok).ServeHTTP(recorder, request)
		require.Equal(t, expired, recorder.Code == http.StatusUnauthorized)
		require.Equal(t, expired, recorder.Header().Get("Connection") == "close", "the connection of a refused caller is closed")
	}
}

// Guards against calls that keep using a connection with the old certificate after a renewal.
func TestRenewedConnections(t *testing.T) {
	authority := certtest.New(t)
	leaf := certtest.Leaf{Names: []string{"e1"}}
	file, key := authority.Issue(leaf)
	store, err := certificate.Load(certificate.Files{Certificate: file, Key: key, Authority: authority.File})
	require.NoError(t, err)
	server := peer.New(peer.Options{Secret: secret, Certificates: loadStore(t, authority, certtest.Leaf{})})
	listener, err := server.Listen("127.0.0.1:0")
	require.NoError(t, err)
	block, serials := make(chan struct{}), make(chan string, 1)
	var calls atomic.Int64
	serve(t, listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		serials <- r.TLS.PeerCertificates[0].SerialNumber.String()
		if calls.Add(1) == 1 {
			<-block
		}
	}))
	client := peer.New(peer.Options{Secret: secret, Certificates: store})
	defer client.Close()
	ended := make(chan error, 2)
	call := func() {
		response, err := client.Client(time.Minute).Get(client.URL(listener.Addr().String()))
		if err == nil {
			err = response.Body.Close()
		}
		ended <- err
	}
	go call()
	first := <-serials
	authority.Renew(file, key, leaf)
	require.NoError(t, store.Reload())
	client.ResetConnections()
	go call()
	require.NotEqual(t, first, <-serials, "a call during the running one")
	require.NoError(t, <-ended)
	close(block)
	require.NoError(t, <-ended, "the running call ends on its connection")
	go call()
	require.NotEqual(t, first, <-serials, "a call after the running one")
	require.NoError(t, <-ended)
}
