package command_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/operator/command"
)

const configuration = `zones: [{name: north, region: moravia}]
services: [{name: orders, upstreams: 1, slots: 2, connections: 20, age: 2s, deadline: 5s}]
teams: [{name: brno, rate: 200, burst: 100}]
`

const secret = "operator-secret-0"

// fakeLeader is a control leader with a real control state. It can lose its next responses after it has made the changes.
type fakeLeader struct {
	fleetpb.Control
	machine     *control.Machine
	index       uint64
	loseAnswers int
	calls       int
}

func (f *fakeLeader) apply(change *fleetpb.Change) any {
	f.index++
	return f.machine.Apply(f.index, change)
}

func (f *fakeLeader) Apply(_ context.Context, request *fleetpb.ApplyRequest) (*fleetpb.ApplyResponse, error) {
	change, refused := control.ApplyChange(request, f.machine.TextVersion())
	if refused != nil {
		return refused, nil
	}
	return f.apply(change).(*fleetpb.ApplyResponse), nil
}

func (f *fakeLeader) GiveKey(_ context.Context, request *fleetpb.GiveKeyRequest) (*fleetpb.KeyResponse, error) {
	return f.apply(&fleetpb.Change{Kind: &fleetpb.Change_Give{Give: request}}).(*fleetpb.KeyResponse), nil
}

func (f *fakeLeader) WithdrawKey(_ context.Context, request *fleetpb.WithdrawKeyRequest) (*fleetpb.KeyResponse, error) {
	return f.apply(&fleetpb.Change{Kind: &fleetpb.Change_Withdraw{Withdraw: request}}).(*fleetpb.KeyResponse), nil
}

func (f *fakeLeader) Status(context.Context, *fleetpb.StatusRequest) (*fleetpb.StatusResponse, error) {
	return &fleetpb.StatusResponse{
		TextVersion: uint64(f.machine.TextVersion()), Version: uint64(f.machine.Version()), LeaderHost: "c1",
		Voters: []string{"c1", "c2", "c3"}, Source: f.machine.Source(),
		Services: []*fleetpb.ServiceStatus{
			{Service: "orders", Reason: "primary u1 in zone north refuses connections", Group: &fleetpb.Group{
				Primary: "u1", Term: 3, Members: []*fleetpb.Member{{Upstream: "u1"}, {Upstream: "u2"}},
			}, Alive: []string{"u2"}},
			{Service: "rentals", Met: true},
		},
		Hosts: []*fleetpb.HostStatus{{Host: "h1", Zone: "north", Current: true, TextVersion: 2, SilentMs: 120}},
	}, nil
}

func (f *fakeLeader) Explain(_ context.Context, request *fleetpb.ExplainRequest) (*fleetpb.ExplainResponse, error) {
	if request.GetSubject() == "nothing" {
		return &fleetpb.ExplainResponse{}, nil
	}
	return &fleetpb.ExplainResponse{Events: []*fleetpb.Event{
		{UnixMs: 1767225600123, Host: "c1", Kind: "promoted", Subject: "orders/u2", Cause: "primary under term 4"},
	}}, nil
}

func (f *fakeLeader) Report(context.Context, *fleetpb.ReportRequest) (*fleetpb.ReportResponse, error) {
	return &fleetpb.ReportResponse{
		Text: "SERVICE LEVEL  5 MIN\n", LeaderHost: "c1", SinceUnixMs: 1767225600123, UnixMs: 1767225700123,
		Levels: []*fleetpb.Level{{Name: "worst-served team"}},
	}, nil
}

// handler serves the leader. While responses are to be lost, it closes the connection instead of responding.
func (f *fakeLeader) handler() http.Handler {
	server := fleetpb.NewControlServer(f)
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Authorization") != "Bearer "+secret {
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("wrong or missing secret"))
			return
		}
		f.calls++
		if f.loseAnswers > 0 {
			f.loseAnswers--
			server.ServeHTTP(httptest.NewRecorder(), request)
			panic(http.ErrAbortHandler)
		}
		server.ServeHTTP(w, request)
	})
}

// follower is a control host that names the leader in every response.
type follower struct {
	fleetpb.Control
	leader string
}

func (f follower) Apply(context.Context, *fleetpb.ApplyRequest) (*fleetpb.ApplyResponse, error) {
	return &fleetpb.ApplyResponse{Leader: f.leader}, nil
}

func (f follower) Status(context.Context, *fleetpb.StatusRequest) (*fleetpb.StatusResponse, error) {
	return &fleetpb.StatusResponse{Leader: f.leader}, nil
}

// terminal runs the program and records a transcript of what an operator sees.
type terminal struct {
	t   *testing.T
	dir string
	// names replaces the addresses of the servers, which differ in each run, by fixed names.
	names      *strings.Replacer
	transcript strings.Builder
	// seed is the value of all random bytes of the last command; each command gets the next value.
	seed byte
}

func (o *terminal) run(arguments ...string) string {
	var out, err bytes.Buffer
	o.seed++
	code := command.Run(o.t.Context(), command.Program{
		Out: &out, Err: &err, Random: bytes.NewReader(bytes.Repeat([]byte{o.seed}, 64)),
	}, arguments)
	fmt.Fprintf(&o.transcript, "$ tamarack %s\n%s", strings.Join(arguments, " "), out.String())
	for line := range strings.Lines(err.String()) {
		fmt.Fprintf(&o.transcript, "! %s", line)
	}
	fmt.Fprintf(&o.transcript, "(exit code %d)\n\n", code)
	return out.String()
}

func (o *terminal) comment(text string) {
	fmt.Fprintf(&o.transcript, "# %s\n", text)
}

func (o *terminal) write(name, content string) {
	require.NoError(o.t, os.WriteFile(filepath.Join(o.dir, name), []byte(content), 0o600))
}

func (o *terminal) golden(name string) {
	goldie.New(o.t, goldie.WithFixtureDir(fixtures)).Assert(o.t, name, []byte(o.names.Replace(o.transcript.String())))
}

// fixtures is the absolute path of the golden files; it is absolute since TestSession changes the working directory.
var fixtures = func() string {
	path, err := filepath.Abs("testdata")
	if err != nil {
		panic(err)
	}
	return path
}()

func address(server *httptest.Server) string {
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards invariants 14 and 6 in the operators' program: an apply or a key that takes effect twice after a lost response, a
// race that is reported as a success, a key that is printed although it is not in force, and a wrong exit code.
func TestSession(t *testing.T) {
	leader := &fakeLeader{machine: control.NewMachine()}
	leading := httptest.NewServer(leader.handler())
	defer leading.Close()
	following := httptest.NewServer(fleetpb.NewControlServer(follower{leader: address(leading)}))
	defer following.Close()
	stopped := httptest.NewServer(http.NotFoundHandler())
	stopped.Close()

	o := &terminal{t: t, dir: t.TempDir(), names: strings.NewReplacer(
		address(leading), "LEADER", address(following), "FOLLOWER", address(stopped), "GONE")}
	t.Chdir(o.dir)
	o.write("fleet.yaml", configuration)
	o.write("broken.yaml", strings.Replace(configuration, "rate: 200", "rate: 0", 1))
	o.write("settings.yaml", fmt.Sprintf("control: [%q, %q, %q]\nsecret: %s\n", address(stopped), address(following), address(leading), secret))
	o.write("wrong.yaml", fmt.Sprintf("control: [%q]\nsecret: wrong-secret-0000\n", address(leading)))
	o.write("lost.yaml", fmt.Sprintf("control: [%q]\nsecret: %s\n", address(stopped), secret))
	t.Setenv("TAMARACK_SETTINGS", "settings.yaml")

	o.run("check", "fleet.yaml")
	o.run("check", "broken.yaml")
	o.run("check", "missing.yaml")
	o.run("apply", "--expect", "0", "broken.yaml")
	o.comment("the first control host is down, the second one names the leader, and the leader's first two answers are lost")
	leader.loseAnswers = 2
	o.run("apply", "--expect", "0", "--id", "monday", "fleet.yaml")
	require.Equal(t, 3, leader.calls)
	o.run("apply", "--expect", "0", "--id", "monday", "fleet.yaml")
	o.run("apply", "--expect", "0", "fleet.yaml")
	leader.loseAnswers = 1
	require.NotEmpty(t, o.run("key", "give", "brno"))
	require.Empty(t, o.run("key", "give", "praha"), "a key is printed that is not in force")
	id := strings.Repeat(fmt.Sprintf("%02x", o.seed-1), 8)
	o.run("key", "withdraw", id)
	o.run("key", "withdraw", "none")
	o.run("status")
	require.Equal(t, configuration, o.run("status", "--source"))
	o.run("explain", "orders")
	o.run("explain", "nothing")
	o.run("report")
	o.run("report", "--html", "levels.html")
	require.FileExists(t, "levels.html")
	o.run("report", "--html", "missing/levels.html")
	o.run("status", "--settings", "wrong.yaml")
	o.run("apply", "--timeout", "600ms", "--settings", "lost.yaml", "--id", "tuesday", "--expect", "1", "fleet.yaml")
	require.Empty(t, o.run("key", "give", "brno", "--timeout", "600ms", "--settings", "lost.yaml"))
	o.run("status", "--settings", "fleet.yaml")
	o.run("apply", "fleet.yaml")
	o.run("reset")
	o.run("report", "orders")
	o.golden("session")
}

// Guards against unintended changes of the help, which documents the exit codes.
func TestHelp(t *testing.T) {
	o := &terminal{t: t, names: strings.NewReplacer()}
	o.run("--help")
	o.run("apply", "--help")
	o.run("key", "--help")
	o.golden("help")
}
