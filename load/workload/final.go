package workload

import (
	"context"
	"strings"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/history"
)

// ReadFinalState adds the records and counters of an upstream to final. It connects directly with the fleet's credentials.
func ReadFinalState(ctx context.Context, address, user, password string, service ident.Service, final *history.FinalState) error {
	direct := ident.Session{Service: service, User: ident.User(user)}
	conn, err := Connect(ctx, address, direct, password, false)
	if err != nil {
		return trace.Wrap(err)
	}
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, `SELECT id FROM orders`)
	if err != nil {
		return trace.Wrap(err)
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		return trace.Wrap(err)
	}
	for _, id := range ids {
		final.Rows[id]++
	}
	return readCounters(ctx, conn, service, final)
}

func readCounters(ctx context.Context, conn *pgx.Conn, service ident.Service, final *history.FinalState) error {
	rows, err := conn.Query(ctx, `SELECT id, balance FROM accounts`)
	if err != nil {
		return trace.Wrap(err)
	}
	defer rows.Close()
	for rows.Next() {
		var id string
		var balance int64
		if err := rows.Scan(&id, &balance); err != nil {
			return trace.Wrap(err)
		}
		team, user, _ := strings.Cut(id, "/")
		session := ident.Session{Service: service, Team: ident.Team(team), User: ident.User(user)}
		final.Counters[session] = int(balance)
	}
	return trace.Wrap(rows.Err())
}
