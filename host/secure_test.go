package main

import (
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/certtest"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/quorum"
	"tamarackshunt.dev/host/peer"
)

var secrets = &fleetpb.Secrets{
	Fleet: "fleet-secret-0000", Operator: "operator-secret-0", Announce: "announce-secret-0", User: "tamarack", Password: "password",
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// startHost runs the control host c1 with certificates of the authority.
func startHost(t *testing.T, authority *certtest.Authority) *deps {
	t.Helper()
	s := &fleetpb.HostSettings{
		Host: "c1", Zone: "z1", Region: "r1", Caller: freeAddress(t), Peer: freeAddress(t), Data: t.TempDir(), Secrets: secrets,
		Notice: durationpb.New(0),
		Tls:    &fleetpb.HostTLS{Authority: authority.File, Caller: &fleetpb.CallerTLS{}},
	}
	s.Control = []*fleetpb.ControlHost{{Host: "c1", Peer: s.GetPeer()}}
	s.Tls.Certificate, s.Tls.Key = authority.Issue(certtest.Leaf{Names: []string{"c1"}})
	s.Tls.Caller.Certificate, s.Tls.Caller.Key = authority.Issue(certtest.Leaf{Names: []string{"db.example"}})
	require.NoError(t, checkSettings("host.yaml", s))
	d, err := build(s)
	require.NoError(t, err)
	t.Cleanup(d.shutdown)
	return d
}

// Guards against a service for hosts that serves a client without a certificate of the fleet, and against a service for
// operators, upstreams, metrics or the load balancer that requires one.
func TestPeerAddress(t *testing.T) {
	authority := certtest.New(t)
	d := startHost(t, authority)
	files := certificate.Files{Authority: authority.File}
	withoutCertificate, err := certificate.Load(files)
	require.NoError(t, err)
	files.Certificate, files.Key = authority.Issue(certtest.Leaf{Names: []string{"e1"}})
	withCertificate, err := certificate.Load(files)
	require.NoError(t, err)

	const anybody, hosts = true, false
	tests := []struct {
		path, secret string
		access       bool
	}{
		{fleetpb.QuorumPathPrefix + "Step", secrets.GetFleet(), hosts},
		{fleetpb.KeepersPathPrefix + "Put", secrets.GetFleet(), hosts},
		{fleetpb.KeepersPathPrefix + "Get", secrets.GetFleet(), hosts},
		{fleetpb.ObserverPathPrefix + "Positions", secrets.GetFleet(), hosts},
		{fleetpb.ControlPathPrefix + "Sync", secrets.GetFleet(), hosts},
		{fleetpb.ControlPathPrefix + "Borrow", secrets.GetFleet(), hosts},
		{fleetpb.ControlPathPrefix + "Announce", secrets.GetFleet(), hosts},
		{fleetpb.ControlPathPrefix + "Announce", secrets.GetAnnounce(), anybody},
		{fleetpb.ControlPathPrefix + "Status", secrets.GetOperator(), anybody},
		{fleetpb.ControlPathPrefix + "Apply", secrets.GetOperator(), anybody},
		{"/announce", secrets.GetAnnounce(), anybody},
		{"/metrics", "", anybody},
		{"/ready", "", anybody},
	}
	for _, tt := range tests {
		method := http.MethodPost
		if tt.secret == "" {
			method = http.MethodGet
		}
		call := func(store *certificate.Store, secret string) int {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: store.ClientConfig("c1"), DisableKeepAlives: true}}
			request, err := http.NewRequestWithContext(t.Context(), method, "https://"+d.settings.GetPeer()+tt.path, strings.NewReader("{}"))
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+secret)
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			return response.StatusCode
		}
		require.NotEqual(t, http.StatusUnauthorized, call(withCertificate, tt.secret), tt.path)
		require.Equal(t, tt.access == anybody, call(withoutCertificate, tt.secret) != http.StatusUnauthorized, tt.path)
		if tt.secret != "" {
			require.Equal(t, http.StatusUnauthorized, call(withCertificate, "another-secret-00"), tt.path)
		}
	}
	response, err := http.Get("http://" + d.settings.GetPeer() + "/metrics")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusBadRequest, response.StatusCode, "the peer address serves nothing without TLS")
}

// Guards against an entry host that uses its own certificate of the fleet to sync, borrow or take part in the control log
// under the name of a control host.
func TestCallsUnderAnotherName(t *testing.T) {
	authority := certtest.New(t)
	d := startHost(t, authority)
	for name, refused := range map[string]bool{"c1": false, "e1": true} {
		file, key := authority.Issue(certtest.Leaf{Names: []string{name}})
		store, err := certificate.Load(certificate.Files{Certificate: file, Key: key, Authority: authority.File})
		require.NoError(t, err)
		network := peer.New(peer.Options{Secret: secrets.GetFleet(), Certificates: store, Control: d.settings.GetControl()})
		defer network.Close()
		control := fleetpb.NewControlProtobufClient(network.URL(d.settings.GetPeer()), network.Client(time.Minute))
		log := fleetpb.NewQuorumProtobufClient(network.URL(d.settings.GetPeer()), network.Client(time.Minute))
		_, borrow := control.Borrow(t.Context(), &fleetpb.BorrowRequest{Host: "c1"})
		_, sync := control.Sync(t.Context(), &fleetpb.SyncRequest{Host: "c1", Incarnation: uint64(d.incarnation)})
		_, step := log.Step(t.Context(), &fleetpb.StepRequest{Messages: []*fleetpb.Message{{From: quorum.MemberID("c1", 7)}}})
		for call, err := range map[string]error{"Borrow": borrow, "Sync": sync, "Step": step} {
			require.Equal(t, refused, err != nil && strings.Contains(err.Error(), "permission_denied"), "%s by %s: %v", call, name, err)
		}
	}
}

// Guards against certificates whose renewal needs a restart, and against one invalid file that prevents the renewal of the
// others or takes a working certificate out of use.
func TestRenew(t *testing.T) {
	authority := certtest.New(t)
	d := startHost(t, authority)
	roots, err := certificate.Load(certificate.Files{Authority: authority.File})
	require.NoError(t, err)
	serials := func() (peer, caller string) {
		return serial(t, d.settings.GetPeer(), roots.ClientConfig("c1"), false), serial(t, d.settings.GetCaller(), roots.ClientConfig("db.example"), true)
	}
	peer1, caller1 := serials()
	files := d.settings.GetTls()
	require.NoError(t, os.WriteFile(files.GetCertificate(), []byte("x"), 0o600))
	authority.Renew(files.GetCaller().GetCertificate(), files.GetCaller().GetKey(), certtest.Leaf{Names: []string{"db.example"}})
	d.reloadCertificates()
	peer2, caller2 := serials()
	require.Equal(t, peer1, peer2)
	require.NotEqual(t, caller1, caller2)
	authority.Renew(files.GetCertificate(), files.GetKey(), certtest.Leaf{Names: []string{"c1"}})
	d.reloadCertificates()
	peer3, caller3 := serials()
	require.NotEqual(t, peer2, peer3)
	require.Equal(t, caller2, caller3)
	require.Eventually(t, func() bool { return d.member.View().Expires > d.clock.Now() }, time.Minute, 10*time.Millisecond,
		"the host syncs with itself over TLS")
}

// serial returns the serial number of the certificate at an address, after an SSLRequest where callers are served.
func serial(t *testing.T, address string, config *tls.Config, postgres bool) string {
	t.Helper()
	socket, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer socket.Close()
	if postgres {
		_, err = socket.Write([]byte{0, 0, 0, 8, 4, 0xd2, 0x16, 0x2f})
		require.NoError(t, err)
		var answer [1]byte
		_, err = socket.Read(answer[:])
		require.NoError(t, err)
		require.Equal(t, "S", string(answer[:]))
	}
	secured := tls.Client(socket, config)
	require.NoError(t, secured.HandshakeContext(t.Context()))
	return secured.ConnectionState().PeerCertificates[0].SerialNumber.String()
}
