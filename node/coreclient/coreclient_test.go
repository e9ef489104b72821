package coreclient

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/directory"
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
		Peers: peer.New(peer.Options{Trusted: true}), Table: routing.New(routing.Options{}), Overrun: limit.Overrun{Window: time.Second, Fraction: 1},
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
		require.True(t, c.handleResponse(1, "leader", false, 0, &fleetpb.WatchResponse{
			Leads: true, Configuration: &fleetpb.Configure{Version: version, Packed: packed}, Directory: directory,
		}))
	}
	receive(1, &fleetpb.Directory{})
	require.Equal(t, int64(62), reserves["t"].Tokens)
	receive(2, nil)
	require.Equal(t, int64(6), reserves["t"].Tokens)
}

// Guards against a host that applies a change to another directory than the leader meant, and against one that stays at a
// directory that differs from the leader's.
func TestDirectoryChanges(t *testing.T) {
	table := routing.New(routing.Options{})
	empty, err := catalog.New(catalog.Description{Version: 1})
	require.NoError(t, err)
	table.SetCatalog(empty)
	c := New(Options{Peers: peer.New(peer.Options{Trusted: true}), Table: table, Reserves: func(map[ident.Team]limit.Reserve) {}})
	var history directory.History
	receive := func(digest uint64, hosts ...string) {
		d := &fleetpb.Directory{}
		for _, host := range hosts {
			d.Hosts = append(d.Hosts, &fleetpb.EntryHost{Host: host})
		}
		_, err := history.Add(d)
		require.NoError(t, err)
		response := &fleetpb.WatchResponse{Leads: true}
		response.Digest, response.Directory, response.Change = history.Update(digest)
		require.True(t, c.handleResponse(1, "leader", false, digest, response))
	}
	receive(c.directory.Digest(), "a", "b")
	require.Equal(t, 2, table.HostCount())
	first := c.directory.Digest()
	receive(c.directory.Digest(), "a", "b", "c")
	require.Equal(t, 3, table.HostCount())
	second := c.directory.Digest()
	receive(first, "a")
	require.Equal(t, second, c.directory.Digest(), "a late response to an earlier request changes nothing")
	require.Equal(t, 3, table.HostCount())
	c.directory.Set(&fleetpb.Directory{}, second)
	receive(c.directory.Digest(), "a", "d")
	require.Zero(t, c.directory.Digest(), "the next request asks for the whole directory")
	receive(c.directory.Digest(), "a", "d")
	require.Equal(t, 2, table.HostCount())
}

// coreStub records the incarnations of the Watch requests that it gets.
type coreStub struct {
	fleetpb.Core
	incarnations chan uint64
}

// Watch implements fleetpb.Core.
func (s coreStub) Watch(_ context.Context, request *fleetpb.WatchRequest) (*fleetpb.WatchResponse, error) {
	s.incarnations <- request.GetIncarnation()
	return &fleetpb.WatchResponse{Leads: true}, nil
}

// Guards against a search for the leader that does not say which start of the host sends it: one that arrives after a restart would be
// taken for a request of the running process.
func TestSearchNamesTheStart(t *testing.T) {
	stub := coreStub{incarnations: make(chan uint64, 1)}
	server := httptest.NewServer(peer.TrustedHandler(fleetpb.NewCoreServer(stub)))
	defer server.Close()
	c := New(Options{Host: "e", Incarnation: 7, Peers: peer.New(peer.Options{Trusted: true})})
	address := server.Listener.Addr().String()
	require.Equal(t, address, c.search(t.Context(), []string{address}))
	require.Equal(t, uint64(7), <-stub.incarnations)
}
