package upstream

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

// Guards against an upstream that gets more than the warm-up rate, and against a limit that stays after the warm-up.
func TestWarmup(t *testing.T) {
	l := newLimiter()
	l.setCapacity(1000)
	began := steady.Now()
	l.setWarmup(began.Add(time.Hour), 50)
	const tries = 2000
	ran := 0
	for range tries {
		if l.acquire(t.Context(), "t", 1, false) == nil {
			ran++
		}
	}
	require.LessOrEqual(t, float64(ran), 50*(steady.Now().Sub(began).Seconds()+warmupBurst)+1)
	l.setWarmup(began, 50)
	require.NoError(t, l.acquire(t.Context(), "t", 1, false))
	l.setWarmup(steady.Now().Add(time.Hour), 0)
	require.Error(t, l.acquire(t.Context(), "t", 1, true), "the warm-up limit also applies inside a transaction")
}

// Guards against more statements at a time than the limit, statements that run after their context has ended, and statements
// of higher priority that wait behind others.
func TestLimiter(t *testing.T) {
	l := newLimiter()
	l.setCapacity(1)
	const limit = 1 + spareStatements
	for range limit {
		require.NoError(t, l.acquire(t.Context(), "t", 1, false))
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	err := l.acquire(ended, "t", 1, false)
	var refused *statement.Failure
	require.ErrorAs(t, err, &refused)
	require.Equal(t, statement.CodeBusy, refused.Code)
	require.NoError(t, l.acquire(t.Context(), "t", 1, true), "a statement inside a transaction does not wait")
	l.release(1, time.Millisecond)

	order := make(chan int, 2)
	waiting := func(priority, queued int) {
		go func() {
			if l.acquire(context.Background(), "t", priority, false) == nil {
				order <- priority
			}
		}()
		require.Eventually(t, func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			n := 0
			for _, pq := range l.queues {
				n += pq.queue.Len()
			}
			return n == queued
		}, 10*time.Second, time.Millisecond)
	}
	waiting(2, 1)
	waiting(0, 2)
	l.release(1, time.Millisecond)
	require.Equal(t, 0, <-order)
	l.release(1, time.Millisecond)
	require.Equal(t, 2, <-order)
}
