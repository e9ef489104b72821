package entry_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/entry"
	"tamarackshunt.dev/node/routing"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/wire"
	"tamarackshunt.dev/standin/platform"
)

// tokens holds the remaining tokens of each team.
type tokens struct {
	mu   sync.Mutex
	left map[ident.Team]int
	// refusal, if not nil, is the answer to every request.
	refusal error
	// arrived, if not nil, receives a value from each request, which then waits for the end of its context.
	arrived chan struct{}
}

// newTokens returns tokens of one team.
func newTokens(count int) *tokens {
	return &tokens{left: map[ident.Team]int{"team": count}}
}

// Take implements entry.Quota.
func (t *tokens) Take(ctx context.Context, request limit.Request) error {
	if t.arrived != nil {
		t.arrived <- struct{}{}
		<-ctx.Done()
		return ctx.Err()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refusal != nil {
		return t.refusal
	}
	if t.left[request.Team] == 0 {
		return errors.New("none left")
	}
	t.left[request.Team]--
	if request.Receipt != nil {
		request.Receipt.Team = request.Team
	}
	return nil
}

// Refund implements entry.Quota.
func (t *tokens) Refund(receipt limit.Receipt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left[receipt.Team]++
}

// host is an entry host with a service of one primary and one replica.
type host struct {
	t               *testing.T
	address         string
	group           *platform.Group
	primary         *platform.Upstream
	replica         *platform.Upstream
	table           *routing.Table
	idleTransaction time.Duration
	directory       *fleetpb.Directory
	// connections is the configured number of connections of an upstream, and timeout and objective are those of the routes.
	connections int
	timeout     time.Duration
	objective   time.Duration
	quota       *tokens
}

func newHost(t *testing.T, idleTransaction time.Duration) *host {
	return newHostWith(t, idleTransaction, func(connection io.ReadWriter) upstream.Session { return wire.NewUpstream(connection) })
}

func newHostWith(t *testing.T, idleTransaction time.Duration, protocol upstream.Protocol) *host {
	h := &host{
		t: t, group: platform.NewGroup("svc"), idleTransaction: idleTransaction, connections: 20, timeout: 5 * time.Second, objective: 4 * time.Second,
		quota: newTokens(100),
		table: routing.New(routing.Options{Host: "h", Zone: "z", Protocol: protocol}),
	}
	start := func(id string) *platform.Upstream {
		u, err := h.group.Start(platform.Options{ID: id, Zone: "z", Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: 20})
		require.NoError(t, err)
		t.Cleanup(u.Crash)
		return u
	}
	h.primary, h.replica = start("i-1"), start("i-2")
	h.configure(1, "key")
	h.directory = &fleetpb.Directory{
		Primaries: []*fleetpb.PrimaryView{{Service: "svc", Upstream: "i-1"}},
		Upstreams: []*fleetpb.Announcement{
			{Upstream: "i-1", Service: "svc", Address: h.primary.Address, Zone: "z", Capacity: 2},
			{Upstream: "i-2", Service: "svc", Address: h.replica.Address, Zone: "z", Capacity: 2},
		},
	}
	h.table.SetDirectory(h.directory)
	h.serve()
	return h
}

// serve accepts sessions for the host's table.
func (h *host) serve() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = listener.Close() })
	h.address = listener.Addr().String()
	server := entry.New(entry.Options{
		Protocol: func(connection io.ReadWriter) entry.Caller { return wire.NewCaller(connection) },
		Table:    h.table, Quota: h.quota, Grace: time.Minute,
	})
	go func() { _ = server.Serve(listener) }()
}

func (h *host) configure(version ident.Version, key string) {
	h.configureTeams(version, catalog.Team{Name: "team", Keys: []string{key, "other-key"}})
}

// configureTeams puts a configuration with the given teams, and the team that has no tokens, into force.
func (h *host) configureTeams(version ident.Version, teams ...catalog.Team) {
	route := func(name string, kind catalog.Kind) catalog.Route {
		return catalog.Route{
			Name: name, Database: ident.Route(name), Kind: kind, Timeout: h.timeout, Objective: h.objective, Service: "svc",
			Staleness: time.Minute,
		}
	}
	public := route("public", catalog.KindPrimary)
	public.Public = true
	c, err := catalog.New(catalog.Description{
		Version: version, IdleTransaction: h.idleTransaction, Services: []catalog.Service{{Name: "svc", Connections: h.connections}},
		Routes: []catalog.Route{
			route("primary", catalog.KindPrimary), route("session", catalog.KindSession), route("bounded", catalog.KindBounded), public,
		},
		Teams: append(teams, catalog.Team{Name: "poor", Keys: []string{"poor"}}),
	})
	require.NoError(h.t, err)
	h.table.SetCatalog(c)
}

// dial opens a session.
func (h *host) dial(connect string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", h.address)
	require.NoError(h.t, err)
	in := bufio.NewReader(c)
	_, err = fmt.Fprintf(c, "CONNECT %s\r\n", connect)
	require.NoError(h.t, err)
	require.Equal(h.t, "IDLE I", readIdle(h.t, c, in)[:6])
	return c, in
}

// ask sends a statement and returns the last line of its answer.
func (h *host) ask(c net.Conn, in *bufio.Reader, text string) string {
	_, err := fmt.Fprintf(c, "QUERY 1 %s\r\n", text)
	require.NoError(h.t, err)
	return readIdle(h.t, c, in)
}

// readIdle returns the line that ends an answer; an error in the answer fails the test.
func readIdle(t *testing.T, c net.Conn, in *bufio.Reader) string {
	for {
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		line, err := in.ReadString('\n')
		require.NoError(t, err)
		require.False(t, strings.HasPrefix(line, "ERROR"), line)
		if strings.HasPrefix(line, "IDLE") {
			return line
		}
	}
}

// runScript opens a session, sends each step after the answer to the one before, and returns the transcript. A step that begins
// with "!" is an event for applyEvent instead.
func (h *host) runScript(connect string, steps ...string) string {
	c, err := net.Dial("tcp", h.address)
	require.NoError(h.t, err)
	defer c.Close()
	in := bufio.NewReader(c)
	var transcript strings.Builder
	send := func(line string) bool {
		fmt.Fprintf(&transcript, "> %s\n", line)
		_, err := fmt.Fprintf(c, "%s\r\n", line)
		require.NoError(h.t, err)
		for {
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
			answer, err := in.ReadString('\n')
			if err != nil {
				transcript.WriteString("closed\n")
				return false
			}
			answer = strings.TrimRight(answer, "\r\n")
			fmt.Fprintf(&transcript, "< %s\n", answer)
			if strings.HasPrefix(answer, "IDLE") {
				return true
			}
		}
	}
	open := send("CONNECT " + connect)
	for i, step := range steps {
		if !open {
			break
		}
		if event, found := strings.CutPrefix(step, "!"); found {
			fmt.Fprintf(&transcript, "%s\n", event)
			h.applyEvent(event)
			continue
		}
		open = send(fmt.Sprintf("QUERY id%d %s", i, step))
	}
	return transcript.String()
}

// applyEvent causes or awaits an event outside of the session, such as a promotion.
func (h *host) applyEvent(event string) {
	switch event {
	case "replica is deaf":
		h.replica.SetReplicationPaused(true)
	case "replica leads":
		require.True(h.t, h.group.Promote("i-2"))
	case "answer is lost":
		h.primary.DropWriteAnswers(1)
	case "key is withdrawn":
		h.configure(3, "another")
	case "key is given to another team":
		h.configureTeams(3, catalog.Team{Name: "team", Keys: []string{"other-key"}}, catalog.Team{Name: "new", Keys: []string{"key"}})
	case "zone is evacuated":
		h.directory.Evacuated = []string{"z"}
		h.table.SetDirectory(h.directory)
	case "evacuation is taken back":
		h.directory.Evacuated = nil
		h.table.SetDirectory(h.directory)
	case "caller rests":
		require.Eventually(h.t, func() bool { return h.primary.OpenTransactions() == 0 }, 20*time.Second, time.Millisecond)
	default:
		h.t.Fatalf("unknown step %q", event)
	}
}

// Each golden file is the transcript of a session as the caller sees it. They guard against wrong outcomes, requests that are
// accepted in the wrong state, sessions that lose their state, and reads of data that is too old.
func TestSessions(t *testing.T) {
	g := goldie.New(t)
	for name, c := range map[string]struct {
		connect         string
		idleTransaction time.Duration
		steps           []string
	}{
		"statements": {"session key", 0, []string{"STORE a 1", "FETCH a", "CONFIGURE lang sk", "FETCH a", "PARSE p FETCH q", "EXECUTE p a", "CLOSE p", "EXECUTE p a", "FETCH a"}},
		"transaction": {"primary key", 0, []string{
			"BEGIN", "STORE a 1", "STORE b 2", "COMMIT", "FETCH a", "BEGIN", "STORE a 9", "ROLLBACK", "FETCH a", "BEGIN FETCH", "FETCH b", "COMMIT",
		}},
		"wrong_state": {"primary key", 0, []string{
			"COMMIT", "ROLLBACK", "BEGIN", "BEGIN", "FETCH a", "COMMIT", "FETCH a", "SINCE 1.1 FETCH a", "STATUS", "BEGIN", "NONSENSE", "ROLLBACK",
		}},
		"lost_write":        {"primary key", 0, []string{"STORE a 1", "!answer is lost", "STORE a 2", "FETCH a"}},
		"lost_commit":       {"primary key", 0, []string{"BEGIN", "STORE a 1", "!answer is lost", "COMMIT", "FETCH a"}},
		"lost_lead":         {"primary key", 0, []string{"BEGIN", "STORE a 1", "!replica leads", "STORE b 1", "COMMIT", "BEGIN"}},
		"own_write":         {"session key", 0, []string{"STORE a 1", "!replica is deaf", "STORE a 2", "FETCH a", "BEGIN FETCH", "FETCH a", "COMMIT"}},
		"key_withdrawn":     {"primary key", 0, []string{"FETCH a", "!key is withdrawn", "FETCH a", "BEGIN"}},
		"rested":            {"primary key", 50 * time.Millisecond, []string{"BEGIN", "STORE a 1", "!caller rests", "STORE b 1", "COMMIT", "FETCH a"}},
		"no_route":          {"nowhere key", 0, nil},
		"wrong_key":         {"primary other", 0, nil},
		"no_token":          {"primary poor", 0, []string{"STORE a 1", "BEGIN"}},
		"empty_transaction": {"primary key", 0, []string{"BEGIN", "COMMIT", "BEGIN", "ROLLBACK"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, c.idleTransaction)
			g.Assert(t, name, []byte(h.runScript(c.connect, c.steps...)))
			require.Empty(t, h.group.Violations())
		})
	}
}

// Guards against stale reads after a change of the primary: the deposed primary commits a transaction without writes, and its position
// then counts as one that includes the new primary's writes.
func TestCommitWithoutWritesIsNoProof(t *testing.T) {
	h := newHost(t, time.Minute)
	c, in := h.dial("primary key")
	defer c.Close()
	for _, statement := range []string{"BEGIN", "FETCH a"} {
		require.Equal(t, "IDLE T", h.ask(c, in, statement)[:6])
	}
	h.primary.SetReplicationPaused(true)
	require.True(t, h.group.Promote("i-2"))
	require.True(t, h.group.Store("after", "a", "new"))
	acknowledged := steady.Now()
	require.Equal(t, "IDLE I", h.ask(c, in, "COMMIT")[:6], "the deposed primary has nothing to refuse")

	route := h.table.Catalog().Route("bounded")
	position, err := h.table.Since(t.Context(), route, nil, acknowledged)
	var unknown *routing.NoPositionError
	require.ErrorAs(t, err, &unknown, "position %v, although the host reaches the deposed primary only", position)

	h.directory.Primaries[0].Upstream = "i-2"
	h.table.SetDirectory(h.directory)
	position, err = h.table.Since(t.Context(), route, nil, acknowledged)
	require.NoError(t, err)
	require.Equal(t, ident.Term(2), position.Term)
}
