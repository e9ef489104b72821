package gate_test

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/host/gate"
)

// short is a timeout for messages and answers.
const short = 20 * time.Millisecond

var callers = budget.Listener{Name: "callers", Limit: 2}

// open admits one end of a pipe and returns both.
func open(t *testing.T, limiter *gate.Limiter) (*gate.Session, net.Conn) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	s, err := limiter.Open(callers, near, budget.SessionLimits{First: 64 * budget.KiB, Message: short, Answer: short})
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, far
}

// Guards against a message that has begun and never ends, while a session that waits for a message may be idle.
func TestMessageTime(t *testing.T) {
	s, far := open(t, gate.New(budget.NewLimits(64*budget.MiB, 400)))
	s.Waiting(false)
	go func() { _, _ = far.Write([]byte("x")) }()
	time.Sleep(2 * short)
	_, err := s.Read(make([]byte, 1))
	require.NoError(t, err, "an idle session has no deadline")
	require.False(t, s.Overdue())
	require.NoError(t, s.Take(2000))
	_, err = s.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.True(t, s.Overdue())
}

// Guards against a deadline of the owner, such as that of a shutdown, which a message that begins replaces.
func TestMessageKeepsDeadline(t *testing.T) {
	s, _ := open(t, gate.New(budget.NewLimits(64*budget.MiB, 400)))
	s.Waiting(false)
	require.NoError(t, s.SetReadDeadline(time.Now()))
	require.NoError(t, s.Take(2000))
	_, err := s.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	s.Received()
	require.False(t, s.Overdue())
}

// Guards against a caller that reads no answers and holds them for ever.
func TestAnswerTime(t *testing.T) {
	s, _ := open(t, gate.New(budget.NewLimits(64*budget.MiB, 400)))
	s.Waiting(false)
	s.Received()
	_, err := s.Write([]byte(strings.Repeat("x", 8000)))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against a first message that takes as much memory as one of an authenticated caller.
func TestFirstMessage(t *testing.T) {
	s, _ := open(t, gate.New(budget.NewLimits(64*budget.MiB, 400)))
	var refused *budget.RefusedError
	require.ErrorAs(t, s.Take(int(65*budget.KiB)), &refused)
	require.Equal(t, budget.ReasonFirst, refused.Reason)
	s.Waiting(false)
	require.NoError(t, s.Take(int(65*budget.KiB)))
}

// Guards against connections of sessions that have to go but stay open, and against their bytes, which must be free at once.
func TestEvicted(t *testing.T) {
	limiter := gate.New(budget.NewLimits(64*budget.MiB, 400))
	large, _ := open(t, limiter)
	large.Waiting(false)
	require.NoError(t, large.Take(int(9*budget.MiB)))
	small, _ := open(t, limiter)
	small.Waiting(false)
	small.Received()
	require.NoError(t, small.Take(int(8*budget.MiB)))
	_, err := large.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.ErrClosedPipe)
	require.Error(t, large.Take(1))
	third, _ := open(t, limiter)
	require.NotNil(t, third)
	_, err = small.Write([]byte("x"))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "a busy session stays")
}
