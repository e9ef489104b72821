package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/limit"
)

// Guards against operations that lose a token of their team although nothing was sent to an upstream, and against tokens that are
// given back for statements that ran.
func TestUnsentOperationsGiveTheirTokenBack(t *testing.T) {
	h := newHost(t, time.Minute)
	h.timeout = 100 * time.Millisecond
	h.configure(2, "key")
	left := func() int {
		h.quota.mu.Lock()
		defer h.quota.mu.Unlock()
		return h.quota.left["team"]
	}
	answer := func(steps ...string) string { return h.runScript("primary key", steps...) }
	require.Contains(t, answer("FETCH a"), "COMPLETE")
	require.Equal(t, 99, left())
	answer("BEGIN", "ROLLBACK")
	require.Equal(t, 99, left(), "nothing of the transaction was sent")
	answer("BEGIN", "STORE a 1", "ROLLBACK")
	require.Equal(t, 98, left())
	h.table.SetDirectory(&fleetpb.Directory{})
	require.Contains(t, answer("STORE a 1"), "no primary")
	require.Equal(t, 98, left(), "the write had no upstream")
	require.Contains(t, answer("BEGIN", "STORE a 1"), "no primary")
	require.Equal(t, 98, left(), "the transaction had no upstream")
}

// Guards against refused callers that are told the same time to come back whatever their team's rate allows.
func TestRefusalNamesTheTimeOfTheNextToken(t *testing.T) {
	h := newHost(t, time.Minute)
	h.quota.refusal = &limit.Exceeded{Team: "team", Cause: limit.CauseTooLate, Retry: 730 * time.Millisecond}
	require.Contains(t, h.runScript("primary key", "FETCH a"), "its next token comes too late; retry after 730 ms")
}
