package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

// Guards against requests that block on the log's output, and against lines that are lost without being counted.
func TestLogNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := newLogWriter(out, rate.NewLimiter(rate.Inf, 0))
	const lines = 3 * logQueue
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	dropped := int(w.dropped.Load())
	require.Positive(t, dropped)
	close(out.release)
	w.flush()
	require.Equal(t, lines-dropped, strings.Count(out.out.String(), "\n"))
}

// Guards against log lines beyond the rate limit, which would take processor time from requests.
func TestLogRate(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	w := newLogWriter(out, rate.NewLimiter(0, 10))
	for range 50 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.flush()
	require.Equal(t, 10, strings.Count(out.out.String(), "\n"))
	require.Equal(t, uint64(40), w.dropped.Load())
}
