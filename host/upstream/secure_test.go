package upstream_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/certtest"
	"tamarackshunt.dev/fleet/failover"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/observer"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/promotion"
	"tamarackshunt.dev/host/upstream"
	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/server"
)

const password = "fleet-password"

// standin starts an upstream without TLS.
func standin(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := server.New(server.Options{
		Upstream: "u1", User: "tamarack", Password: password, Slots: 2, Connections: 20,
		Ledger: ledger.New(nil, nil), Faults: server.NewFaults(0),
	})
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Close)
	return listener.Addr().String()
}

// tlsProxy relays connections to an upstream. It accepts them with TLS if it has a certificate.
type tlsProxy struct {
	address  string
	target   string
	pair     *tls.Certificate
	accepted atomic.Int64
}

func newTLSProxy(t *testing.T, ip, target string, pair *tls.Certificate) *tlsProxy {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	p := &tlsProxy{address: listener.Addr().String(), target: target, pair: pair}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go p.serve(socket)
		}
	}()
	return p
}

func (p *tlsProxy) serve(socket net.Conn) {
	defer socket.Close()
	if p.pair == nil {
		p.relay(socket)
		return
	}
	request, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	got := make([]byte, len(request))
	if _, err := io.ReadFull(socket, got); err != nil || string(got) != string(request) {
		return
	}
	if _, err := socket.Write([]byte{'S'}); err != nil {
		return
	}
	encrypted := tls.Server(socket, &tls.Config{Certificates: []tls.Certificate{*p.pair}})
	if encrypted.Handshake() != nil {
		return
	}
	p.relay(encrypted)
}

func (p *tlsProxy) relay(socket net.Conn) {
	backend, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer backend.Close()
	go func() {
		_, _ = io.Copy(backend, socket)
		backend.Close()
	}()
	_, _ = io.Copy(socket, backend)
}

// fakeFleet implements observer.Fleet with one group of one upstream, which this host observes.
type fakeFleet struct{ address string }

func (f fakeFleet) Groups() []observer.Group {
	return []observer.Group{{Service: "ledger", Size: 1, Members: []observer.Member{{Upstream: "u1", Address: f.address}}}}
}

func (f fakeFleet) Hosts() []observer.Host { return []observer.Host{{ID: "h1", Zone: "z1"}} }

func (f fakeFleet) Changed() <-chan struct{} { return nil }

// Guards against connections to a server whose certificate does not match the upstream's address, and against a fallback to
// plaintext, in each of the three parts of a host that connect to upstreams.
func TestTLSTowardsUpstreams(t *testing.T) {
	authority, other := certtest.New(t), certtest.New(t)
	pair := func(a *certtest.Authority, leaf certtest.Leaf) *tls.Certificate {
		read, err := tls.LoadX509KeyPair(a.Issue(leaf))
		require.NoError(t, err)
		return &read
	}
	plain := standin(t)
	store, err := certificate.Load(certificate.Files{Authority: authority.File})
	require.NoError(t, err)
	good := pair(authority, certtest.Leaf{})
	tests := []struct {
		name    string
		proxy   *tlsProxy
		store   *certificate.Store
		problem string
	}{
		{"verified", newTLSProxy(t, "127.0.0.1", plain, good), store, ""},
		{"another address than the certificate's", newTLSProxy(t, "127.0.0.2", plain, good), store, "127.0.0.2"},
		{"another authority", newTLSProxy(t, "127.0.0.1", plain, pair(other, certtest.Leaf{})), store, "unknown authority"},
		{"expired", newTLSProxy(t, "127.0.0.1", plain, pair(authority, certtest.Leaf{Expired: true})), store, "expired"},
		{"upstream without TLS", newTLSProxy(t, "127.0.0.1", plain, nil), store, "TLS"},
		{"no authority in the settings", newTLSProxy(t, "127.0.0.1", plain, nil), nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			requireDial(t, tt.proxy.address, tt.store, tt.problem)
			requireQuery(t, tt.proxy.address, tt.store, tt.problem == "")
			requireObserved(t, tt.proxy, tt.store, tt.problem == "")
		})
	}
}

// requireDial checks the connections of this package, including a cancel request.
func requireDial(t *testing.T, address string, store *certificate.Store, problem string) {
	t.Helper()
	conn, err := upstream.Dial(t.Context(), address, "ledger", upstream.Credential{User: "tamarack", Password: password, TLS: store})
	if problem != "" {
		var failure *upstream.ConnectError
		require.ErrorAs(t, err, &failure)
		require.ErrorContains(t, err, problem)
		return
	}
	require.NoError(t, err)
	require.NoError(t, conn.Exec("SELECT tamarack_state()"))
	require.True(t, conn.Usable(), "an idle connection is usable")
	statement := conn.StartStatement()
	require.NoError(t, statement.Cancel(t.Context()))
	statement.End()
	require.NoError(t, conn.Close())
	require.False(t, conn.Usable())
}

// requireQuery checks the connections of package promotion.
func requireQuery(t *testing.T, address string, store *certificate.Store, works bool) {
	t.Helper()
	answers := make(chan failover.Answer, 1)
	runner := promotion.New(promotion.Options{
		User: "tamarack", Password: password, TLS: store, Deliver: func(_ ident.Service, a failover.Answer) { answers <- a },
	})
	defer runner.Close()
	require.True(t, runner.Do("ledger", failover.Query{Upstream: "u1", Address: address}))
	answer := <-answers
	require.Equal(t, works, answer.Failure == "", answer.Failure)
}

// requireObserved checks the connections of package observer.
func requireObserved(t *testing.T, proxy *tlsProxy, store *certificate.Store, works bool) {
	t.Helper()
	o := observer.New(observer.Options{
		Self: "h1", Fleet: fakeFleet{proxy.address}, User: "tamarack", Password: password, TLS: store, Peers: peer.New(peer.Options{}),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); o.Run(ctx) }()
	before := proxy.accepted.Load()
	reachable := func() bool {
		p, ok := o.Positions("ledger")
		return ok && len(p.Held) == 1 && p.Held[0].Reachable
	}
	if works {
		require.Eventually(t, reachable, time.Minute, time.Millisecond)
	} else {
		// A second connection shows that the first one has failed.
		require.Eventually(t, func() bool { return proxy.accepted.Load() > before+1 }, time.Minute, time.Millisecond)
		require.False(t, reachable())
	}
	cancel()
	<-done
}
