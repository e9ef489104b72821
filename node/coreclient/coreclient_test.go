package coreclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/node/routing"
)

// Guards against a host that keeps querying only a leader that does not answer its calls for tokens, and against a late
// failure of an earlier leader that makes the host drop the current one.
func TestOwnerUnresponsive(t *testing.T) {
	c := New(Options{Peers: peer.New(peer.Options{Trusted: true}), Seeds: func() []string { return []string{"a", "b", "c"} }})
	c.leader = "b"
	c.OwnerUnresponsive("a")
	require.Equal(t, "b", c.Owner())
	require.Equal(t, []string{"b"}, c.targets())
	require.Empty(t, c.wake)
	c.OwnerUnresponsive("b")
	require.Empty(t, c.Owner())
	require.Equal(t, []string{"a", "b", "c"}, c.targets())
	require.Len(t, c.wake, 1, "the next request does not wait for its interval")
	c.OwnerUnresponsive("b")
	c.Leave()
	require.Len(t, c.wake, 1)
}

// Guards against reserves of tokens that stay those of an earlier configuration until the next change of the directory: a team
// whose rate was lowered could still run the old reserve while no owner of tokens answers.
func TestConfigurationChangesReserves(t *testing.T) {
	var reserves map[ident.Team]limit.Reserve
	rates := map[uint64]uint32{1: 100, 2: 10}
	c := New(Options{
		Peers: peer.New(peer.Options{Trusted: true}), Table: routing.New(routing.Options{}), Overrun: Overrun{Window: time.Second, Fraction: 1},
		Reserves: func(r map[ident.Team]limit.Reserve) { reserves = r },
		Parse: func(source []byte) (*catalog.Catalog, error) {
			version := uint64(len(source))
			return catalog.New(catalog.Description{
				Version: ident.Version(version), Teams: []catalog.Team{{Name: "t", Rule: limit.Rule{Rate: rates[version], Burst: rates[version]}}},
			})
		},
	})
	receive := func(version uint64, directory *fleetpb.Directory) {
		packed, err := catalog.Pack(make([]byte, version))
		require.NoError(t, err)
		require.True(t, c.handleResponse(1, "leader", &fleetpb.WatchResponse{
			Leads: true, Configuration: &fleetpb.Configure{Version: version, Packed: packed}, Directory: directory,
		}))
	}
	receive(1, &fleetpb.Directory{})
	require.Equal(t, int64(100), reserves["t"].Tokens)
	receive(2, nil)
	require.Equal(t, int64(10), reserves["t"].Tokens)
}
