package scenario

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/workload"
)

const insertOrder = `INSERT INTO orders (id, team, "user", note) VALUES ($1, 'wicks', 'client', $2)`

func sqlstate(err error) string {
	var answer *pgconn.PgError
	if errors.As(err, &answer) {
		return answer.Code
	}
	return fmt.Sprint(err)
}

// Guards against differences from PostgreSQL that a driver notices in the extended or the simple query protocol, since
// they break applications that can't be changed. Each case uses its own connection; the cases rotate through the hosts.
func TestDriverFeatures(t *testing.T) {
	ctx, e := start(t, false)
	cases := []struct {
		name string
		run  func(t *testing.T, conn *pgx.Conn, id string)
	}{
		{"transaction commits", func(t *testing.T, conn *pgx.Conn, id string) {
			tx, err := conn.Begin(ctx)
			require.NoError(t, err)
			_, err = tx.Exec(ctx, insertOrder, id, "a")
			require.NoError(t, err)
			require.NoError(t, tx.Commit(ctx))
			require.Equal(t, 1, countRows(ctx, t, conn, id))
		}},
		{"transaction rolls back", func(t *testing.T, conn *pgx.Conn, id string) {
			tx, err := conn.Begin(ctx)
			require.NoError(t, err)
			_, err = tx.Exec(ctx, insertOrder, id, "a")
			require.NoError(t, err)
			require.NoError(t, tx.Rollback(ctx))
			require.Equal(t, 0, countRows(ctx, t, conn, id))
		}},
		{"error within a transaction", func(t *testing.T, conn *pgx.Conn, id string) {
			tx, err := conn.Begin(ctx)
			require.NoError(t, err)
			_, err = tx.Exec(ctx, insertOrder, id, "a")
			require.NoError(t, err)
			_, err = tx.Exec(ctx, "SELECT nothing FROM nowhere")
			require.Equal(t, "42P01", sqlstate(err))
			_, err = tx.Exec(ctx, insertOrder, id+"b", "a")
			require.Equal(t, "25P02", sqlstate(err))
			require.ErrorIs(t, tx.Commit(ctx), pgx.ErrTxCommitRollback)
			require.Equal(t, 0, countRows(ctx, t, conn, id))
		}},
		{"error outside a transaction", func(t *testing.T, conn *pgx.Conn, id string) {
			_, err := conn.Exec(ctx, insertOrder, id, "a")
			require.NoError(t, err)
			_, err = conn.Exec(ctx, insertOrder, id, "a")
			require.Equal(t, "23505", sqlstate(err))
			require.Equal(t, 1, countRows(ctx, t, conn, id))
		}},
		{"batch", func(t *testing.T, conn *pgx.Conn, id string) {
			batch := &pgx.Batch{}
			for i := range 5 {
				batch.Queue(insertOrder, fmt.Sprint(id, i), "b")
			}
			batch.Queue("SELECT count(*) FROM orders WHERE id = $1", id+"0")
			results := conn.SendBatch(ctx, batch)
			for range 5 {
				_, err := results.Exec()
				require.NoError(t, err)
			}
			var n int
			require.NoError(t, results.QueryRow().Scan(&n))
			require.Equal(t, 1, n)
			require.NoError(t, results.Close())
		}},
		{"cancel", func(t *testing.T, conn *pgx.Conn, id string) {
			done := make(chan error, 1)
			go func() {
				_, err := conn.Exec(ctx, "SELECT pg_sleep(4)")
				done <- err
			}()
			for cancelled := false; !cancelled; {
				require.NoError(t, conn.PgConn().CancelRequest(ctx))
				select {
				case err := <-done:
					require.Equal(t, "57014", sqlstate(err))
					cancelled = true
				case <-time.After(50 * time.Millisecond):
				}
			}
			require.Equal(t, 0, countRows(ctx, t, conn, id))
		}},
		{"large answer and parameter", func(t *testing.T, conn *pgx.Conn, id string) {
			note := make([]byte, 1<<20)
			for i := range note {
				note[i] = 'a' + byte(i%26)
			}
			_, err := conn.Exec(ctx, insertOrder, id, string(note))
			require.NoError(t, err)
			var got string
			require.NoError(t, conn.QueryRow(ctx, "SELECT note FROM orders WHERE id = $1", id).Scan(&got))
			require.Equal(t, string(note), got)
		}},
	}
	for i, c := range cases {
		for _, simple := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, simple=%v", c.name, simple), func(t *testing.T) {
				conn := connect(ctx, t, e, i, simple)
				c.run(t, conn, fmt.Sprintf("client-%d-%v", i, simple))
			})
		}
	}
	t.Run("pipeline", func(t *testing.T) { testPipeline(ctx, t, connect(ctx, t, e, 0, false)) })
	t.Run("prepared statement", func(t *testing.T) { testPreparedStatement(ctx, t, connect(ctx, t, e, 1, false)) })
	require.NoError(t, e.Fleet.CheckRunning())
}

func connect(ctx context.Context, t *testing.T, e *Experiment, host int, simple bool) *pgx.Conn {
	session := ident.Session{Service: service, Team: "wicks", User: "client"}
	conn, err := workload.Connect(ctx, e.Fleet.Callers()[host%3], session, e.Fleet.Keys["wicks"], simple)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func countRows(ctx context.Context, t *testing.T, conn *pgx.Conn, id string) (n int) {
	require.NoError(t, conn.QueryRow(ctx, "SELECT count(*) FROM orders WHERE id = $1", id).Scan(&n))
	return n
}

func testPipeline(ctx context.Context, t *testing.T, conn *pgx.Conn) {
	p := conn.PgConn().StartPipeline(ctx)
	for _, id := range []string{"p1", "p2", "p1", "p3"} {
		p.SendQueryParams(`INSERT INTO orders (id, team, "user", note) VALUES ($1, 'wicks', 'client', '')`, [][]byte{[]byte(id)}, nil, nil, nil)
		require.NoError(t, p.Sync())
	}
	var failed []string
	for synced := 0; synced < 4; {
		result, err := p.GetResults()
		if err != nil {
			failed = append(failed, sqlstate(err))
			continue
		}
		switch r := result.(type) {
		case *pgconn.ResultReader:
			_, err := r.Close()
			require.NoError(t, err)
		case *pgconn.PipelineSync:
			synced++
		}
	}
	require.NoError(t, p.Close())
	require.Equal(t, []string{"23505"}, failed)
	require.Equal(t, 1, countRows(ctx, t, conn, "p3"))
}

// testPreparedStatement runs a named statement repeatedly, deallocates it, and continues after an EXECUTE that fails.
func testPreparedStatement(ctx context.Context, t *testing.T, conn *pgx.Conn) {
	_, err := conn.Prepare(ctx, "mine", "SELECT count(*) FROM orders WHERE id = $1")
	require.NoError(t, err)
	for range 30 {
		var n int
		require.NoError(t, conn.QueryRow(ctx, "mine", "prepared").Scan(&n))
		require.Equal(t, 0, n)
	}
	require.NoError(t, conn.Deallocate(ctx, "mine"))
	_, err = conn.Exec(ctx, "EXECUTE nothing")
	require.Error(t, err)
	require.Equal(t, 0, countRows(ctx, t, conn, "prepared"))
}

// Guards against a host that closes a connection without an error, or fails for all callers, when one caller sends a wrong
// key, an unknown service or malformed messages.
func TestInvalidCallersGetClearErrors(t *testing.T) {
	ctx, e := start(t, false)
	host := e.Fleet.Hosts[0]
	session := ident.Session{Service: service, Team: "wicks", User: "client"}
	key := e.Fleet.Keys["wicks"]
	dial := func(s ident.Session, key string) error {
		conn, err := workload.Connect(ctx, host.Caller, s, key, false)
		if err == nil {
			conn.Close(ctx)
		}
		return err
	}
	unknown := session
	unknown.Service = "nothing"
	require.Equal(t, "28P01", sqlstate(dial(session, "")))
	require.Equal(t, "28P01", sqlstate(dial(session, key+"x")))
	require.Equal(t, "28P01", sqlstate(dial(session, "no-such-id.secret")))
	require.Equal(t, "3D000", sqlstate(dial(unknown, key)))

	withdrawn, err := e.Fleet.GiveKey(ctx, "wicks")
	require.NoError(t, err)
	conn := connectWithNewKey(ctx, t, host.Caller, session, withdrawn)
	require.NoError(t, e.Fleet.WithdrawKey(ctx, withdrawn))
	for err == nil && ctx.Err() == nil {
		_, err = conn.Exec(ctx, "SELECT count(*) FROM orders")
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, "28000", sqlstate(err), "an open connection whose key was withdrawn (invariant 6)")
	require.Equal(t, "28000", sqlstate(dial(session, withdrawn)), "a new connection with a withdrawn key (table in docs/OPERATIONS.md)")

	require.Equal(t, "08P01", sendGarbage(t, host.Caller, []byte("GET / HTTP/1.1\r\nHost: tamarack\r\n\r\n")))
	oversized := binary.BigEndian.AppendUint32([]byte{'Q'}, 1<<30)
	conn, err = workload.Connect(ctx, host.Caller, session, key, false)
	require.NoError(t, err)
	raw, err := conn.PgConn().Hijack()
	require.NoError(t, err)
	defer raw.Conn.Close()
	_, err = raw.Conn.Write(append(oversized, make([]byte, 1<<16)...))
	require.NoError(t, err)
	require.Equal(t, "08P01", readCode(t, raw.Conn))

	require.NoError(t, dial(session, key))
	require.NoError(t, e.Fleet.CheckRunning())
}

// connectWithNewKey connects with a newly issued key, retrying until the host accepts it.
func connectWithNewKey(ctx context.Context, t *testing.T, address string, session ident.Session, key string) *pgx.Conn {
	for {
		conn, err := workload.Connect(ctx, address, session, key, false)
		if err == nil {
			return conn
		}
		require.NoError(t, ctx.Err(), "a new key is not accepted: %v", err)
		require.Equal(t, "28P01", sqlstate(err))
		time.Sleep(20 * time.Millisecond)
	}
}

// sendGarbage sends bytes in place of a startup message and returns the SQLSTATE of the answer.
func sendGarbage(t *testing.T, address string, data []byte) string {
	socket, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer socket.Close()
	_, err = socket.Write(data)
	require.NoError(t, err)
	return readCode(t, socket)
}

// readCode returns the SQLSTATE of the first error message that a host sends.
func readCode(t *testing.T, socket net.Conn) string {
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(20*time.Second)))
	frontend := pgproto3.NewFrontend(socket, io.Discard)
	for {
		message, err := frontend.Receive()
		require.NoError(t, err, "the host closed the connection without an error message")
		if answer, isError := message.(*pgproto3.ErrorResponse); isError {
			return answer.Code
		}
	}
}
