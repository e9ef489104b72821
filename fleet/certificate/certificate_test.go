package certificate_test

import (
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/certtest"
	"tamarackshunt.dev/fleet/fleetpb"
)

// Guards against a process that starts with certificates that its peers will reject, and against errors without a file.
func TestLoad(t *testing.T) {
	authority, other := certtest.New(t), certtest.New(t)
	good, goodKey := authority.Issue(certtest.Leaf{Names: []string{"c1"}})
	expired, expiredKey := authority.Issue(certtest.Leaf{Names: []string{"c1"}, Expired: true})
	foreign, foreignKey := other.Issue(certtest.Leaf{Names: []string{"c1"}})
	tests := []struct {
		name    string
		files   certificate.Files
		problem string
	}{
		{"complete", certificate.Files{Certificate: good, Key: goodKey, Authority: authority.File, Name: "c1"}, ""},
		{"without authority", certificate.Files{Certificate: good, Key: goodKey}, ""},
		{"authority alone", certificate.Files{Authority: authority.File}, ""},
		{"missing file", certificate.Files{Certificate: good + "x", Key: goodKey}, "no such file"},
		{"missing key", certificate.Files{Certificate: good}, "no such file"},
		{"key of another certificate", certificate.Files{Certificate: good, Key: foreignKey}, "private key does not match"},
		{"expired", certificate.Files{Certificate: expired, Key: expiredKey}, "expired"},
		{"another host's name", certificate.Files{Certificate: good, Key: goodKey, Name: "c2"}, "not c2"},
		{"another authority", certificate.Files{Certificate: foreign, Key: foreignKey, Authority: authority.File}, "unknown authority"},
		{"no certificate in the authority", certificate.Files{Authority: goodKey}, "expected certificates in PEM form"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store, err := certificate.Load(tt.files)
			if tt.problem == "" {
				require.NoError(t, err)
				require.NotNil(t, store)
				return
			}
			require.ErrorContains(t, err, tt.problem)
			var failure *certificate.Error
			require.ErrorAs(t, err, &failure)
			require.NotEmpty(t, failure.File)
		})
	}
}

// serial returns the serial number of the certificate that a server with the configuration presents.
func serial(t *testing.T, server, client *tls.Config) string {
	t.Helper()
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _ = tls.Server(far, server).HandshakeContext(t.Context()) }()
	socket := tls.Client(near, client)
	require.NoError(t, socket.HandshakeContext(t.Context()))
	return socket.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// Guards against a renewal that needs a restart, and against an invalid file that replaces a working certificate.
func TestReload(t *testing.T) {
	authority := certtest.New(t)
	leaf := certtest.Leaf{Names: []string{"c1"}}
	file, key := authority.Issue(leaf)
	store, err := certificate.Load(certificate.Files{Certificate: file, Key: key, Authority: authority.File})
	require.NoError(t, err)
	server := store.CallerConfig()
	first := serial(t, server, store.ClientConfig("c1"))
	authority.Renew(file, key, leaf)
	require.Equal(t, first, serial(t, server, store.ClientConfig("c1")), "files are not read before Reload")
	require.NoError(t, store.Reload())
	second := serial(t, server, store.ClientConfig("c1"))
	require.NotEqual(t, first, second)

	faults := map[string]func(){
		"no certificate":      func() { require.NoError(t, os.WriteFile(file, []byte("x"), 0o600)) },
		"expired certificate": func() { authority.Renew(file, key, certtest.Leaf{Names: []string{"c1"}, Expired: true}) },
		"key of the next certificate": func() {
			authority.Renew(filepath.Join(t.TempDir(), "unused"), key, leaf)
		},
		"certificate of another authority": func() { certtest.New(t).Renew(file, key, leaf) },
		"no authority":                     func() { require.NoError(t, os.Rename(authority.File, authority.File+".away")) },
	}
	for name, inject := range faults {
		inject()
		require.Error(t, store.Reload(), name)
		require.Equal(t, second, serial(t, server, store.ClientConfig("c1")), name)
		if name == "no authority" {
			require.NoError(t, os.Rename(authority.File+".away", authority.File))
		}
	}
	authority.Renew(file, key, leaf)
	require.NoError(t, store.Reload())
	require.NotEqual(t, second, serial(t, server, store.ClientConfig("c1")))
}

// Guards against sending an operator's secret or an announcement's key to a server that is not a host of the fleet, and
// against a program without its own certificate that cannot call hosts.
func TestHosts(t *testing.T) {
	authority, other := certtest.New(t), certtest.New(t)
	named := certtest.Leaf{Names: []string{"c1"}}
	own, ownKey := authority.Issue(certtest.Leaf{Names: []string{"operator"}, ClientOnly: true})
	tests := []struct {
		name     string
		settings *fleetpb.ClientTLS
		signer   *certtest.Authority
		leaf     certtest.Leaf
		problem  string
	}{
		{"without a certificate of its own", &fleetpb.ClientTLS{Authority: authority.File}, authority, named, ""},
		{"with a certificate of its own", &fleetpb.ClientTLS{Authority: authority.File, Certificate: own, Key: ownKey}, authority, named, ""},
		{"another authority", &fleetpb.ClientTLS{Authority: authority.File}, other, named, "unknown authority"},
		{"another operator's certificate", &fleetpb.ClientTLS{Authority: authority.File}, authority, certtest.Leaf{ClientOnly: true}, "key usage"},
		{"expired", &fleetpb.ClientTLS{Authority: authority.File}, authority, certtest.Leaf{Expired: true}, "expired"},
		{"without TLS", nil, authority, named, "400"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pair, err := tls.LoadX509KeyPair(tt.signer.Issue(tt.leaf))
			require.NoError(t, err)
			server := httptest.NewUnstartedServer(http.NotFoundHandler())
			server.Config.ErrorLog = log.New(io.Discard, "", 0)
			server.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
			server.StartTLS()
			defer server.Close()
			hosts, err := certificate.NewHosts(tt.settings)
			require.NoError(t, err)
			require.NoError(t, hosts.Reload())
			response, err := hosts.Client(time.Minute).Get(hosts.URL(server.Listener.Addr().String()))
			if err == nil {
				require.NoError(t, response.Body.Close())
			}
			if tt.problem == "400" {
				require.NoError(t, err)
				require.Equal(t, http.StatusBadRequest, response.StatusCode)
				return
			}
			if tt.problem != "" {
				require.ErrorContains(t, err, tt.problem)
				return
			}
			require.NoError(t, err)
			require.Equal(t, http.StatusNotFound, response.StatusCode)
		})
	}
	_, err := certificate.NewHosts(&fleetpb.ClientTLS{Authority: authority.File, Certificate: own})
	require.ErrorContains(t, err, "expected certificate and key")
}
