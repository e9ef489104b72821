package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

// closeCounter is an executor that counts how often it is closed.
type closeCounter struct {
	upstream.Executor
	closed int
}

// Close implements upstream.Executor.
func (c *closeCounter) Close() { c.closed++ }

// openLease opens a lease for a transaction and returns its executor, the lease and its id. The first statement is still running.
func openLease(t *testing.T, l *leases, transaction string) (*closeCounter, *lease, string) {
	executor := &closeCounter{}
	held := &lease{executor: executor, transaction: transaction}
	id, refusal := l.open(held)
	require.Zero(t, refusal)
	return executor, held, id
}

// Guards against a lease that has the id of one of an earlier process at the same address.
func TestLeasesOfTwoProcessesHaveDifferentIDs(t *testing.T) {
	_, _, earlier := openLease(t, newLeases(), "one")
	_, _, later := openLease(t, newLeases(), "two")
	require.NotEqual(t, earlier, later)
}

// Guards against two statements at a time on one connection, and a connection that is closed or forgotten under a running statement.
func TestRunningStatement(t *testing.T) {
	l := newLeases()
	executor, held, id := openLease(t, l, "one")
	_, refusal := l.take(id, "one")
	require.Equal(t, RefusedBusy, refusal)
	l.expire(steady.Now().Add(2 * leaseTimeout))
	require.True(t, l.finish(id, true))
	require.Zero(t, executor.closed)
	taken, _ := l.take(id, "one")
	require.Same(t, held, taken)
}

// Guards against a transaction that stays open because its host gave it up while a statement ran.
func TestEndDuringStatement(t *testing.T) {
	l := newLeases()
	_, _, id := openLease(t, l, "one")
	l.end("", "one")
	require.False(t, l.finish(id, true), "the caller has to close the connection")
	_, refusal := l.take(id, "one")
	require.Equal(t, RefusedNotHeld, refusal)
}

// Guards against a transaction that stays open because its end was handled before its first statement, as at a process that was frozen.
func TestEndBeforeFirstStatement(t *testing.T) {
	l := newLeases()
	l.end("", "one")
	_, refusal := l.open(&lease{transaction: "one"})
	require.Equal(t, RefusedEnded, refusal)
	_, _, _ = openLease(t, l, "two")
	l.expire(steady.Now().Add(2 * leaseTimeout))
	require.Empty(t, l.ended, "an end is remembered no longer than a lease")
}

// Guards against an end that names nothing and closes the connection of a host that does not name its transactions yet.
func TestEndThatNamesNothing(t *testing.T) {
	l := newLeases()
	executor, _, id := openLease(t, l, "")
	require.True(t, l.finish(id, true))
	l.end("", "")
	require.Zero(t, executor.closed)
	l.end(id, "")
	require.Equal(t, 1, executor.closed)
	require.Empty(t, l.ended)
}
