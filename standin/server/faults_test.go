package server_test

import (
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/server"
)

// Guards against injected faults without effect: the tests that inject them would pass without a failure.
func TestFaults(t *testing.T) {
	fault := func(f *server.Faults, form string) int {
		request := httptest.NewRequest("POST", "/", strings.NewReader(form))
		request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		answer := httptest.NewRecorder()
		f.ServeHTTP(answer, request)
		return answer.Code
	}
	primary, replica := ledger.New(nil, nil), ledger.New(nil, nil)
	faults, lag := server.NewFaults(0), server.NewFaults(time.Hour)
	url, address := start(t, server.Options{Ledger: primary, Faults: faults})
	replicaURL, _ := start(t, server.Options{Upstream: "b", Ledger: replica, Faults: lag})
	conn := connect(t, url, pgx.QueryExecModeCacheStatement)
	_, err := conn.Exec(t.Context(), "SELECT pg_promote(1)")
	require.NoError(t, err)
	_, err = connect(t, replicaURL, pgx.QueryExecModeCacheStatement).Exec(t.Context(), "SELECT tamarack_follow('"+address+"', 1)")
	require.NoError(t, err)
	row := func() []string {
		var name, flush, replay string
		var term, age int64
		if conn.QueryRow(t.Context(), "SELECT * FROM pg_stat_replication").Scan(&name, &term, &flush, &replay, &age) != nil {
			return nil
		}
		return []string{name, strconv.FormatInt(term, 10), flush, replay}
	}
	eventually := func(condition func() bool) {
		t.Helper()
		require.Eventually(t, condition, 20*time.Second, 5*time.Millisecond)
	}
	eventually(func() bool { return row() != nil })
	require.Equal(t, []string{"b", "1", "0/0", "0/0"}, row(), "a lagging replica has applied nothing yet")
	require.Equal(t, 400, fault(faults, "lagg=1s"))
	require.Equal(t, 400, fault(faults, "lag=1"))
	require.Equal(t, 200, fault(faults, "callers=true"))
	eventually(func() bool { _, err := conn.Exec(t.Context(), "SELECT 1"); return err != nil })
	require.Equal(t, 200, fault(faults, "callers=false"))
	conn = connect(t, url, pgx.QueryExecModeCacheStatement)
	_, err = conn.Exec(t.Context(), "SELECT 1")
	require.NoError(t, err)
}
