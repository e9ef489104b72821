package entry_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// Guards against input of a caller that stops the host or leaves the connection open without an answer.
func FuzzCaller(f *testing.F) {
	startup, err := (&pgproto3.StartupMessage{
		ProtocolVersion: 196608, Parameters: map[string]string{"user": "anna", "database": "stock"},
	}).Encode(nil)
	require.NoError(f, err)
	query, err := (&pgproto3.Query{String: "select 1"}).Encode(startup)
	require.NoError(f, err)
	bind, err := (&pgproto3.Bind{PreparedStatement: "none"}).Encode(startup)
	require.NoError(f, err)
	for _, seed := range [][]byte{nil, {0}, []byte("GET / HTTP/1.1\r\n\r\n"), startup, query, bind, append(startup, 'X', 0, 0, 0, 4)} {
		f.Add(seed)
	}
	fixture := newFixture(f)
	f.Fuzz(func(t *testing.T, sent []byte) {
		socket, err := net.Dial("tcp", fixture.address)
		require.NoError(t, err)
		defer socket.Close()
		_, _ = socket.Write(sent)
		require.NoError(t, socket.(*net.TCPConn).CloseWrite())
		socket.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err = io.Copy(io.Discard, socket)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the host neither answered nor closed the connection")
	})
}
