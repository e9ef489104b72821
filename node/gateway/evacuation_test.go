package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/upstream"
)

// Guards against statements that a gateway sends to an evacuated availability zone for a host that has not heard of the evacuation.
func TestEvacuatedUpstream(t *testing.T) {
	g, _, target := startPrimary(t)
	pool := upstream.NewPool(target, protocol, 3)
	server := gateway.NewServer(pools{"i-1": pool})
	started := firstRequest("one")
	next := proto.CloneOf(started)
	next.Lease, next.Opening, next.Id = mustUse(t, server, started).GetLease(), fleetpb.Opening_OPENING_NONE, []byte("2")

	pool.Evacuate(steady.Now(), time.Hour)
	mustUse(t, server, next)
	ran := len(g.Runs())
	use := func(request *fleetpb.UseRequest) *fleetpb.UseResponse {
		response, err := server.Use(t.Context(), request)
		require.NoError(t, err)
		require.False(t, response.GetRan())
		require.Empty(t, response.GetLease())
		require.NotEmpty(t, response.GetUnreachable(), "the statement has not run")
		return response
	}
	require.Equal(t, uint32(statement.CodeMoved), use(firstRequest("two")).GetFailure().GetCode(), "no transaction begins")

	pool.EndEvacuation()
	pool.Evacuate(steady.Now(), 0)
	require.Equal(t, uint32(statement.CodeAborted), use(next).GetFailure().GetCode(), "the grace period of open transactions is over")
	require.Len(t, g.Runs(), ran)
	require.Zero(t, pool.Connections(), "nothing is sent to roll the transaction back")

	pool.EndEvacuation()
	mustUse(t, server, firstRequest("three"))
}
