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
func TestCold(t *testing.T) {
	r := newRoom()
	r.setCapacity(1000)
	began := steady.Now()
	r.setWarmup(began.Add(time.Hour), 50)
	const tries = 2000
	ran := 0
	for range tries {
		if r.enter(t.Context(), "t", 1, false) == nil {
			ran++
		}
	}
	require.LessOrEqual(t, float64(ran), 50*(steady.Now().Sub(began).Seconds()+warmupBurst)+1)
	r.setWarmup(began, 50)
	require.NoError(t, r.enter(t.Context(), "t", 1, false))
	r.setWarmup(steady.Now().Add(time.Hour), 0)
	require.Error(t, r.enter(t.Context(), "t", 1, true), "also a statement inside a transaction counts")
}

// Guards against statements that run beyond the room, that run although nobody waits for them any more, and urgent ones that
// wait behind others.
func TestRoom(t *testing.T) {
	r := newRoom()
	r.setCapacity(1)
	const room = 1 + spareStatements
	for range room {
		require.NoError(t, r.enter(t.Context(), "t", 1, false))
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	err := r.enter(ended, "t", 1, false)
	var refused *statement.Failure
	require.ErrorAs(t, err, &refused)
	require.Equal(t, statement.CodeBusy, refused.Code)
	require.NoError(t, r.enter(t.Context(), "t", 1, true), "a transaction goes on")
	r.leave(1, time.Millisecond)

	order := make(chan int, 2)
	waiting := func(priority, queued int) {
		go func() {
			if r.enter(context.Background(), "t", priority, false) == nil {
				order <- priority
			}
		}()
		require.Eventually(t, func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			n := 0
			for _, line := range r.lines {
				n += line.queue.Len()
			}
			return n == queued
		}, 10*time.Second, time.Millisecond)
	}
	waiting(2, 1)
	waiting(0, 2)
	r.leave(1, time.Millisecond)
	require.Equal(t, 0, <-order)
	r.leave(1, time.Millisecond)
	require.Equal(t, 2, <-order)
}
