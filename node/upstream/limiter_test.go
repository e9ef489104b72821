package upstream

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

// Guards against a cold upstream that gets more than its rate, and one that stays limited once it is warm.
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
	require.Error(t, l.acquire(t.Context(), "t", 1, true), "also a statement inside a transaction counts")
}

// Guards against statements that run beyond the room, that run although nobody waits for them any more, and urgent ones that
// wait behind others.
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
	require.NoError(t, l.acquire(t.Context(), "t", 1, true), "a transaction goes on")
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
