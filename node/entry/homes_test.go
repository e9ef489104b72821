package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/routing"
)

// The service of these tests has its upstreams in one region. The host under test is in another one, and further hosts are in a third.
const (
	homeZone    = "home-a"
	entryZone   = "entry-a"
	foreignZone = "foreign-a"
)

var homeRegions = map[ident.Zone]ident.Region{homeZone: "home", "home-b": "home", entryZone: "entry", foreignZone: "foreign"}

// recordingGateway is a gateway that answers all statements alike and records the texts of those that callers sent.
type recordingGateway struct {
	fleetpb.Gateway
	mu    sync.Mutex
	texts []string
}

// Use implements fleetpb.Gateway.
func (g *recordingGateway) Use(_ context.Context, request *fleetpb.UseRequest) (*fleetpb.UseResponse, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	response := &fleetpb.UseResponse{
		Ran: true, Signature: []byte("s"), State: uint32(statement.StateIdle), Position: &fleetpb.Position{Term: 1, Lsn: 1}, Opened: &fleetpb.Position{Term: 1, Lsn: 1},
	}
	if request.GetKeep() {
		response.Lease, response.State = "lease", uint32(statement.StateTransaction)
	}
	if len(request.GetId()) > 0 {
		g.texts = append(g.texts, string(request.GetText()))
	}
	return response, nil
}

// End implements fleetpb.Gateway.
func (g *recordingGateway) End(context.Context, *fleetpb.EndRequest) (*fleetpb.EndResponse, error) {
	return &fleetpb.EndResponse{}, nil
}

// received returns the texts since the last call.
func (g *recordingGateway) received() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	texts := g.texts
	g.texts = nil
	return texts
}

// start starts the gateway and returns its address.
func (g *recordingGateway) start(t *testing.T) string {
	server := httptest.NewServer(fleetpb.NewGatewayServer(g))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	return listener.Addr().String()
}

// newHomesHost returns a host for upstreams with fewer connections than teams. Of each kind it has a route without homes, one with homes
// and one for a team with homes; the last two have the given timeout. Its directory has the given hosts of the home's region and several
// of a third one, at the address foreign.
func newHomesHost(t *testing.T, timeout time.Duration, foreign string, homes ...*fleetpb.EntryHost) *host {
	h := &host{t: t, quota: newTokens(1000)}
	h.quota.left["bound"] = 1000
	h.table = routing.New(routing.Options{
		Host: "h", Zone: entryZone, Region: "entry", Regions: homeRegions,
		Gateways: gateway.NewClient(http.DefaultClient, func(address string) string { return "http://" + address }),
	})
	description := catalog.Description{
		Version: 1, Services: []catalog.Service{{Name: "svc", Connections: 5}},
		Teams: []catalog.Team{{Name: "team", Keys: []string{"key"}}, {Name: "bound", Keys: []string{"bound"}, Regions: []ident.Region{"home"}}},
	}
	for _, kind := range catalog.KindValues() {
		add := func(name string, timeout time.Duration, regions ...ident.Region) {
			name = kind.String() + "-" + name
			description.Routes = append(description.Routes, catalog.Route{
				Name: name, Database: ident.Route(name), Kind: kind, Timeout: timeout, Objective: timeout,
				Service: "svc", Staleness: time.Minute, Regions: regions,
			})
		}
		add("free", time.Minute)
		add("bound", timeout, "home")
		add("team", timeout)
	}
	c, err := catalog.New(description)
	require.NoError(t, err)
	require.True(t, h.table.SetCatalog(c))
	h.directory = &fleetpb.Directory{
		Hosts:     append(homes, &fleetpb.EntryHost{Host: "h", Zone: entryZone, Peer: closedAddress(t)}),
		Primaries: []*fleetpb.PrimaryView{{Service: "svc", Upstream: "i-1"}},
		Upstreams: []*fleetpb.Announcement{{Upstream: "i-1", Service: "svc", Address: closedAddress(t), Zone: homeZone, Capacity: 2}},
	}
	for i := range 8 {
		h.directory.Hosts = append(h.directory.Hosts, &fleetpb.EntryHost{Host: fmt.Sprint("foreign", i), Zone: foreignZone, Peer: foreign})
	}
	h.table.SetDirectory(h.directory)
	h.serve()
	return h
}

// boundCallers are the names of routes and the keys with which the route, the team or both have homes.
var boundCallers = []string{"bound key", "team bound", "bound bound"}

// forms are the requests in which a caller's statement can reach an upstream.
var forms = map[string][]string{
	"read":                  {"FETCH k"},
	"write":                 {"STORE k v"},
	"transaction":           {"BEGIN", "STORE k v", "COMMIT"},
	"read-only transaction": {"BEGIN FETCH", "FETCH k", "COMMIT"},
	"prepared":              {"PARSE p FETCH q", "EXECUTE p k"},
}

// Guards against statements of a route or team with homes that are sent to a host outside of them (HOME) while no host of the home's
// region runs and connections are scarce.
func TestHomesWithoutHosts(t *testing.T) {
	foreign := &recordingGateway{}
	h := newHomesHost(t, 30*time.Millisecond, foreign.start(t), &fleetpb.EntryHost{Host: "home0", Zone: homeZone, Peer: closedAddress(t)})
	for form, texts := range forms {
		for _, kind := range catalog.KindValues() {
			t.Run(form+"/"+kind.String(), func(t *testing.T) {
				free := h.runScript(kind.String()+"-free key", texts...)
				require.NotContains(t, free, "ERROR", "without homes the hosts of the third region serve")
				require.NotEmpty(t, foreign.received())
				for _, bound := range boundCallers {
					answer := h.runScript(kind.String()+"-"+bound, texts...)
					require.Contains(t, answer, "ERROR BUSY", "nothing of the statement was run")
					require.Empty(t, foreign.received(), "no statement leaves its homes")
				}
			})
		}
	}
}

// Guards against a refusal while a host of the home's region runs, though none of the upstream's availability zone does: hosts of other
// regions would come first in the order of those that hold connections.
func TestHomesWithHostOfOtherZone(t *testing.T) {
	foreign, home := &recordingGateway{}, &recordingGateway{}
	h := newHomesHost(t, time.Minute, foreign.start(t),
		&fleetpb.EntryHost{Host: "home0", Zone: homeZone, Peer: closedAddress(t)},
		&fleetpb.EntryHost{Host: "home1", Zone: "home-b", Peer: home.start(t)})
	for form, texts := range forms {
		for _, kind := range catalog.KindValues() {
			t.Run(form+"/"+kind.String(), func(t *testing.T) {
				for _, bound := range boundCallers {
					require.NotContains(t, h.runScript(kind.String()+"-"+bound, texts...), "ERROR")
					require.NotEmpty(t, home.received())
					require.Empty(t, foreign.received())
				}
			})
		}
	}
}
