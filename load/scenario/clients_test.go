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

func code(err error) string {
	var answer *pgconn.PgError
	if errors.As(err, &answer) {
		return answer.Code
	}
	return fmt.Sprint(err)
}

// A driver in either protocol mode has to find what it finds at PostgreSQL: a difference shows up as a failure in
// applications that cannot be changed. Each case uses a connection of its own through another host.
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
			require.Equal(t, 1, rows(ctx, t, conn, id))
		}},
		{"transaction rolls back", func(t *testing.T, conn *pgx.Conn, id string) {
			tx, err := conn.Begin(ctx)
			require.NoError(t, err)
			_, err = tx.Exec(ctx, insertOrder, id, "a")
			require.NoError(t, err)
			require.NoError(t, tx.Rollback(ctx))
			require.Equal(t, 0, rows(ctx, t, conn, id))
		}},
		{"error within a transaction", func(t *testing.T, conn *pgx.Conn, id string) {
			tx, err := conn.Begin(ctx)
			require.NoError(t, err)
			_, err = tx.Exec(ctx, insertOrder, id, "a")
			require.NoError(t, err)
			_, err = tx.Exec(ctx, "SELECT nothing FROM nowhere")
			require.Equal(t, "42P01", code(err))
			_, err = tx.Exec(ctx, insertOrder, id+"b", "a")
			require.Equal(t, "25P02", code(err))
			require.ErrorIs(t, tx.Commit(ctx), pgx.ErrTxCommitRollback)
			require.Equal(t, 0, rows(ctx, t, conn, id))
		}},
		{"error outside a transaction", func(t *testing.T, conn *pgx.Conn, id string) {
			_, err := conn.Exec(ctx, insertOrder, id, "a")
			require.NoError(t, err)
			_, err = conn.Exec(ctx, insertOrder, id, "a")
			require.Equal(t, "23505", code(err))
			require.Equal(t, 1, rows(ctx, t, conn, id))
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
					require.Equal(t, "57014", code(err))
					cancelled = true
				case <-time.After(50 * time.Millisecond):
				}
			}
			require.Equal(t, 0, rows(ctx, t, conn, id))
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
	t.Run("pipeline", func(t *testing.T) { pipeline(ctx, t, connect(ctx, t, e, 0, false)) })
	t.Run("prepared statement", func(t *testing.T) { prepared(ctx, t, connect(ctx, t, e, 1, false)) })
	require.NoError(t, e.Fleet.CheckRunning())
}

func connect(ctx context.Context, t *testing.T, e *Experiment, host int, simple bool) *pgx.Conn {
	session := ident.Session{Service: service, Team: "wicks", User: "client"}
	conn, err := workload.Connect(ctx, e.Fleet.Callers()[host%3], session, e.Fleet.Keys["wicks"], simple)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func rows(ctx context.Context, t *testing.T, conn *pgx.Conn, id string) (n int) {
	require.NoError(t, conn.QueryRow(ctx, "SELECT count(*) FROM orders WHERE id = $1", id).Scan(&n))
	return n
}

func pipeline(ctx context.Context, t *testing.T, conn *pgx.Conn) {
	p := conn.PgConn().StartPipeline(ctx)
	for _, id := range []string{"p1", "p2", "p1", "p3"} {
		p.SendQueryParams(`INSERT INTO orders (id, team, "user", note) VALUES ($1, 'wicks', 'client', '')`, [][]byte{[]byte(id)}, nil, nil, nil)
		require.NoError(t, p.Sync())
	}
	var failed []string
	for synced := 0; synced < 4; {
		result, err := p.GetResults()
		if err != nil {
			failed = append(failed, code(err))
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
	require.Equal(t, 1, rows(ctx, t, conn, "p3"))
}

// prepared runs a statement by name before and after others have used the host's upstream connections.
func prepared(ctx context.Context, t *testing.T, conn *pgx.Conn) {
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
	require.Equal(t, 0, rows(ctx, t, conn, "prepared"))
}

// Callers that are wrong or hostile get an error that says why, and the host goes on for the others.
func TestWrongCallersGetClearErrors(t *testing.T) {
	ctx, e := start(t, false)
	host := e.Fleet.Hosts[0]
	good := ident.Session{Service: service, Team: "wicks", User: "client"}
	key := e.Fleet.Keys["wicks"]
	dial := func(s ident.Session, key string) error {
		conn, err := workload.Connect(ctx, host.Caller, s, key, false)
		if err == nil {
			conn.Close(ctx)
		}
		return err
	}
	unknown := good
	unknown.Service = "nothing"
	require.Equal(t, "28P01", code(dial(good, "")))
	require.Equal(t, "28P01", code(dial(good, key+"x")))
	require.Equal(t, "28P01", code(dial(good, "no-such-id.secret")))
	require.Equal(t, "3D000", code(dial(unknown, key)))

	withdrawn, err := e.Fleet.GiveKey(ctx, "wicks")
	require.NoError(t, err)
	conn := awaitKey(ctx, t, host.Caller, good, withdrawn)
	require.NoError(t, e.Fleet.WithdrawKey(ctx, withdrawn))
	for err == nil && ctx.Err() == nil {
		_, err = conn.Exec(ctx, "SELECT count(*) FROM orders")
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, "28000", code(err), "an open connection whose key was withdrawn (invariant 6)")
	require.Equal(t, "28000", code(dial(good, withdrawn)), "a new connection with a withdrawn key (table in docs/OPERATIONS.md)")

	require.Equal(t, "08P01", garbage(t, host.Caller, []byte("GET / HTTP/1.1\r\nHost: tamarack\r\n\r\n")))
	oversized := binary.BigEndian.AppendUint32([]byte{'Q'}, 1<<30)
	conn, err = workload.Connect(ctx, host.Caller, good, key, false)
	require.NoError(t, err)
	raw, err := conn.PgConn().Hijack()
	require.NoError(t, err)
	defer raw.Conn.Close()
	_, err = raw.Conn.Write(append(oversized, make([]byte, 1<<16)...))
	require.NoError(t, err)
	require.Equal(t, "08P01", readCode(t, raw.Conn))

	require.NoError(t, dial(good, key))
	require.NoError(t, e.Fleet.CheckRunning())
}

// awaitKey connects with a key that was given just now, once the host knows it.
func awaitKey(ctx context.Context, t *testing.T, address string, session ident.Session, key string) *pgx.Conn {
	for {
		conn, err := workload.Connect(ctx, address, session, key, false)
		if err == nil {
			return conn
		}
		require.NoError(t, ctx.Err(), "a new key is not accepted: %v", err)
		require.Equal(t, "28P01", code(err))
		time.Sleep(20 * time.Millisecond)
	}
}

// garbage sends bytes in place of a startup message and returns the SQLSTATE of the answer.
func garbage(t *testing.T, address string, data []byte) string {
	socket, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer socket.Close()
	_, err = socket.Write(data)
	require.NoError(t, err)
	return readCode(t, socket)
}

// readCode returns the SQLSTATE of the first error that a host sends before it closes the connection.
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
