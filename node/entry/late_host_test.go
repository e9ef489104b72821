package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/routing"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/wire"
	"tamarackshunt.dev/standin/platform"
)

// newHostBehindGateway returns a host whose statements go through the gateway of another host, and that host's table.
func newHostBehindGateway(t *testing.T) (*host, *routing.Table) {
	h := &host{t: t, group: platform.NewGroup("svc"), idleTransaction: time.Minute, connections: 20, timeout: 3 * time.Second, objective: 3 * time.Second, quota: newTokens(100)}
	u, err := h.group.Start(platform.Options{ID: "i-1", Zone: "z", Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: 20})
	require.NoError(t, err)
	t.Cleanup(u.Crash)
	h.primary = u
	holder := routing.New(routing.Options{Host: "holder", Zone: "z", Protocol: func(connection io.ReadWriter) upstream.Session { return wire.NewUpstream(connection) }})
	server := httptest.NewServer(gateway.NewServer(holder).Handler())
	t.Cleanup(server.Close)
	h.table = routing.New(routing.Options{
		Host: "h", Zone: "other", Gateways: gateway.NewClient(http.DefaultClient, func(address string) string { return "http://" + address }),
	})
	h.directory = &fleetpb.Directory{
		Hosts: []*fleetpb.EntryHost{
			{Host: "holder", Zone: "z", Peer: strings.TrimPrefix(server.URL, "http://")}, {Host: "h", Zone: "other", Peer: closedAddress(t)},
		},
		Primaries: []*fleetpb.PrimaryView{{Service: "svc", Upstream: "i-1"}},
		Upstreams: []*fleetpb.Announcement{{Upstream: "i-1", Service: "svc", Address: u.Address, Zone: "z", Capacity: 2}},
	}
	h.configure(2, "key")
	holder.SetCatalog(h.table.Catalog())
	h.table.SetDirectory(h.directory)
	holder.SetDirectory(h.directory)
	h.serve()
	return h, holder
}

// teamsWithKeys returns a configuration like another one, with other teams.
func teamsWithKeys(t *testing.T, c *catalog.Catalog, version ident.Version, teams ...catalog.Team) *catalog.Catalog {
	next := c.Description
	next.Version, next.Teams = version, teams
	changed, err := catalog.New(next)
	require.NoError(t, err)
	return changed
}

// Guards against statements under a lost key that run since the caller's host has not heard of the change, though the host that holds the
// connection has: transactions end with a promise, and single statements are refused as not run.
func TestChangedKeyOnLateHost(t *testing.T) {
	for change, teams := range map[string][]catalog.Team{
		"withdrawn": {{Name: "team", Keys: []string{"other-key"}}},
		"given":     {{Name: "team", Keys: []string{"other-key"}}, {Name: "new", Keys: []string{"key"}}},
	} {
		single := map[string]string{"withdrawn": "ERROR DENIED", "given": "ERROR BUSY"}[change]
		// Nothing of a transaction without a first statement can be kept, so the host waits for its own view to change.
		first := map[string]string{"withdrawn": "ERROR ABORTED", "given": "ERROR BUSY"}[change]
		for name, c := range map[string]struct {
			before   []string
			after    []string
			expected string
		}{
			"read":                      {nil, []string{"FETCH a"}, single},
			"write":                     {nil, []string{"STORE a 1"}, single},
			"prepared write":            {[]string{"PARSE p STORE q"}, []string{"EXECUTE p a 1"}, single},
			"transaction":               {nil, []string{"BEGIN", "STORE a 1"}, first},
			"read in a transaction":     {[]string{"BEGIN", "STORE a 1"}, []string{"FETCH a"}, "ERROR ABORTED"},
			"write in a transaction":    {[]string{"BEGIN", "FETCH a"}, []string{"STORE a 1"}, "ERROR ABORTED"},
			"commit":                    {[]string{"BEGIN", "STORE a 1"}, []string{"COMMIT"}, "ERROR ABORTED"},
			"read-only transaction":     {[]string{"BEGIN FETCH", "FETCH a"}, []string{"FETCH b"}, "ERROR ABORTED"},
			"commit of read-only":       {[]string{"BEGIN FETCH", "FETCH a"}, []string{"COMMIT"}, "ERROR ABORTED"},
			"prepared in a transaction": {[]string{"PARSE p STORE q", "BEGIN", "EXECUTE p a 1"}, []string{"EXECUTE p b 1"}, "ERROR ABORTED"},
		} {
			for _, database := range []string{"primary", "session", "bounded"} {
				t.Run(strings.Join([]string{change, name, database}, "/"), func(t *testing.T) {
					// Statements of a key that was given away are tried for the whole timeout.
					t.Parallel()
					h, holder := newHostBehindGateway(t)
					lost, held := h.connectWith(database+" key"), h.connectWith(database+" other-key")
					for _, caller := range []*caller{lost, held} {
						for _, text := range c.before {
							caller.send("QUERY before " + text)
							caller.awaitIdle()
						}
					}
					ran := h.countRuns()
					require.True(t, holder.SetCatalog(teamsWithKeys(t, holder.Catalog(), 3, teams...)))
					for i, text := range c.after {
						lost.send("QUERY after " + text)
						if i < len(c.after)-1 {
							lost.awaitIdle()
						}
					}
					require.Contains(t, lost.firstLine(), c.expected)
					require.Equal(t, ran, h.countRuns(), "nothing has run for the lost key")
					for _, text := range c.after {
						held.send("QUERY after " + text)
						held.awaitIdle()
					}
				})
			}
		}
	}
}

// Guards against a refusal of a key that was given just now, by a gateway that has not heard of it.
func TestGivenKeyAtLateGateway(t *testing.T) {
	h, holder := newHostBehindGateway(t)
	require.True(t, h.table.SetCatalog(teamsWithKeys(t, holder.Catalog(), 3, catalog.Team{Name: "team", Keys: []string{"fresh"}})))
	for _, database := range []string{"primary", "session", "bounded"} {
		transcript := h.runScript(database+" fresh", "STORE a 1", "FETCH a", "BEGIN", "STORE a 2", "COMMIT", "BEGIN FETCH", "FETCH a", "COMMIT")
		require.NotContains(t, transcript, "ERROR", transcript)
	}
}
