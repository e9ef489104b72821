package coreclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/node/routing"
)

// leaderStub is the core's leader. It records the Watch requests that it gets.
type leaderStub struct {
	fleetpb.Core
	fleetpb.Control
	mu       sync.Mutex
	requests []*fleetpb.WatchRequest
}

// Watch implements fleetpb.Core.
func (l *leaderStub) Watch(_ context.Context, request *fleetpb.WatchRequest) (*fleetpb.WatchResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, request)
	return &fleetpb.WatchResponse{Leads: true, Digest: 1, Directory: &fleetpb.Directory{}}, nil
}

// Borrow implements fleetpb.Control.
func (l *leaderStub) Borrow(_ context.Context, request *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error) {
	return &fleetpb.BorrowResponse{Seq: request.GetSeq(), LifetimeMs: 500}, nil
}

// serve serves a handler on loopback and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewServer(peer.TrustedHandler(handler))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newHost returns the client of an entry host that knows core hosts and other entry hosts by their addresses.
func newHost(t *testing.T, name string, core, others []string) *Client {
	empty, err := catalog.New(catalog.Description{Version: 1})
	require.NoError(t, err)
	table := routing.New(routing.Options{})
	table.SetCatalog(empty)
	directory := &fleetpb.Directory{}
	for _, other := range others {
		directory.Hosts = append(directory.Hosts, &fleetpb.EntryHost{Host: other, Zone: "z", Peer: other})
	}
	table.SetDirectory(directory)
	return New(Options{
		Host: ident.Host(name), Zone: "z", Peers: peer.New(peer.Options{Trusted: true}), Table: table,
		Seeds: func() []string { return core }, Reserves: func(map[ident.Team]limit.Reserve) {},
	})
}

// Guards against hosts without tokens and without news of the configuration while only the links between them and the core are cut:
// other entry hosts pass their calls on to the leader, but only hosts that reach it themselves.
func TestRelay(t *testing.T) {
	leader := &leaderStub{}
	mux := http.NewServeMux()
	mux.Handle(fleetpb.CorePathPrefix, fleetpb.NewCoreServer(leader))
	mux.Handle(fleetpb.ControlPathPrefix, fleetpb.NewControlServer(leader))
	core := serve(t, mux)
	// Port 1 of loopback refuses connections, as the core does on the far side of a cut.
	unreachable := []string{"127.0.0.1:1", "127.0.0.2:1"}
	near := newHost(t, "near", []string{core}, nil)
	require.True(t, near.watch(t.Context()))
	relay := serve(t, near.RelayHandler())

	cut := newHost(t, "cut", unreachable, []string{relay})
	require.False(t, cut.watch(t.Context()), "an election ends without relays")
	cut.searchSince = steady.Now().Add(-relayAfter)
	require.True(t, cut.watch(t.Context()))
	require.Equal(t, relay, cut.Owner())
	require.True(t, cut.Connected())
	borrowed, err := fleetpb.NewControlProtobufClient("http://"+cut.Owner(), http.DefaultClient).Borrow(t.Context(), &fleetpb.BorrowRequest{Seq: 7})
	require.NoError(t, err)
	require.EqualValues(t, 7, borrowed.GetSeq())

	// A host that reaches the leader through a relay is none itself.
	second := newHost(t, "second", unreachable, []string{serve(t, cut.RelayHandler())})
	second.searchSince = steady.Now().Add(-relayAfter)
	require.False(t, second.watch(t.Context()))
	_, err = fleetpb.NewControlProtobufClient("http://"+serve(t, cut.RelayHandler()), http.DefaultClient).Borrow(t.Context(), &fleetpb.BorrowRequest{})
	require.Error(t, err)

	// Reports about primaries are not passed on.
	age := uint32(1)
	_, err = watchRelay{client: near}.Watch(t.Context(), &fleetpb.WatchRequest{
		Host: "cut", Reports: []*fleetpb.PrimaryReport{{Service: "s", Upstream: "u", AnsweredMs: &age}},
	})
	require.NoError(t, err)
	last := leader.requests[len(leader.requests)-1]
	require.Equal(t, "cut", last.GetHost())
	require.Empty(t, last.GetReports())

	// The core is used again once it answers.
	cut.options.Seeds = func() []string { return []string{core} }
	cut.directAt = 0
	require.True(t, cut.watch(t.Context()))
	require.Equal(t, core, cut.Owner())
	require.False(t, cut.usesRelay())
}

// Guards against a search that asks this host itself, hosts of one zone only or one host twice.
func TestRelayCandidates(t *testing.T) {
	host := func(name, zone string) *fleetpb.EntryHost {
		return &fleetpb.EntryHost{Host: name, Zone: zone, Peer: name}
	}
	keep := func(int, func(i, j int)) {}
	for _, c := range []struct {
		hosts []*fleetpb.EntryHost
		want  []string
	}{
		{nil, nil},
		{[]*fleetpb.EntryHost{host("self", "a")}, nil},
		{[]*fleetpb.EntryHost{host("self", "a"), host("x", "a"), host("y", "a"), host("z", "a"), host("w", "a")}, []string{"x", "y", "z"}},
		{[]*fleetpb.EntryHost{host("x", "a"), host("y", "a"), host("z", "b"), host("w", "c")}, []string{"x", "z", "w"}},
		{[]*fleetpb.EntryHost{host("z", "b"), host("w", "c"), host("v", "c"), host("u", "c")}, []string{"z", "w", "v"}},
	} {
		require.Equal(t, c.want, relayCandidates(c.hosts, "self", "a", keep))
	}
}
