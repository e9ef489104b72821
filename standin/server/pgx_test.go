package server_test

import (
	"context"
	"net"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/server"
)

// start runs an upstream and returns its connection string and address.
func start(t *testing.T, options server.Options) (string, string) {
	t.Helper()
	options.User, options.Password = "tamarack", "secret"
	options.Slots, options.Connections = max(options.Slots, 2), max(options.Connections, 5)
	if options.Ledger == nil {
		options.Ledger = ledger.New(nil, nil)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := server.New(options)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Close)
	address := listener.Addr().String()
	return "postgres://tamarack:secret@" + address + "/ledger?sslmode=disable", address
}

func connect(t *testing.T, url string, mode pgx.QueryExecMode) *pgx.Conn {
	t.Helper()
	config, err := pgx.ParseConfig(url)
	require.NoError(t, err)
	config.DefaultQueryExecMode = mode
	conn, err := pgx.ConnectConfig(context.Background(), config)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func requireCode(t *testing.T, code string, err error) {
	t.Helper()
	var failure *pgconn.PgError
	require.ErrorAs(t, err, &failure)
	require.Equal(t, code, failure.Code)
}

// Guards against replies that pgx, a common client library, does not accept in one of its protocol modes.
func TestPgxModes(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			ctx := context.Background()
			url, _ := start(t, server.Options{})
			conn := connect(t, url, mode)
			_, err := conn.Exec(ctx, `INSERT INTO orders (id, team, "user", note) VALUES ($1, $2, $3, $4)`, "o1", "noc", "eva", "it's")
			requireCode(t, "25006", err)
			_, err = conn.Exec(ctx, "SELECT pg_promote(1)")
			require.NoError(t, err)

			tag, err := conn.Exec(ctx, `INSERT INTO orders (id, team, "user", note) VALUES ($1, $2, $3, $4)`, "o1", "noc", "eva", "it's")
			require.NoError(t, err)
			require.Equal(t, "INSERT 0 1", tag.String())
			require.NotEmpty(t, conn.PgConn().ParameterStatus("tamarack.position"))
			_, err = conn.Exec(ctx, `INSERT INTO orders (id, team, "user", note) VALUES ($1, $2, $3, $4)`, "o1", "noc", "eva", "again")
			requireCode(t, "23505", err)
			var note string
			require.NoError(t, conn.QueryRow(ctx, "SELECT note FROM orders WHERE id = $1", "o1").Scan(&note))
			require.Equal(t, "it's", note)

			tx, err := conn.Begin(ctx)
			require.NoError(t, err)
			_, err = tx.Exec(ctx, "INSERT INTO accounts VALUES ($1, $2)", "a1", -5)
			require.NoError(t, err)
			_, err = tx.Exec(ctx, "UPDATE accounts SET balance = balance + $1 WHERE id = $2", 7, "a1")
			require.NoError(t, err)
			require.NoError(t, tx.Commit(ctx))
			var balance, count int
			require.NoError(t, conn.QueryRow(ctx, "SELECT balance FROM accounts WHERE id = $1", "a1").Scan(&balance))
			require.Equal(t, 2, balance)
			require.NoError(t, conn.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&count))
			require.Equal(t, 1, count)

			_, err = conn.Exec(ctx, "SELECT * FROM lamps")
			requireCode(t, "42P01", err)
			_, err = conn.Exec(ctx, "VACUUM")
			requireCode(t, "42601", err)
			var one int
			require.NoError(t, conn.QueryRow(ctx, "SELECT 1").Scan(&one))
			require.Equal(t, 1, one)
		})
	}
}
