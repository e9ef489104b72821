package entry_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/member"
)

func requireCode(t *testing.T, err error, code string) {
	t.Helper()
	var pgErr *pgconn.PgError
	require.ErrorAs(t, err, &pgErr)
	require.Equal(t, code, pgErr.Code, pgErr.Message)
}

// Guards invariant 9 in each query mode of pgx: a caller gets the complete answer to its own request.
func TestQueryModes(t *testing.T) {
	f := newFixture(t)
	for _, mode := range []string{"cache_statement", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		t.Run(mode, func(t *testing.T) {
			conn := f.connect(t, testService, testKey, "&default_query_exec_mode="+mode)
			for range 3 {
				var got string
				require.NoError(t, conn.QueryRow(t.Context(), "select "+mode).Scan(&got))
				require.Equal(t, "select "+mode, got)
			}
			_, err := conn.Exec(t.Context(), "insert "+mode)
			require.NoError(t, err)
		})
	}
	require.Len(t, f.deps.acked, 5, "each write is acknowledged once")
}

// Guards invariants 5 and 4: the caller's key is not sent to upstreams, and wrong keys and unknown services are refused.
func TestStartup(t *testing.T) {
	f := newFixture(t)
	conn := f.connect(t, testService, testKey, "")
	_, err := conn.Exec(t.Context(), "insert a")
	require.NoError(t, err)
	require.Zero(t, f.upstream.count(testSecret), "the upstream got the caller's key")
	tests := []struct {
		name, database, key, code string
	}{
		{"wrong secret", testService, "k1.x" + testSecret[1:], "28P01"},
		{"unknown id", testService, "k2." + testSecret, "28P01"},
		{"no separator", testService, "k1", "28P01"},
		{"unknown service", "nothing", testKey, "3D000"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := pgx.Connect(t.Context(), "postgres://anna:"+tt.key+"@"+f.address+"/"+tt.database+"?sslmode=disable")
			requireCode(t, err, tt.code)
		})
	}
	open := f.connect(t, "stock", "none", "")
	var got string
	require.NoError(t, open.QueryRow(t.Context(), "select stock").Scan(&got))
	_, err = open.Exec(t.Context(), "insert stock")
	requireCode(t, err, "25006")
}

// Guards invariant 6: live connections are refused once their key is withdrawn, and all connections once the lease ends.
func TestWithdrawnKeyAndEndedLease(t *testing.T) {
	f := newFixture(t)
	conn := f.connect(t, testService, testKey, "")
	_, err := conn.Exec(t.Context(), "insert a")
	require.NoError(t, err)
	f.deps.view.Keys.Update(&fleetpb.State{Withdrawn: []string{"k1"}})
	_, err = conn.Exec(t.Context(), "insert b")
	requireCode(t, err, "28000")

	f = newFixture(t)
	conn = f.connect(t, testService, testKey, "")
	f.deps.updateView(func(v *member.View) { v.Expires = 1 })
	_, err = conn.Exec(t.Context(), "insert b")
	requireCode(t, err, "57P03")
	require.Zero(t, f.upstream.count("run insert"), "invariant 10: a statement refused as not run was not sent")
}

// Guards invariants 10 and 11: the outcome of a statement that was sent but not answered or acknowledged is reported as
// unknown, and the statement is sent only once; only a read is sent again.
func TestLostStatements(t *testing.T) {
	f := newFixture(t)
	conn := f.connect(t, testService, testKey, "&default_query_exec_mode=simple_protocol")
	_, err := conn.Exec(t.Context(), "die now")
	requireCode(t, err, "08007")
	require.Equal(t, 1, f.upstream.count("run die now"))
	f.deps.ackError = errors.New("no majority")
	_, err = conn.Exec(t.Context(), "insert unacknowledged")
	requireCode(t, err, "08007")
	require.Equal(t, 1, f.upstream.count("run insert unacknowledged"))
}

// Guards invariant 11 for functions: a SELECT that writes runs at most once on a primary, whether it was sent there first or
// after a read-only upstream had rejected it.
func TestWritingSelectRunsOnce(t *testing.T) {
	f := newFixture(t)
	conn := f.connect(t, testService, testKey, "&default_query_exec_mode=simple_protocol")
	_, err := conn.Exec(t.Context(), "select bill_member(7)")
	requireCode(t, err, "08007")
	require.Equal(t, 1, f.upstream.count("billed"))

	f = newFixture(t)
	conn = f.connect(t, testService, testKey, "&default_query_exec_mode=simple_protocol")
	f.upstream.setReadOnly(true)
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "select bill_member(7)")
		done <- err
	}()
	require.Eventually(t, func() bool { return f.upstream.count("run select bill") >= 2 }, time.Minute, time.Millisecond)
	f.upstream.setReadOnly(false)
	requireCode(t, <-done, "08007")
	require.Equal(t, 1, f.upstream.count("billed"))
}

// Guards against a write in a read-only transaction that is retried on the primary until its deadline.
func TestWriteInReadOnlyTransaction(t *testing.T) {
	f := newFixture(t)
	f.upstream.setReadOnly(true)
	conn := f.connect(t, testService, testKey, "")
	tx, err := conn.BeginTx(t.Context(), pgx.TxOptions{AccessMode: pgx.ReadOnly})
	require.NoError(t, err)
	_, err = tx.Exec(t.Context(), "insert in a read-only transaction")
	requireCode(t, err, "25006")
	require.NoError(t, tx.Rollback(t.Context()))
	require.Equal(t, 1, f.upstream.count("run insert"))
}

// Guards planned switchovers: a write that a draining primary rejects is retried until that primary or the next one accepts
// writes.
func TestDrainingPrimary(t *testing.T) {
	f := newFixture(t)
	f.upstream.setReadOnly(true)
	conn := f.connect(t, testService, testKey, "")
	done := make(chan error, 1)
	go func() {
		tx, err := conn.Begin(context.Background())
		if err == nil {
			_, err = tx.Exec(context.Background(), "insert during drain")
		}
		if err == nil {
			err = tx.Commit(context.Background())
		}
		done <- err
	}()
	require.Eventually(t, func() bool { return f.upstream.count("run insert during drain") >= 2 }, time.Minute, time.Millisecond)
	f.upstream.setReadOnly(false)
	require.NoError(t, <-done)
	require.Len(t, f.deps.acked, 1)
}

// Guards switchovers against drivers that prepare statements within a transaction. Preparing must not send the BEGIN to a
// draining primary, since the transaction could not be retried elsewhere when its first write is rejected.
func TestPreparingDoesNotBeginATransaction(t *testing.T) {
	f := newFixture(t)
	conn := f.connect(t, testService, testKey, "")
	tx, err := conn.Begin(t.Context())
	require.NoError(t, err)
	_, err = tx.Prepare(t.Context(), "s1", "insert prepared")
	require.NoError(t, err)
	require.Zero(t, f.upstream.count("run begin"))
	require.Equal(t, byte('T'), conn.PgConn().TxStatus())
	_, err = tx.Exec(t.Context(), "s1")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(t.Context()))
	require.Equal(t, 1, f.upstream.count("run begin"))
	require.Len(t, f.deps.acked, 1)
}

// Guards against a commit that is reported as successful although a statement of its transaction was rejected.
func TestCommitAfterRejection(t *testing.T) {
	f := newFixture(t)
	conn := f.connect(t, testService, testKey, "")
	tx, err := conn.Begin(t.Context())
	require.NoError(t, err)
	f.deps.reject(sqlstate.New(sqlstate.RateExceeded, nil))
	_, err = tx.Exec(t.Context(), "insert rejected")
	requireCode(t, err, "53400")
	f.deps.reject(nil)
	_, err = tx.Exec(t.Context(), "insert ignored")
	requireCode(t, err, "25P02")
	require.ErrorIs(t, tx.Commit(t.Context()), pgx.ErrTxCommitRollback)
	_, err = conn.Exec(t.Context(), "insert after")
	require.NoError(t, err)
	require.Zero(t, f.upstream.count("insert rejected")+f.upstream.count("insert ignored"))
}

// Guards invariant 3: callers share upstream connections, and their transactions on them never overlap.
func TestTransactionsDoNotMix(t *testing.T) {
	f := newFixture(t)
	var group sync.WaitGroup
	for range 6 {
		conn := f.connect(t, testService, testKey, "")
		group.Go(func() {
			for range 20 {
				tx, err := conn.Begin(context.Background())
				if err != nil {
					t.Error(err)
					return
				}
				var got string
				if err := tx.QueryRow(context.Background(), "select mine").Scan(&got); err != nil {
					t.Error(err)
				}
				if err := tx.Rollback(context.Background()); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	f.upstream.mutex.Lock()
	defer f.upstream.mutex.Unlock()
	open := 0
	for _, line := range f.upstream.received {
		switch line {
		case "run begin":
			open++
		case "run rollback":
			open--
		}
		require.LessOrEqual(t, open, 2, "more open transactions than connections")
	}
	require.Zero(t, open)
}

// Guards against a cancel request that cancels another caller's statement, and against reuse of the connection that it named.
func TestCancel(t *testing.T) {
	f := newFixture(t)
	conn := f.connect(t, testService, testKey, "&default_query_exec_mode=simple_protocol")
	other := f.connect(t, testService, testKey, "")
	done := make(chan error, 1)
	go func() {
		var got string
		done <- conn.QueryRow(context.Background(), "select slow").Scan(&got)
	}()
	require.Eventually(t, func() bool { return f.upstream.count("run select slow") == 1 }, time.Minute, time.Millisecond)
	require.NoError(t, other.PgConn().CancelRequest(t.Context()))
	require.Zero(t, f.upstream.count("cancel"), "the other caller has no statement to cancel")
	require.NoError(t, conn.PgConn().CancelRequest(t.Context()))
	require.NoError(t, <-done)
	require.Equal(t, 1, f.upstream.count("cancel"))
	for range 8 {
		_, err := conn.Exec(t.Context(), "insert after")
		require.NoError(t, err)
	}
	require.Zero(t, f.upstream.count("reused after cancel"))
}

// Guards invariant 13: a shutdown lets the open transaction finish and ends idle callers with 57P01.
func TestShutdown(t *testing.T) {
	f := newFixture(t)
	idle := f.connect(t, testService, testKey, "")
	busy := f.connect(t, testService, testKey, "")
	tx, err := busy.Begin(t.Context())
	require.NoError(t, err)
	_, err = tx.Exec(t.Context(), "insert first")
	require.NoError(t, err)
	go f.server.Shutdown(time.Minute)
	require.Eventually(t, func() bool {
		_, err := pgx.Connect(context.Background(), "postgres://anna:"+testKey+"@"+f.address+"/ledger?sslmode=disable")
		return err != nil
	}, time.Minute, time.Millisecond)
	requireCode(t, idle.PgConn().WaitForNotification(t.Context()), "57P01")
	_, err = idle.Exec(t.Context(), "insert late")
	require.Error(t, err)
	_, err = tx.Exec(t.Context(), "insert second")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(t.Context()))
	<-f.server.Done()
	require.Equal(t, []ident.Position{{Term: 1, LSN: 1}}, f.deps.acked)
	require.Zero(t, f.upstream.count("run insert late"))
}

// Guards against malformed input that gets no answer or stops the host.
func TestBadInput(t *testing.T) {
	f := newFixture(t)
	inputs := map[string][]byte{
		"garbage":          []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"huge startup":     {0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0},
		"negative length":  {0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0},
		"unknown protocol": {0, 0, 0, 8, 0, 9, 0, 0},
	}
	for name, input := range inputs {
		t.Run(name, func(t *testing.T) {
			socket, err := net.Dial("tcp", f.address)
			require.NoError(t, err)
			defer socket.Close()
			_, err = socket.Write(input)
			require.NoError(t, err)
			message, err := pgproto3.NewFrontend(socket, socket).Receive()
			require.NoError(t, err)
			require.IsType(t, &pgproto3.ErrorResponse{}, message)
		})
	}
	conn := f.connect(t, testService, testKey, "&default_query_exec_mode=simple_protocol")
	_, err := conn.Exec(t.Context(), "insert "+string(make([]byte, 9<<20)))
	require.Error(t, err)
	conn = f.connect(t, testService, testKey, "")
	_, err = conn.Exec(t.Context(), "insert still served")
	require.NoError(t, err)
}

// Guards pipelining: several statements before one Sync are answered in order, and each runs once.
func TestPipeline(t *testing.T) {
	f := newFixture(t)
	conn := f.connect(t, testService, testKey, "")
	batch := &pgx.Batch{}
	batch.Queue("select one")
	batch.Queue("insert two")
	batch.Queue("select three")
	results := conn.SendBatch(t.Context(), batch)
	var first, third string
	require.NoError(t, results.QueryRow().Scan(&first))
	_, err := results.Exec()
	require.NoError(t, err)
	require.NoError(t, results.QueryRow().Scan(&third))
	require.NoError(t, results.Close())
	require.Equal(t, []string{"select one", "select three"}, []string{first, third})
	require.Equal(t, 1, f.upstream.count("run insert two"))
}

// Guards against a write that is answered as done although its position could not be read, so that nobody waited until a majority
// held it.
func TestUnreadablePosition(t *testing.T) {
	for _, position := range []string{"unreadable1/1", "1/1x", ""} {
		f := newFixture(t)
		f.upstream.badPosition = position
		if position == "" {
			f.upstream.badPosition = "/"
		}
		conn := f.connect(t, testService, testKey, "&default_query_exec_mode=simple_protocol")
		_, err := conn.Exec(t.Context(), "insert unacknowledged")
		requireCode(t, err, "08007")
		require.Empty(t, f.deps.acked)
		require.Equal(t, 1, f.upstream.count("run insert unacknowledged"))
	}
}

// Guards against a prepared statement whose name needs quotes and that DEALLOCATE does not drop, or that drops all others.
func TestDeallocateQuotedName(t *testing.T) {
	f := newFixture(t)
	conn := f.connect(t, testService, testKey, "")
	for _, name := range []string{"Two Words", "all", `with"quote`, "lower"} {
		_, err := conn.Prepare(t.Context(), name, "select 1")
		require.NoError(t, err)
	}
	run := func(name string) error {
		_, err := conn.PgConn().ExecPrepared(t.Context(), name, nil, nil, nil).Close()
		return err
	}
	exec := func(sql string) {
		_, err := conn.Exec(t.Context(), sql, pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err)
	}
	exec(`DEALLOCATE "all"`)
	requireCode(t, run("all"), "26000")
	exec(`DEALLOCATE PREPARE "Two Words";`)
	requireCode(t, run("Two Words"), "26000")
	exec(`DEALLOCATE "with""quote"`)
	requireCode(t, run(`with"quote`), "26000")
	require.NoError(t, run("lower"))
	exec(`DEALLOCATE LOWER`)
	requireCode(t, run("lower"), "26000")
}
