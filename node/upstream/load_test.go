package upstream

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/balance"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

// Guards against a reported load without the statements that wait, without those of a transaction, or with spare statements as slots;
// against failures that make an upstream look fast; and against one that looks idle because its warm-up limits what it gets.
func TestMeasuredLoad(t *testing.T) {
	pool := NewPool(Target{}, nil, 1)
	pool.SetCapacity(2)
	load := func() balance.Load { return pool.MeasuredLoad(steady.Now()) }
	for range 2 + spareStatements {
		_, err := pool.limiter.run(t.Context(), testRequest(1, false))
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	for _, inTransaction := range []bool{false, true} {
		go func() {
			_, err := pool.limiter.run(ctx, testRequest(1, inTransaction))
			ended <- err
		}()
	}
	require.Eventually(t, func() bool { return load().Waiting == 2 }, time.Minute, time.Millisecond)
	require.Equal(t, balance.Load{Waiting: 2, Running: 4, Slots: 2}, load())
	cancel()
	require.Error(t, <-ended)
	require.Error(t, <-ended)

	pool.recordService(steady.Now(), &statement.Result{Failure: &statement.Failure{Code: statement.CodeBusy}}, nil)
	require.Zero(t, load().Service)
	pool.recordService(steady.Now().Add(-5*time.Second), &statement.Result{}, nil)
	require.GreaterOrEqual(t, load().Service, 2500*time.Millisecond, "two slots take 2.5 s each for four statements that end after 5 s")
	pool.SetWarmup(steady.Now().Add(time.Hour), 0.5)
	require.Equal(t, 4*time.Second, load().Service, "a statement each 2 s on two slots")
}

// Guards against a reported load without the statements that are opening a connection, and one that counts the waits of requests that
// are no statements.
func TestMeasuredLoadCountsConnecting(t *testing.T) {
	pool := NewPool(Target{}, nil, 1)
	for range 2 {
		_, err := pool.limiter.arrive(t.Context(), testRequest(1, false))
		require.NoError(t, err)
		_, _, err = pool.request(steady.Now(), "t", 1)
		require.NoError(t, err)
	}
	load := func() balance.Load { return pool.MeasuredLoad(steady.Now()) }
	require.Equal(t, 2, load().Waiting, "one waits for a connection, the other one opens it")
	_, _, err := pool.request(steady.Now(), "", -1)
	require.NoError(t, err)
	require.Equal(t, 2, load().Waiting)
}
