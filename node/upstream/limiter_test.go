package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/admission"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

// testRequest returns a request of a team whose deadline no test reaches.
func testRequest(priority int, holding bool) admission.Request {
	return admission.Request{Team: "t", Priority: priority, Deadline: steady.Now().Add(time.Hour), Holding: holding}
}

// run admits a statement up to its slot.
func (l *limiter) run(ctx context.Context, request admission.Request) (admission.ID, error) {
	id, err := l.arrive(ctx, request)
	if err == nil && !request.Holding {
		err = l.start(ctx, id, request)
	}
	return id, err
}

func (l *limiter) waitingStatements() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.Waiting()
}

// Guards against statements that wait for the warm-up rate and are never granted, a host without a share of that rate that lets its
// callers wait, and a limit that stays after the warm-up. How many statements the rate admits is tested in package admission.
func TestWarmup(t *testing.T) {
	l := newLimiter("i-1")
	l.setCapacity(1000)
	l.setWarmup(steady.Now().Add(time.Hour), 1000)
	for _, holding := range []bool{false, true, false, true} {
		_, err := l.run(t.Context(), testRequest(1, holding))
		require.NoError(t, err)
	}
	l.setWarmup(steady.Now(), 1000)
	_, err := l.run(t.Context(), testRequest(1, false))
	require.NoError(t, err)
	l.setWarmup(steady.Now().Add(time.Hour), 0)
	for _, holding := range []bool{false, true} {
		_, err = l.run(t.Context(), testRequest(1, holding))
		require.Error(t, err, "the warm-up limit also applies inside a transaction")
	}
}

// Guards against statements that wait until the end of a warm-up although the host has got a share of its rate meanwhile.
func TestWarmupRateRises(t *testing.T) {
	l := newLimiter("i-1")
	l.setWarmup(steady.Now().Add(time.Hour), 1e-6)
	ran := make(chan error)
	for range 2 {
		go func() {
			_, err := l.run(t.Context(), testRequest(1, true))
			ran <- err
		}()
	}
	require.Eventually(t, func() bool { return l.waitingStatements() == 2 }, 10*time.Second, time.Millisecond)
	l.setWarmup(steady.Now().Add(time.Hour), 1000)
	for range 2 {
		require.NoError(t, <-ran)
	}
}

// Guards against more statements at a time than the limit, also of transactions, statements that run after their context has ended,
// and statements of higher priority that wait behind others.
func TestLimiter(t *testing.T) {
	l := newLimiter("i-1")
	l.setCapacity(1)
	const limit = 1 + spareStatements
	var running []admission.ID
	for range limit {
		id, err := l.run(t.Context(), testRequest(1, false))
		require.NoError(t, err)
		running = append(running, id)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, holding := range []bool{false, true} {
		_, err := l.run(ended, testRequest(1, holding))
		var refused *statement.Failure
		require.ErrorAs(t, err, &refused)
		require.Equal(t, statement.CodeBusy, refused.Code)
		require.Positive(t, refused.Retry)
	}

	type grant struct {
		priority int
		holding  bool
	}
	order := make(chan grant, 3)
	waiting := func(g grant, queued int) {
		go func() {
			if _, err := l.run(context.Background(), testRequest(g.priority, g.holding)); err == nil {
				order <- g
			}
		}()
		require.Eventually(t, func() bool { return l.waitingStatements() == queued }, 10*time.Second, time.Millisecond)
	}
	waiting(grant{2, false}, 1)
	waiting(grant{0, false}, 2)
	waiting(grant{2, true}, 3)
	for i, want := range []grant{{2, true}, {0, false}, {2, false}} {
		l.finish(running[i])
		require.Equal(t, want, <-order)
	}
	require.Zero(t, l.waitingStatements())
}

// Guards against a deadlock: the only connection belongs to a transaction, and statements of other teams wait for it with reservations
// of all slots. The next statement of the transaction would then never run.
func TestTransactionRunsBesideWaitsForConnections(t *testing.T) {
	l := newLimiter("i-1")
	l.setCapacity(1)
	inside, err := l.run(t.Context(), testRequest(1, false))
	require.NoError(t, err)
	l.finish(inside)
	for range 1 + spareStatements {
		_, err := l.arrive(t.Context(), testRequest(1, false))
		require.NoError(t, err, "the statement has a reservation and waits for a connection")
	}
	_, err = l.arrive(t.Context(), admission.Request{Team: "t", Priority: 1, Deadline: steady.Now().Add(time.Millisecond)})
	require.Error(t, err, "no reservation is left")
	id, err := l.arrive(t.Context(), testRequest(0, false))
	require.NoError(t, err, "a more urgent statement doesn't wait behind them")
	l.cancel(id)
	_, err = l.run(t.Context(), testRequest(1, true))
	require.NoError(t, err)
}

// Guards against a statement without a connection that keeps its reservation, and against a wait for a connection that counts as an
// upstream that can't be reached.
func TestNoConnectionInTime(t *testing.T) {
	p := NewPool(Target{Service: "svc", Upstream: "i-1"}, nil, 1)
	_, _, err := p.request(steady.Now(), "t", 0)
	require.NoError(t, err, "the only connection is taken")
	for range 10 {
		_, err := p.Executor("t", 1).Execute(t.Context(), Use{ID: "1", Within: time.Millisecond})
		var refused *statement.Failure
		require.ErrorAs(t, err, &refused)
		require.Equal(t, statement.CodeBusy, refused.Code)
		require.Positive(t, refused.Retry)
	}
	require.Zero(t, p.Waiting())
	require.False(t, p.Load(steady.Now()).Avoid)
	for range defaultCapacity + spareStatements {
		_, err := p.limiter.arrive(t.Context(), testRequest(1, false))
		require.NoError(t, err)
	}
}

// Guards against statements that wait until their deadline for a connection that the host may no longer hold, in place of being sent
// to the host that may.
func TestWaitEndsWithoutAccount(t *testing.T) {
	p := NewPool(Target{Service: "svc", Upstream: "i-1"}, nil, 1)
	_, _, err := p.request(steady.Now(), "t", 0)
	require.NoError(t, err, "the only connection is taken")
	ended := make(chan error)
	go func() {
		_, err := p.Executor("t", 1).Execute(context.Background(), Use{ID: "1", Within: time.Hour})
		ended <- err
	}()
	require.Eventually(t, func() bool { return p.Waiting() == 1 }, 10*time.Second, time.Millisecond)
	p.SetLimit(0, true)
	var notHolder *NotHolderError
	require.ErrorAs(t, <-ended, &notHolder)
	require.Zero(t, p.MeasuredLoad(steady.Now()).Waiting)
	p.SetWarmup(steady.Now().Add(time.Hour), 0)
	_, err = p.Executor("t", 1).Execute(t.Context(), Use{ID: "2"})
	require.ErrorAs(t, err, &notHolder, "the queue's refusal would say that the upstream has no room")
}

// silentSession waits for an answer of the upstream to Connect.
type silentSession struct {
	Session
	connection io.Reader
}

// Connect implements Session.
func (s silentSession) Connect(ident.Service, ident.Team, ident.Upstream) (ident.Position, error) {
	_, err := s.connection.Read(make([]byte, 1))
	return ident.Position{}, err
}

// Guards against an upstream that is avoided as unreachable because a statement had too little time left to open a connection to it.
func TestOpeningCutShort(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	protocol := func(connection io.ReadWriter) Session { return silentSession{connection: connection} }
	p := NewPool(Target{Service: "svc", Upstream: "i-1", Address: listener.Addr().String()}, protocol, 1)
	// An attempt that the machine delays says that the upstream was silent for long.
	require.Eventually(t, func() bool {
		_, err := p.Executor("t", 1).Execute(t.Context(), Use{ID: "1", Within: 20 * time.Millisecond})
		var refused *statement.Failure
		return errors.As(err, &refused) && refused.Code == statement.CodeBusy && refused.Retry > 0
	}, 20*time.Second, time.Millisecond)
	_, err = p.Executor("t", 1).Execute(t.Context(), Use{ID: "1", Within: 2 * openingTime})
	var unreachable *UnreachableError
	require.ErrorAs(t, err, &unreachable, "an upstream that is silent for long is one that can't be reached")
}
