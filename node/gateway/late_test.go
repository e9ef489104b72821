package gateway_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/expiry"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/upstream"
)

// Guards against a statement that a gateway reads long after its host has given it up, since the gateway's process was suspended, and runs
// at an upstream that may have left since; and against refusing one whose host still waits.
func TestStatementGivenUp(t *testing.T) {
	g, _, target := startPrimary(t)
	server := gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 1)})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	host, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer host.Close()
	connection, err := listener.Accept()
	require.NoError(t, err)
	defer connection.Close()
	_, err = io.WriteString(host, "POST")
	require.NoError(t, err)
	time.Sleep(400 * time.Millisecond)
	ctx := expiry.WithConnection(t.Context(), connection)
	first := firstRequest("t")
	commit := &fleetpb.UseRequest{
		Id: []byte("2"), Text: []byte("COMMIT"), Lease: mustUse(t, server, first).GetLease(), Transaction: "t", WaitMs: 50, TimeoutMs: 50,
	}
	_, err = server.Use(ctx, commit)
	var refused twirp.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, twirp.FailedPrecondition, refused.Code())
	_, runs := g.Items()
	require.Empty(t, runs)
	commit.TimeoutMs = uint32(timeout.Milliseconds())
	_, err = server.Use(ctx, commit)
	require.NoError(t, err)
	_, runs = g.Items()
	require.Equal(t, map[string]int{"2": 1}, runs)
}
