package routing

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
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
	order := new(Table).orderOf(hosts, upstream.Target{Upstream: "a", Zone: "z"})
	description := catalog.Description{Version: 1, Services: []catalog.Service{{Name: "svc", Connections: 20, WarmupRate: 10}}}
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
		holder, direct := table.chooseHolder(steady.Now(), m, scope{})
		require.False(t, direct)
		require.Equal(t, order[i], holder)
		table.recordFailure(holder, closed)
	}
	holder, direct := table.chooseHolder(steady.Now(), m, scope{})
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

// stubGateway answers all statements alike and counts them.
type stubGateway struct {
	fleetpb.Gateway
	response *fleetpb.UseResponse
	wait     time.Duration
	calls    atomic.Int32
}

// Use implements fleetpb.Gateway.
func (g *stubGateway) Use(context.Context, *fleetpb.UseRequest) (*fleetpb.UseResponse, error) {
	g.calls.Add(1)
	time.Sleep(g.wait)
	return g.response, nil
}

// Guards against a statement that is sent again and again to a host that holds no connections, because its directory is another one,
// although the next host in the order holds some; and against more than a few such calls if no host does.
func TestNextHolder(t *testing.T) {
	table, m, order := crowdedTable(t, 5)
	table.options.Gateways = gateway.NewClient(http.DefaultClient, func(address string) string { return "http://" + address })
	refusal := &fleetpb.UseResponse{
		Failure:     &fleetpb.UseFailure{Code: uint32(statement.CodeConnections)},
		Unreachable: []byte("none"), NotHolder: true, Load: &fleetpb.UpstreamLoad{Slots: 4},
	}
	stubs := make([]*stubGateway, 4)
	for i := range stubs {
		stubs[i] = &stubGateway{response: refusal}
		server := httptest.NewServer(fleetpb.NewGatewayServer(stubs[i]))
		t.Cleanup(server.Close)
		order[i].Peer = server.Listener.Addr().String()
	}
	stubs[1].response = &fleetpb.UseResponse{Ran: true, Rows: [][]byte{[]byte("row")}}
	execute := func() (upstream.Outcome, error) {
		return table.Executor(m.pool, &catalog.Route{}, table.Catalog().TeamOf("k1")).Execute(t.Context(), upstream.Use{ID: "1", Timeout: time.Minute})
	}
	outcome, err := execute()
	require.NoError(t, err)
	require.Equal(t, []string{"row"}, outcome.Result.Rows)
	require.Equal(t, order[1].GetPeer(), outcome.Gateway)
	require.False(t, m.pool.Report(steady.Now()).Known, "a host without connections doesn't measure the upstream's load")

	// Each host's answer takes longer than it is avoided.
	stubs[0].wait, stubs[1].wait, stubs[2].wait = notHolderTime, notHolderTime, notHolderTime
	stubs[1].response = refusal
	before := stubs[0].calls.Load() + stubs[1].calls.Load() + stubs[2].calls.Load()
	_, err = execute()
	var refused *statement.Failure
	require.ErrorAs(t, err, &refused)
	require.Equal(t, statement.CodeConnections, refused.Code)
	require.LessOrEqual(t, stubs[0].calls.Load()+stubs[1].calls.Load()+stubs[2].calls.Load()-before, int32(maxAsked))
	require.Zero(t, stubs[3].calls.Load(), "no host after the last resort is asked")
	require.False(t, m.pool.Load(steady.Now()).Avoid)
}

// warmUp sends a table the directory of an upstream in a zone that warms up, and returns a function that reports whether the host sends
// it statements meanwhile.
func warmUp(table *Table, zone string) func() bool {
	directory := proto.Clone(table.directory).(*fleetpb.Directory)
	directory.Upstreams[0].Zone, directory.Upstreams[0].WarmupMs = zone, 3600_000
	table.SetDirectory(directory)
	return func() bool { return table.member("svc", "a").pool.MeasuredLoad(steady.Now()).Service > 0 }
}

// Guards against an upstream that gets no statement while it warms up, because its gateway's process has ended or no host is in its zone;
// and against a host that stands in for the gateway and chooses by that one's last report.
func TestWarmupWithoutGateway(t *testing.T) {
	table, _, _ := crowdedTable(t, 2)
	sends := warmUp(table, "z")
	require.False(t, sends())
	table.Pool("svc", "a")
	require.Eventually(t, sends, 20*time.Second, time.Millisecond, "the host stands in for the gateway")
	table.mu.RLock()
	defer table.mu.RUnlock()
	g := table.groups["svc"]
	require.True(t, table.option(g.members[0], g, steady.Now()).Report.Known, "it measures the load itself")

	other, _, _ := crowdedTable(t, 0)
	require.True(t, warmUp(other, "elsewhere")(), "the first host of all zones holds the connections")
}

// silentSession waits for an answer to Connect that never comes.
type silentSession struct {
	upstream.Session
	connection io.Reader
}

// Connect implements upstream.Session.
func (s silentSession) Connect(ident.Service, ident.Team, ident.Upstream) (ident.Position, error) {
	_, err := s.connection.Read(make([]byte, 1))
	return ident.Position{}, err
}

// Guards against less urgent statements that are refused after a short wait for a host's only connection, although the upstream accepts
// enough connections for all hosts and teams.
func TestSmallDeploymentHoldsNobodyBack(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	table := New(Options{Host: "h0", Zone: "z", Protocol: func(connection io.ReadWriter) upstream.Session {
		return silentSession{connection: connection}
	}})
	c, err := catalog.New(catalog.Description{
		Version: 1, Services: []catalog.Service{{Name: "svc", Connections: 20}},
		Teams: []catalog.Team{{Name: "t0", Keys: []string{"0"}}, {Name: "t1", Keys: []string{"1"}}, {Name: "t2", Keys: []string{"2"}}},
	})
	require.NoError(t, err)
	require.True(t, table.SetCatalog(c))
	table.SetDirectory(&fleetpb.Directory{
		Hosts:     []*fleetpb.EntryHost{{Host: "h0", Zone: "z"}},
		Upstreams: []*fleetpb.Announcement{{Upstream: "a", Service: "svc", Address: listener.Addr().String(), Zone: "elsewhere", Born: 1}},
	})
	pool := table.Pool("svc", "a")
	get := func(team ident.Team, priority int, wait time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		defer cancel()
		_, err := pool.Get(ctx, team, priority)
		return err
	}
	require.Error(t, get("t0", 0, 0))
	opened := make(chan error)
	go func() { opened <- get("t1", 1, time.Minute) }()
	require.Eventually(t, func() bool { return pool.Connections() == 1 }, 10*time.Second, time.Millisecond)
	var refused *statement.Failure
	require.NotErrorAs(t, get("t2", 1, 300*time.Millisecond), &refused)
	require.Error(t, <-opened)
}
