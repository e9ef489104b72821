package quota_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/quota"
)

const secret = "a-secret-of-the-fleet"

// control serves Borrow from an owner; the other calls of the service are not used here.
type control struct {
	fleetpb.Control
	fleet  *fleet
	owner  *limit.Owner
	leader string
	fail   atomic.Int32
}

func (c *control) Borrow(_ context.Context, request *fleetpb.BorrowRequest) (*fleetpb.BorrowResponse, error) {
	if c.leader != "" {
		return &fleetpb.BorrowResponse{Leader: c.leader}, nil
	}
	if c.fail.Add(-1) >= 0 {
		return nil, context.DeadlineExceeded
	}
	return c.owner.Borrow(c.fleet.Now(), request), nil
}

type fleet struct {
	start  time.Time
	mu     sync.Mutex
	owner  string
	silent []string
}

func (f *fleet) Now() ident.Time { return ident.Time(time.Since(f.start)) }

func (f *fleet) Owner() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owner
}

func (f *fleet) OwnerUnresponsive(owner string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = append(f.silent, owner)
}

func (f *fleet) OwnerRedirected(owner string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owner = owner
}

// begin starts a quota whose first owner names the real one.
func begin(t *testing.T) (*quota.Quota, *control, context.CancelFunc, <-chan struct{}) {
	f := &fleet{start: time.Now()}
	c := &control{fleet: f, owner: limit.NewOwner(limit.OwnerOptions{Since: -ident.Time(time.Hour)})}
	c.owner.SetRules(-ident.Time(time.Hour), map[ident.Team]limit.Rule{"stalls": {Rate: 1, Burst: 20}})
	peers := peer.New(peer.Options{Secret: secret})
	serve := func(c *control) string {
		server := httptest.NewServer(peer.Guard(peers.Admit, &metrics.Counter{}, fleetpb.NewControlServer(c)))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	f.owner = serve(&control{leader: serve(c)})
	q := quota.New(quota.Options{Host: "entry", Incarnation: 1, Fleet: f, Peers: peers})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	done := make(chan struct{})
	go func() {
		defer close(done)
		q.Run(ctx)
	}()
	return q, c, cancel, done
}

// Guards against requests within the burst that wait for nothing, are refused while the owner moves or one call fails,
// and against requests beyond rate and burst that run.
func TestTake(t *testing.T) {
	q, c, _, _ := begin(t)
	c.fail.Store(1)
	var ran atomic.Int32
	var wait sync.WaitGroup
	for range 40 {
		wait.Go(func() {
			var exceeded *limit.Exceeded
			if err := q.Take(context.Background(), limit.Request{Team: "stalls"}); err == nil {
				ran.Add(1)
			} else if !errors.As(err, &exceeded) || exceeded.Cause != limit.CauseRate {
				t.Errorf("refused with %v", err)
			}
		})
	}
	wait.Wait()
	require.GreaterOrEqual(t, ran.Load(), int32(20))
	// One token a second comes in; the bound on the time that passed holds whatever the machine does.
	require.LessOrEqual(t, ran.Load(), int32(20+c.fleet.Now()/ident.Time(time.Second)+1))
}

// Guards against callers that went away and still use up tokens of their team.
func TestTakeEndsWithItsCaller(t *testing.T) {
	q, c, _, _ := begin(t)
	c.fail.Store(1 << 30)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- q.Take(ctx, limit.Request{Team: "stalls"}) }()
	cancel()
	require.ErrorIs(t, <-result, context.Canceled)
	c.fail.Store(0)
	require.Equal(t, int64(20), c.owner.Balance(c.fleet.Now(), "stalls").Bucket)
}

// Guards against tokens that stay lent after a shutdown.
func TestShutdownGivesTokensBack(t *testing.T) {
	q, c, cancel, done := begin(t)
	for range 10 {
		require.NoError(t, q.Take(t.Context(), limit.Request{Team: "stalls"}))
	}
	cancel()
	<-done
	require.Zero(t, c.owner.Balance(c.fleet.Now(), "stalls").Lent)
}

// Guards against an owner whose loss the rest of the host learns of only by its own, rarer calls.
func TestSilentOwner(t *testing.T) {
	q, c, _, _ := begin(t)
	require.NoError(t, q.Take(t.Context(), limit.Request{Team: "stalls"}))
	c.fleet.mu.Lock()
	require.Empty(t, c.fleet.silent)
	c.fleet.mu.Unlock()
	owner := c.fleet.Owner()
	c.fail.Store(1 << 30)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = q.Take(ctx, limit.Request{Team: "stalls", MaxWait: time.Hour}) }()
	require.Eventually(t, func() bool {
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		return len(c.fleet.silent) > 0 && c.fleet.silent[0] == owner
	}, 20*time.Second, time.Millisecond)
}
