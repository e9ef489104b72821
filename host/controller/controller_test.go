package controller_test

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/controller"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/replica"
)

const yaml = `zones: [{name: north, region: moravia}]
services: [{name: orders, upstreams: 1, slots: 2, connections: 20, age: 2s, deadline: 5s}]
teams: [{name: brno, rate: 200, burst: 100}]
`

var secrets = &fleetpb.Secrets{Fleet: "fleet-secret-0000", Operator: "operator-secret-0", Announce: "announce-secret-0"}

// parts records the calls of the controller to its parts.
type parts struct {
	mu    sync.Mutex
	calls []string
}

func (p *parts) record(call string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, call)
}

func (p *parts) SetLeadership(ident.Time, control.Leadership) { p.record("leadership") }

func (p *parts) SetState(_ ident.Time, text *fleetpb.Text, groups []*fleetpb.Group) {
	p.record("state with " + strings.Repeat("service ", len(text.GetServices())) + strings.Repeat("group ", len(groups)))
}

func (p *parts) Observed(_ ident.Time, host ident.Host, _ ident.Zone, _ []*fleetpb.Observed) {
	p.record("observed by " + string(host))
}

func (p *parts) Announced(_ ident.Time, request *fleetpb.AnnounceRequest) {
	p.record("announced " + request.GetMember().GetUpstream())
}

func (p *parts) Borrow(_ ident.Time, request *fleetpb.BorrowRequest) *fleetpb.BorrowResponse {
	return &fleetpb.BorrowResponse{Lent: request.GetWanted()}
}

func (p *parts) Allot(_ ident.Time, _ *fleetpb.SyncRequest, live []*fleetpb.Alive) []*fleetpb.Allotment {
	return []*fleetpb.Allotment{{Service: "orders", Connections: uint32(len(live))}}
}

// follower is the log of a control host that does not lead; leader is the leader's address, or "" when it is not known.
type follower struct{ leader string }

func (f follower) Propose(context.Context, *fleetpb.Change) (proto.Message, error) {
	return nil, &control.NotLeaderError{}
}

func (f follower) Leadership() replica.Leadership { return replica.Leadership{Leader: f.leader} }

func (f follower) Members() *fleetpb.Voters { return nil }

// serve runs a controller behind an HTTP server; log returns its control log.
func serve(t *testing.T, p controller.Parts, log func(*controller.Controller, func() ident.Time) controller.Log) *httptest.Server {
	start := time.Now()
	clock := func() ident.Time { return ident.Time(time.Since(start)) }
	peers := peer.New(peer.Options{Secret: secrets.GetFleet()})
	c, err := controller.New(controller.Options{Host: "c1", Secrets: secrets, Clock: clock, Parts: p, Peers: peers})
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(fleetpb.ControlPathPrefix, c.Handler())
	mux.Handle("/announce", controller.AnnounceHandler(secrets.GetAnnounce(), c.Announce))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	c.Start(log(c, clock))
	t.Cleanup(c.Close)
	return server
}

func newLocalLog(c *controller.Controller, clock func() ident.Time) controller.Log {
	return newSingleLog("c1", "c1:1", c.Machine(), clock)
}

func withSecret(t *testing.T, secret string) context.Context {
	ctx, err := twirp.WithHTTPRequestHeaders(t.Context(), http.Header{"Authorization": {"Bearer " + secret}})
	require.NoError(t, err)
	return ctx
}

func post(t *testing.T, url, secret, body string) int {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/announce", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against a configuration text, a key or an announcement that does not reach the sync of a host, and against parts
// that are not notified of the leadership, the state, an observation or an announcement.
func TestControl(t *testing.T) {
	p := &parts{}
	server := serve(t, controller.Parts{Failover: p, Tokens: p, Connections: p}, newLocalLog)
	client := fleetpb.NewControlProtobufClient(server.URL, http.DefaultClient)
	operator, fleet := withSecret(t, secrets.GetOperator()), withSecret(t, secrets.GetFleet())

	bad, err := client.Apply(operator, &fleetpb.ApplyRequest{Id: "a0", File: "fleet.yaml", Source: []byte("zones: [{}]")})
	require.NoError(t, err)
	require.False(t, bad.GetAccepted())
	require.Contains(t, strings.Join(bad.GetProblems(), "\n"), "fleet.yaml:1:")
	applied, err := client.Apply(operator, &fleetpb.ApplyRequest{Id: "a1", File: "fleet.yaml", Source: []byte(yaml)})
	require.NoError(t, err)
	require.True(t, applied.GetAccepted(), applied.GetProblems())
	hash := sha256.Sum256([]byte("secret"))
	given, err := client.GiveKey(operator, &fleetpb.GiveKeyRequest{Id: "k1", Team: "brno", Key: "key", Hash: hash[:]})
	require.NoError(t, err)
	require.True(t, given.GetDone(), given.GetProblem())

	const good = `{"service":"orders","upstream":"u1","address":"127.0.0.1:1","zone":"north","region":"moravia","leaseMs":3000}`
	require.Equal(t, http.StatusOK, post(t, server.URL, secrets.GetAnnounce(), good))
	require.Equal(t, http.StatusUnauthorized, post(t, server.URL, secrets.GetOperator(), good))
	require.Equal(t, http.StatusUnprocessableEntity, post(t, server.URL, secrets.GetAnnounce(), strings.Replace(good, "orders", "stock", 1)))
	require.Equal(t, http.StatusBadRequest, post(t, server.URL, secrets.GetAnnounce(), strings.Replace(good, "zone", "zones", 1)))

	synced, err := client.Sync(fleet, &fleetpb.SyncRequest{Host: "h1", Incarnation: 1, Zone: "north"})
	require.NoError(t, err)
	require.Equal(t, uint32(control.Lease.Milliseconds()), synced.GetLeaseMs())
	require.Equal(t, "orders", synced.GetState().GetText().GetServices()[0].GetName())
	require.Equal(t, "key", synced.GetState().GetKeys()[0].GetId())
	require.Equal(t, uint32(1), synced.GetAllotments()[0].GetConnections())
	lent, err := client.Borrow(fleet, &fleetpb.BorrowRequest{Host: "h1", Wanted: []*fleetpb.Tokens{{Team: "brno", Amount: 5}}})
	require.NoError(t, err)
	require.Len(t, lent.GetLent(), 1)

	status, err := client.Status(operator, &fleetpb.StatusRequest{})
	require.NoError(t, err)
	require.Equal(t, []string{"c1"}, status.GetVoters())
	require.Equal(t, yaml, string(status.GetSource()))
	explained, err := client.Explain(operator, &fleetpb.ExplainRequest{Subject: "brno"})
	require.NoError(t, err)
	require.Equal(t, "given by request k1", explained.GetEvents()[0].GetCause())
	report, err := client.Report(operator, &fleetpb.ReportRequest{})
	require.NoError(t, err)
	require.Contains(t, report.GetText(), "reads served by replicas")
	require.Equal(t, "reads served by replicas", report.GetLevels()[0].GetName())
	require.Equal(t, "c1", report.GetLeaderHost())
	require.LessOrEqual(t, report.GetSinceUnixMs(), report.GetUnixMs())
	require.NotZero(t, report.GetSinceUnixMs())

	p.mu.Lock()
	defer p.mu.Unlock()
	require.Equal(t, []string{"leadership", "leadership", "leadership", "state with ", "state with ", "state with "}, p.calls[:6])
	require.Contains(t, p.calls, "state with service ")
	require.Subset(t, p.calls, []string{"announced u1", "observed by h1"})
}

// Guards against a method that answers a call without its secret, or with a secret of another group: operators, hosts and
// upstreams have one each.
func TestSecrets(t *testing.T) {
	server := serve(t, controller.Parts{}, newLocalLog)
	accepted := map[string]string{
		"Sync": "fleet", "Borrow": "fleet", "Announce": "fleet announce", "Apply": "operator", "GiveKey": "operator",
		"WithdrawKey": "operator", "Status": "operator", "Explain": "operator", "Report": "operator", "Unknown": "",
	}
	presented := map[string]string{
		"fleet": secrets.GetFleet(), "operator": secrets.GetOperator(), "announce": secrets.GetAnnounce(),
		"prefix": secrets.GetFleet()[:5], "": "",
	}
	for method, allowedNames := range accepted {
		for name, secret := range presented {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+fleetpb.ControlPathPrefix+method, strings.NewReader("{}"))
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+secret)
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			allowed := name != "" && strings.Contains(" "+allowedNames+" ", " "+name+" ")
			require.Equal(t, allowed, response.StatusCode != http.StatusUnauthorized, "%s with %q", method, name)
		}
	}
}

// Guards invariant 14: a control host that does not lead must not answer requests itself. It names the leader and
// forwards announcements to it.
func TestFollower(t *testing.T) {
	leader := serve(t, controller.Parts{}, newLocalLog)
	address := strings.TrimPrefix(leader.URL, "http://")
	server := serve(t, controller.Parts{}, func(*controller.Controller, func() ident.Time) controller.Log { return follower{address} })
	client := fleetpb.NewControlProtobufClient(server.URL, http.DefaultClient)
	operator, fleet := withSecret(t, secrets.GetOperator()), withSecret(t, secrets.GetFleet())

	synced, err := client.Sync(fleet, &fleetpb.SyncRequest{Host: "h1"})
	require.NoError(t, err)
	require.True(t, proto.Equal(&fleetpb.SyncResponse{Leader: address}, synced))
	applied, err := client.Apply(operator, &fleetpb.ApplyRequest{Id: "a1", Source: []byte(yaml)})
	require.NoError(t, err)
	require.True(t, proto.Equal(&fleetpb.ApplyResponse{Leader: address}, applied))
	const stock = `{"service":"stock","upstream":"u1","address":"127.0.0.1:1","zone":"north","region":"moravia","leaseMs":3000}`
	require.Equal(t, http.StatusUnprocessableEntity, post(t, server.URL, secrets.GetAnnounce(), stock), "the leader refuses")

	leaderless := serve(t, controller.Parts{}, func(*controller.Controller, func() ident.Time) controller.Log { return follower{} })
	_, err = fleetpb.NewControlProtobufClient(leaderless.URL, http.DefaultClient).Sync(fleet, &fleetpb.SyncRequest{Host: "h1"})
	var failure twirp.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, twirp.Unavailable, failure.Code())
	require.Equal(t, http.StatusServiceUnavailable, post(t, leaderless.URL, secrets.GetAnnounce(), stock))
}
