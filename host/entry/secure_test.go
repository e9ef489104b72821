package entry_test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/certtest"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/host/entry"
)

// newTLSFixture starts a server with a certificate that listens on the given IP address.
func newTLSFixture(t *testing.T, authority *certtest.Authority, address string, plaintext bool) *fixture {
	t.Helper()
	file, key := authority.Issue(certtest.Leaf{Names: []string{"entry"}})
	store, err := certificate.Load(certificate.Files{Certificate: file, Key: key})
	require.NoError(t, err)
	return newFixtureWith(t, func(o *entry.Options) {
		_, port, err := net.SplitHostPort(o.Settings.GetCaller())
		require.NoError(t, err)
		o.TLS = store
		o.Settings.Caller = net.JoinHostPort(address, port)
		o.Settings.Tls = &fleetpb.HostTLS{Caller: &fleetpb.CallerTLS{Certificate: file, Key: key, Plaintext: plaintext}}
	})
}

// Guards against keys that are sent over the network in plaintext although the settings do not allow it, and against callers
// without TLS that are refused although the settings allow them.
func TestCallersWithAndWithoutTLS(t *testing.T) {
	authority, other := certtest.New(t), certtest.New(t)
	const everywhere, loopback = "0.0.0.0", "127.0.0.1"
	verified := "sslmode=verify-full&sslrootcert=" + authority.File
	tests := []struct {
		name, address string
		plaintext     bool
		mode, problem string
		version       uint16
	}{
		{"verified", everywhere, false, verified, "", 0},
		{"verified on loopback", loopback, false, verified, "", 0},
		{"TLS 1.2", everywhere, false, verified, "", tls.VersionTLS12},
		{"TLS 1.1", everywhere, false, verified, "protocol version", tls.VersionTLS11},
		{"another authority", everywhere, false, "sslmode=verify-full&sslrootcert=" + other.File, "unknown authority", 0},
		{"plaintext", everywhere, false, "sslmode=disable", "SQLSTATE 28000", 0},
		{"plaintext on loopback", loopback, false, "sslmode=disable", "", 0},
		{"allowed plaintext", everywhere, true, "sslmode=disable", "", 0},
		{"TLS where plaintext is allowed", everywhere, true, verified, "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newTLSFixture(t, authority, tt.address, tt.plaintext)
			config, err := pgx.ParseConfig(fmt.Sprintf("postgres://anna:%s@%s/%s?%s", testKey, f.address, testService, tt.mode))
			require.NoError(t, err)
			if config.TLSConfig != nil {
				config.TLSConfig.MinVersion, config.TLSConfig.MaxVersion = tls.VersionTLS10, tt.version
			}
			conn, err := pgx.ConnectConfig(t.Context(), config)
			if tt.problem != "" {
				require.ErrorContains(t, err, tt.problem)
				return
			}
			require.NoError(t, err)
			_, isTLS := conn.PgConn().Conn().(*tls.Conn)
			require.Equal(t, strings.HasPrefix(tt.mode, "sslmode=verify"), isTLS)
			var got string
			require.NoError(t, conn.QueryRow(t.Context(), "select one").Scan(&got))
			require.Equal(t, "select one", got)
			_, err = conn.Exec(t.Context(), "insert "+strings.Repeat("x", 1<<20))
			require.NoError(t, err)
			_, err = conn.Exec(t.Context(), "insert "+strings.Repeat("x", 9<<20))
			require.Error(t, err, "messages inside TLS are bounded too")
			require.NoError(t, conn.Close(t.Context()))
		})
	}
}

// Guards against a host without a certificate that does not answer an SSLRequest, and against messages sent before the TLS
// handshake that are processed as part of the encrypted connection.
func TestNegotiation(t *testing.T) {
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	require.NoError(t, err)
	startup, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "mallory", "database": "stock"},
	}).Encode(nil)
	require.NoError(t, err)
	authority := certtest.New(t)
	f := newTLSFixture(t, authority, "127.0.0.1", false)
	roots, err := certificate.Load(certificate.Files{Authority: authority.File})
	require.NoError(t, err)

	begin := func(t *testing.T, address string, sent []byte) (net.Conn, byte) {
		t.Helper()
		socket, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { socket.Close() })
		_, err = socket.Write(sent)
		require.NoError(t, err)
		var answer [1]byte
		_, err = io.ReadFull(socket, answer[:])
		require.NoError(t, err)
		return socket, answer[0]
	}
	_, answer := begin(t, newFixture(t).address, request)
	require.Equal(t, byte('N'), answer, "a host without a certificate")

	socket, answer := begin(t, f.address, append(append([]byte{}, request...), startup...))
	require.Equal(t, byte('S'), answer)
	encrypted := tls.Client(socket, roots.ClientConfig("entry"))
	if encrypted.HandshakeContext(t.Context()) != nil {
		return // The startup message arrived late and was read as the handshake, which refuses it as well.
	}
	// The second SSLRequest is answered as the first message inside TLS, so the injected startup message was discarded.
	_, err = encrypted.Write(request)
	require.NoError(t, err)
	message, err := pgproto3.NewFrontend(encrypted, encrypted).Receive()
	require.NoError(t, err)
	require.Equal(t, "08P01", message.(*pgproto3.ErrorResponse).Code)
}

// Guards against a host that requires TLS for cancel requests too, which drivers send in plaintext.
func TestCancelWithoutTLS(t *testing.T) {
	authority := certtest.New(t)
	f := newTLSFixture(t, authority, "0.0.0.0", false)
	conn, err := pgx.Connect(t.Context(), fmt.Sprintf("postgres://anna:%s@%s/%s?sslmode=verify-full&sslrootcert=%s",
		testKey, f.address, testService, authority.File))
	require.NoError(t, err)
	defer conn.Close(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Exec(t.Context(), "select slow")
		ended <- err
	}()
	require.Eventually(t, func() bool { return f.upstream.count("run select slow") == 1 }, time.Minute, time.Millisecond)
	packet, err := (&pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: conn.PgConn().SecretKey()}).Encode(nil)
	require.NoError(t, err)
	socket, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer socket.Close()
	_, err = socket.Write(packet)
	require.NoError(t, err)
	require.NoError(t, <-ended)
	require.Equal(t, 1, f.upstream.count("cancel"))
}
