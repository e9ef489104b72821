package routing

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/upstream"
)

// crowdedTable returns the table of the host at an index of the order for an upstream that accepts 20 connections, with 30 teams. The
// hosts' peer ports are closed.
func crowdedTable(t *testing.T, self int) (*Table, *member, []*fleetpb.EntryHost) {
	hosts := make([]*fleetpb.EntryHost, 6)
	for i := range hosts {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		hosts[i] = &fleetpb.EntryHost{Host: fmt.Sprint("h", i), Zone: "z", Peer: listener.Addr().String()}
		require.NoError(t, listener.Close())
	}
	order := orderOf(hosts, upstream.Target{Upstream: "a", Zone: "z"})
	description := catalog.Description{Version: 1, Services: []catalog.Service{{Name: "svc", Connections: 20}}}
	for i := range 30 {
		description.Teams = append(description.Teams, catalog.Team{Name: ident.Team(fmt.Sprint("t", i)), Keys: []string{fmt.Sprint("k", i)}})
	}
	c, err := catalog.New(description)
	require.NoError(t, err)
	table := New(Options{Host: ident.Host(order[self].GetHost()), Zone: "z", Gateways: gateway.NewClient(nil, nil)})
	require.True(t, table.SetCatalog(c))
	table.SetDirectory(&fleetpb.Directory{
		Hosts: hosts, Upstreams: []*fleetpb.Announcement{{Upstream: "a", Service: "svc", Address: "127.0.0.1:1", Zone: "z", Born: 1}},
	})
	return table, table.member("svc", "a"), order
}

// Guards against hosts that open connections of their own beside the gateway's, which add up to more than the upstream accepts.
func TestRoles(t *testing.T) {
	total := 2
	for i, want := range []connections.Role{
		connections.RoleGateway, connections.RoleSuccessor, connections.RoleLastResort, connections.RoleNone, connections.RoleNone,
	} {
		_, m, _ := crowdedTable(t, i)
		require.Equal(t, want, m.account.role)
		total += want.Size(20, true)
	}
	require.Equal(t, 20, total, "with the core's, the accounts are all that the upstream accepts")
}

// Guards against a host that goes on asking a gateway that fails, and one that opens its own connections after that.
func TestChooseHolder(t *testing.T) {
	table, m, order := crowdedTable(t, 4)
	for i, closed := range []bool{true, false, false, false} {
		holder, direct := table.chooseHolder(steady.Now(), m)
		require.False(t, direct)
		require.Equal(t, order[i], holder)
		table.recordFailure(holder, closed)
	}
	holder, direct := table.chooseHolder(steady.Now(), m)
	require.False(t, direct)
	require.Nil(t, holder, "beyond gateway, successor and last resort nobody opens connections, but one that is gone doesn't count")
}

// Guards against a successor that keeps to its reserve although the gateway's process has ended.
func TestSuccessorGrows(t *testing.T) {
	table, m, _ := crowdedTable(t, 2)
	require.Same(t, m.pool, table.Pool("svc", "a"))
	require.Eventually(t, func() bool {
		table.mu.RLock()
		defer table.mu.RUnlock()
		return m.account.role == connections.RoleGateway
	}, 20*time.Second, time.Millisecond)
}
