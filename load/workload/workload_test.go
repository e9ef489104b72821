package workload

import (
	"errors"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/history"
)

// Guards against a wrong classification of errors: NotRun in place of Unknown makes the checker report violations of a
// correct proxy, and Unknown in place of NotRun hides writes that ran although they were rejected.
func TestClassify(t *testing.T) {
	cases := []struct {
		err  error
		want history.Outcome
	}{
		{nil, history.Acknowledged},
		{&pgconn.PgError{Code: "53400"}, history.NotRun},
		{&pgconn.PgError{Code: "57P03"}, history.NotRun},
		{fmt.Errorf("connect: %w", &pgconn.PgError{Code: "28P01"}), history.NotRun},
		{pgx.ErrTxCommitRollback, history.NotRun},
		{&pgconn.PgError{Code: "08007"}, history.Unknown},
		{&pgconn.PgError{Code: "57P01"}, history.Unknown},
		{errors.New("unexpected EOF"), history.Unknown},
		{&pgconn.PgError{Code: "23505"}, history.Duplicate},
	}
	for _, c := range cases {
		require.Equal(t, c.want, Classify(c.err), "%v", c.err)
	}
}

// Guards against schedules that depend on more than the seed, so that a failed run couldn't be repeated, and against requests
// that read a record before it is written or write it twice.
func TestScheduleRepeatsFromItsSeed(t *testing.T) {
	session := ident.Session{Service: "rentals", Team: "market", User: "ada"}
	take := func(seed uint64) (all []Request) {
		s := NewSchedule(seed, 3, session, Mix{Writes: 30})
		for range 200 {
			all = append(all, s.Next())
		}
		return all
	}
	require.Equal(t, take(7), take(7))
	require.NotEqual(t, take(7), take(8))
	seen := make(map[string]bool)
	for _, r := range take(7) {
		for _, id := range r.IDs {
			written := r.Kind == Insert || r.Kind == Transaction
			require.NotEqual(t, written, seen[id], "record %s in %+v", id, r)
			seen[id] = true
		}
	}
}
