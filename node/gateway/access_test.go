package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/access"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/upstream"
)

// keysOf returns a version with the keys of team, whose statements the tests run, and of another team.
func keysOf(t *testing.T, version ident.Version, team, other []string) *catalog.Catalog {
	c, err := catalog.New(catalog.Description{Version: version, Teams: []catalog.Team{{Name: "team", Keys: team}, {Name: "other", Keys: other}}})
	require.NoError(t, err)
	return c
}

// withKey returns a copy of a request for a caller's key that its host has found under a version.
func withKey(request *fleetpb.UseRequest, key string, version ident.Version) *fleetpb.UseRequest {
	request = proto.CloneOf(request)
	request.Team, request.Key, request.Version = "team", uint64(catalog.NewKeyID(key)), uint64(version)
	return request
}

// nextOf returns a later statement of the transaction of a first one.
func nextOf(first *fleetpb.UseRequest, response *fleetpb.UseResponse, version ident.Version) *fleetpb.UseRequest {
	next := proto.CloneOf(first)
	next.Lease, next.Opening, next.Id, next.Version = response.GetLease(), fleetpb.Opening_OPENING_NONE, []byte("2"), uint64(version)
	return next
}

// Guards against statements under a lost key that a gateway sends for a host that has not heard of the change (CONFIG, UNASKED), and against a
// gateway that refuses what its host allows under a newer configuration than its own.
func TestStatementsOfChangedKey(t *testing.T) {
	for name, c := range map[string]struct {
		key        string
		verified   ident.Version
		code, open statement.Code
	}{
		"withdrawn":                            {"k1", 1, statement.CodeDenied, statement.CodeAborted},
		"given to another team":                {"k2", 1, statement.CodeBusy, statement.CodeAborted},
		"held":                                 {"k3", 1, statement.CodeNone, statement.CodeNone},
		"no key needed":                        {"", 1, statement.CodeNone, statement.CodeNone},
		"allowed by the newer one of its host": {"k1", 3, statement.CodeNone, statement.CodeNone},
	} {
		t.Run(name, func(t *testing.T) {
			g, _, target := startPrimary(t)
			register := access.New()
			pool := upstream.NewPool(target, protocol, 3)
			pool.SetAccess(register)
			server := gateway.NewServer(pools{"i-1": pool})
			require.True(t, register.SetCatalog(keysOf(t, 1, []string{"k1", "k2", "k3"}, nil)))
			first := withKey(firstRequest("one"), c.key, 1)
			opened := mustUse(t, server, first)
			require.True(t, register.SetCatalog(keysOf(t, 2, []string{"k3"}, []string{"k2"})))
			ran := len(g.Runs())

			use := func(request *fleetpb.UseRequest, code statement.Code) {
				response, err := server.Use(t.Context(), request)
				require.NoError(t, err)
				require.Equal(t, uint32(code), response.GetFailure().GetCode())
				require.Equal(t, code == statement.CodeNone, response.GetRan())
				require.Equal(t, code == statement.CodeNone, response.GetLease() != "")
			}
			use(nextOf(first, opened, c.verified), c.open)
			use(withKey(firstRequest("two"), c.key, c.verified), c.code)
			if c.code != statement.CodeNone {
				require.Len(t, g.Runs(), ran, "nothing has run")
				require.Eventually(t, func() bool { return pool.Connections() <= 1 }, timeout, time.Millisecond)
			}
		})
	}
}

// Guards against a statement that waits for its turn at a gateway after its key was withdrawn: its caller would hear of it only when its turn
// comes or its time ends.
func TestWaitEndsWithKey(t *testing.T) {
	g, _, target := startPrimary(t)
	register := access.New()
	pool := upstream.NewPool(target, protocol, 1)
	pool.SetAccess(register)
	server := gateway.NewServer(pools{"i-1": pool})
	require.True(t, register.SetCatalog(keysOf(t, 1, []string{"k1", "k2"}, nil)))
	mustUse(t, server, withKey(firstRequest("one"), "k2", 1))
	ran := len(g.Runs())

	waiting := withKey(firstRequest("two"), "k1", 1)
	waiting.WaitMs = uint32(time.Hour / time.Millisecond)
	answered := make(chan *fleetpb.UseResponse)
	go func() {
		response, _ := server.Use(t.Context(), waiting)
		answered <- response
	}()
	require.Eventually(t, func() bool { return pool.Waiting() == 1 }, timeout, time.Millisecond)
	require.True(t, register.SetCatalog(keysOf(t, 2, []string{"k2"}, nil)))
	select {
	case response := <-answered:
		require.Equal(t, uint32(statement.CodeDenied), response.GetFailure().GetCode())
		require.False(t, response.GetRan())
	case <-time.After(timeout):
		t.Fatal("the statement still waits")
	}
	require.Len(t, g.Runs(), ran)
}
