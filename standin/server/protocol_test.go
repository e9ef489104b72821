package server_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/server"
)

// caller is a connection whose messages are recorded in a transcript.
type caller struct {
	t          *testing.T
	frontend   *pgproto3.Frontend
	transcript strings.Builder
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &caller{t: t, frontend: pgproto3.NewFrontend(conn, conn)}
	c.frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "tamarack"}})
	c.frontend.Send(&pgproto3.PasswordMessage{Password: "secret"})
	require.NoError(t, c.frontend.Flush())
	for {
		msg, err := c.frontend.Receive()
		require.NoError(t, err)
		if _, ready := msg.(*pgproto3.ReadyForQuery); ready {
			return c
		}
	}
}

// exchange sends messages and records them and the replies, up to the given number of ReadyForQuery messages.
func (c *caller) exchange(title string, ready int, messages ...pgproto3.FrontendMessage) {
	fmt.Fprintf(&c.transcript, "\n# %s\n", title)
	for _, m := range messages {
		c.record("->", m)
		c.frontend.Send(m)
	}
	require.NoError(c.t, c.frontend.Flush())
	for ready > 0 {
		m, err := c.frontend.Receive()
		require.NoError(c.t, err)
		c.record("<-", m)
		if _, end := m.(*pgproto3.ReadyForQuery); end {
			ready--
		}
	}
}

func (c *caller) record(direction string, m pgproto3.Message) {
	switch m := m.(type) {
	case *pgproto3.ErrorResponse:
		fmt.Fprintf(&c.transcript, "%s error %s %s\n", direction, m.Code, m.Message)
	default:
		text, err := json.Marshal(m)
		require.NoError(c.t, err)
		fmt.Fprintf(&c.transcript, "%s %s\n", direction, text)
	}
}

// Guards against replies in an order that the protocol does not allow, especially after errors and with positions.
func TestProtocolTranscript(t *testing.T) {
	l := ledger.New(nil, nil)
	_, err := l.Promote(1)
	require.NoError(t, err)
	_, address := start(t, server.Options{Ledger: l})
	c := dial(t, address)
	bind := func(portal, name string, args ...string) *pgproto3.Bind {
		b := &pgproto3.Bind{DestinationPortal: portal, PreparedStatement: name}
		for _, a := range args {
			b.Parameters = append(b.Parameters, []byte(a))
		}
		return b
	}
	sync := &pgproto3.Sync{}
	c.exchange("prepare and run a write", 1,
		&pgproto3.Parse{Name: "add", Query: "INSERT INTO orders (id, note) VALUES ($1, $2)"},
		&pgproto3.Describe{ObjectType: 'S', Name: "add"}, bind("", "add", "o1", "n1"), &pgproto3.Execute{}, sync)
	c.exchange("an error skips everything until the next Sync", 2,
		bind("", "add", "o1", "again"), &pgproto3.Execute{}, bind("", "add", "o2", "skipped"), &pgproto3.Execute{}, sync,
		bind("", "add", "o3", "n3"), &pgproto3.Execute{}, sync)
	c.exchange("a portal that is read in parts", 1,
		&pgproto3.Parse{Name: "list", Query: "SELECT id, note FROM orders"}, bind("p", "list"),
		&pgproto3.Describe{ObjectType: 'P', Name: "p"}, &pgproto3.Execute{Portal: "p", MaxRows: 1}, &pgproto3.Execute{Portal: "p"}, sync)
	c.exchange("a failed transaction runs nothing until it ends", 4,
		&pgproto3.Query{String: "BEGIN"}, &pgproto3.Query{String: "INSERT INTO orders (id) VALUES ('o1')"},
		&pgproto3.Query{String: "SELECT 1"}, &pgproto3.Query{String: "COMMIT"})
	c.exchange("the position comes with the commit", 3,
		&pgproto3.Query{String: "BEGIN"}, &pgproto3.Query{String: "DELETE FROM orders WHERE id = 'o3'"}, &pgproto3.Query{String: "COMMIT"})
	c.exchange("a write without an effect still has a position", 1,
		&pgproto3.Query{String: "INSERT INTO orders (id) VALUES ('o1') ON CONFLICT DO NOTHING"})
	c.exchange("closed, dropped and unknown statements", 2,
		&pgproto3.Close{ObjectType: 'S', Name: "list"}, bind("", "list"), sync,
		&pgproto3.Query{String: "DEALLOCATE add; DISCARD ALL; SHOW transaction_read_only; DEALLOCATE add"})
	c.exchange("a fenced upstream reads, and says from where", 3,
		&pgproto3.Query{String: "SELECT tamarack_fence(2); SELECT tamarack_state()"},
		&pgproto3.Query{String: "SELECT count(*) FROM orders"}, &pgproto3.Query{String: "DELETE FROM orders WHERE id = 'o1'"})
	goldie.New(t).Assert(t, "protocol", []byte(c.transcript.String()))
}

// Guards against more running statements than slots, administrative functions that wait for a slot, more connections than
// the limit, and cancel requests without effect.
func TestSlotsAndLimits(t *testing.T) {
	url, address := start(t, server.Options{Slots: 2, Connections: 5})
	var callers []*caller
	for range 3 {
		c := dial(t, address)
		c.frontend.Send(&pgproto3.Query{String: "SELECT pg_sleep(3600)"})
		require.NoError(t, c.frontend.Flush())
		callers = append(callers, c)
	}
	admin := connect(t, url, pgx.QueryExecModeCacheStatement)
	_, err := admin.Exec(t.Context(), "SELECT tamarack_fence(1)")
	require.NoError(t, err)
	waiting := connect(t, url, pgx.QueryExecModeCacheStatement)
	ctx := t.Context()
	failed := make(chan error, 1)
	go func() {
		_, err := waiting.Exec(ctx, "SELECT 1")
		failed <- err
	}()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	extra := pgproto3.NewFrontend(conn, conn)
	extra.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "tamarack"}})
	require.NoError(t, extra.Flush())
	msg, err := extra.Receive()
	require.NoError(t, err)
	require.Equal(t, "53300", msg.(*pgproto3.ErrorResponse).Code)

	require.Eventually(t, func() bool {
		require.NoError(t, waiting.PgConn().CancelRequest(ctx))
		select {
		case err := <-failed:
			requireCode(t, "57014", err)
			return true
		default:
			return false
		}
	}, 20*time.Second, 10*time.Millisecond)
	_ = callers
}

// Guards against input from a caller that makes the upstream panic.
func FuzzSession(f *testing.F) {
	seed := func(messages ...pgproto3.FrontendMessage) {
		var data []byte
		for _, m := range messages {
			var err error
			data, err = m.Encode(data)
			require.NoError(f, err)
		}
		f.Add(data)
	}
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "tamarack"}}
	replicationStartup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "tamarack", "replication": "x"}}
	password := &pgproto3.PasswordMessage{Password: "secret"}
	seed(startup, password, &pgproto3.Query{String: "SELECT 1"}, &pgproto3.Terminate{})
	seed(startup, password, &pgproto3.Parse{Query: "SELECT $1"}, &pgproto3.Bind{Parameters: [][]byte{{1}}}, &pgproto3.Execute{}, &pgproto3.Sync{})
	seed(replicationStartup, password, &pgproto3.CopyData{Data: []byte{8, 1}})
	seed(&pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{0, 0, 0, 0}})
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := server.New(server.Options{User: "tamarack", Password: "secret", Slots: 1, Connections: 5, Ledger: ledger.New(nil, nil)})
		defer s.Close()
		// Ends statements that sleep, which would delay the fuzzing.
		defer time.AfterFunc(2*time.Second, s.Close).Stop()
		serverConn, clientConn := net.Pipe()
		go func() {
			defer clientConn.Close()
			_ = clientConn.SetDeadline(time.Now().Add(time.Second))
			_, _ = clientConn.Write(data)
		}()
		go func() { _, _ = io.Copy(io.Discard, clientConn) }()
		s.ServeConn(serverConn)
	})
}
