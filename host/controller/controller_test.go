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

// parts notes what the controller passes on.
type parts struct {
	mu   sync.Mutex
	told []string
}

func (p *parts) tell(what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told = append(p.told, what)
}

func (p *parts) SetLeadership(ident.Time, control.Leadership) { p.tell("office") }

func (p *parts) SetState(_ ident.Time, text *fleetpb.Text, groups []*fleetpb.Group) {
	p.tell("state with " + strings.Repeat("service ", len(text.GetServices())) + strings.Repeat("group ", len(groups)))
}

func (p *parts) Observed(_ ident.Time, host ident.Host, _ ident.Zone, _ []*fleetpb.Observed) {
	p.tell("observed by " + string(host))
}

func (p *parts) Announced(_ ident.Time, request *fleetpb.AnnounceRequest) {
	p.tell("announced " + request.GetMember().GetUpstream())
}

func (p *parts) Borrow(_ ident.Time, request *fleetpb.BorrowRequest) *fleetpb.BorrowResponse {
	return &fleetpb.BorrowResponse{Lent: request.GetWanted()}
}

func (p *parts) Allot(_ ident.Time, _ *fleetpb.SyncRequest, live []*fleetpb.Alive) []*fleetpb.Allotment {
	return []*fleetpb.Allotment{{Service: "orders", Connections: uint32(len(live))}}
}

// follower is the log of a control host that follows the leader at an address.
type follower struct{ leader string }

func (f follower) Propose(context.Context, *fleetpb.Change) (proto.Message, error) {
	return nil, &control.NotLeaderError{}
}

func (f follower) Leadership() replica.Leadership { return replica.Leadership{Leader: f.leader} }

func (f follower) Members() *fleetpb.Voters { return nil }

// serve runs a controller behind an HTTP server; log makes its control log.
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

func local(c *controller.Controller, clock func() ident.Time) controller.Log {
	return newSingleLog("c1", "c1:1", c.Machine(), clock)
}

func with(t *testing.T, secret string) context.Context {
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

// Guards the way from an operator's text, a key and an announcement to a host's sync, and what the other decisions of the
// control leader are told about it.
func TestControl(t *testing.T) {
	p := &parts{}
	server := serve(t, controller.Parts{Failover: p, Tokens: p, Connections: p}, local)
	client := fleetpb.NewControlProtobufClient(server.URL, http.DefaultClient)
	operator, fleet := with(t, secrets.GetOperator()), with(t, secrets.GetFleet())

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
	require.Equal(t, []string{"office", "office", "office", "state with ", "state with ", "state with "}, p.told[:6])
	require.Contains(t, p.told, "state with service ")
	require.Subset(t, p.told, []string{"announced u1", "observed by h1"})
}

// Guards the separation of operators, hosts and upstreams: a method that answers without its secret or with another one.
func TestSecrets(t *testing.T) {
	server := serve(t, controller.Parts{}, local)
	accepted := map[string]string{
		"Sync": "fleet", "Borrow": "fleet", "Announce": "fleet announce", "Apply": "operator", "GiveKey": "operator",
		"WithdrawKey": "operator", "Status": "operator", "Explain": "operator", "Report": "operator", "Unknown": "",
	}
	shown := map[string]string{
		"fleet": secrets.GetFleet(), "operator": secrets.GetOperator(), "announce": secrets.GetAnnounce(),
		"prefix": secrets.GetFleet()[:5], "": "",
	}
	for method, who := range accepted {
		for name, secret := range shown {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+fleetpb.ControlPathPrefix+method, strings.NewReader("{}"))
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+secret)
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			allowed := name != "" && strings.Contains(" "+who+" ", " "+name+" ")
			require.Equal(t, allowed, response.StatusCode != http.StatusUnauthorized, "%s with %q", method, name)
		}
	}
}

// Guards invariant 14 on a control host that does not lead: it names the leader and answers nothing itself, and passes
// announcements on.
func TestFollower(t *testing.T) {
	leader := serve(t, controller.Parts{}, local)
	address := strings.TrimPrefix(leader.URL, "http://")
	server := serve(t, controller.Parts{}, func(*controller.Controller, func() ident.Time) controller.Log { return follower{address} })
	client := fleetpb.NewControlProtobufClient(server.URL, http.DefaultClient)
	operator, fleet := with(t, secrets.GetOperator()), with(t, secrets.GetFleet())

	synced, err := client.Sync(fleet, &fleetpb.SyncRequest{Host: "h1"})
	require.NoError(t, err)
	require.True(t, proto.Equal(&fleetpb.SyncResponse{Leader: address}, synced))
	applied, err := client.Apply(operator, &fleetpb.ApplyRequest{Id: "a1", Source: []byte(yaml)})
	require.NoError(t, err)
	require.True(t, proto.Equal(&fleetpb.ApplyResponse{Leader: address}, applied))
	const stock = `{"service":"stock","upstream":"u1","address":"127.0.0.1:1","zone":"north","region":"moravia","leaseMs":3000}`
	require.Equal(t, http.StatusUnprocessableEntity, post(t, server.URL, secrets.GetAnnounce(), stock), "the leader refuses")

	lonely := serve(t, controller.Parts{}, func(*controller.Controller, func() ident.Time) controller.Log { return follower{} })
	_, err = fleetpb.NewControlProtobufClient(lonely.URL, http.DefaultClient).Sync(fleet, &fleetpb.SyncRequest{Host: "h1"})
	var failure twirp.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, twirp.Unavailable, failure.Code())
	require.Equal(t, http.StatusServiceUnavailable, post(t, lonely.URL, secrets.GetAnnounce(), stock))
}
