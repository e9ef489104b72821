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

// control serves Borrow with an owner, or names the leader if that is set. fail is the number of calls that still fail.
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
	start        time.Time
	mu           sync.Mutex
	owner        string
	unresponsive []string
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
	f.unresponsive = append(f.unresponsive, owner)
}

func (f *fleet) OwnerRedirected(owner string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owner = owner
}

// startQuota starts a quota whose first owner address is that of a host which names the actual owner.
func startQuota(t *testing.T) (*quota.Quota, *control, context.CancelFunc, <-chan struct{}) {
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

// Guards against requests within the burst that never get a token or are refused while the owner changes or after a failed
// call, and against requests that run beyond the rate and burst.
func TestTake(t *testing.T) {
	q, c, _, _ := startQuota(t)
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
	// The bucket gains one token per second; the bound uses the time that really passed, so it holds on a busy host too.
	require.LessOrEqual(t, ran.Load(), int32(20+c.fleet.Now()/ident.Time(time.Second)+1))
}

// Guards against tokens that are spent for a cancelled request.
func TestTakeStopsWhenCallerCancels(t *testing.T) {
	q, c, _, _ := startQuota(t)
	c.fail.Store(1 << 30)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- q.Take(ctx, limit.Request{Team: "stalls"}) }()
	cancel()
	require.ErrorIs(t, <-result, context.Canceled)
	c.fail.Store(0)
	require.Equal(t, int64(20), c.owner.Balance(c.fleet.Now(), "stalls").Bucket)
}

// Guards against tokens that stay lent to a host after its shutdown.
func TestShutdownReturnsTokens(t *testing.T) {
	q, c, cancel, done := startQuota(t)
	for range 10 {
		require.NoError(t, q.Take(t.Context(), limit.Request{Team: "stalls"}))
	}
	cancel()
	<-done
	require.Zero(t, c.owner.Balance(c.fleet.Now(), "stalls").Lent)
}

// Guards against tokens of operations that did not run and that are lost on their way back.
func TestRefund(t *testing.T) {
	q, c, cancel, done := startQuota(t)
	refunded := metrics.GetOrCreateCounter("tamarack_quota_refunded_total")
	taken := int64(0)
	require.Eventually(t, func() bool {
		var receipt limit.Receipt
		require.NoError(t, q.Take(t.Context(), limit.Request{Team: "stalls", Receipt: &receipt}))
		taken++
		before := refunded.Get()
		// A token whose spending a report has told the owner stays spent.
		q.Refund(receipt)
		return refunded.Get() > before
	}, 10*time.Second, time.Millisecond)
	cancel()
	<-done
	require.GreaterOrEqual(t, c.owner.Balance(c.fleet.Now(), "stalls").Bucket, 20-(taken-1))
}

// Guards against a failed call to the owner that is not reported to the rest of the host, which would then detect the loss
// only by its own, less frequent calls.
func TestUnresponsiveOwner(t *testing.T) {
	q, c, _, _ := startQuota(t)
	require.NoError(t, q.Take(t.Context(), limit.Request{Team: "stalls"}))
	c.fleet.mu.Lock()
	require.Empty(t, c.fleet.unresponsive)
	c.fleet.mu.Unlock()
	owner := c.fleet.Owner()
	c.fail.Store(1 << 30)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = q.Take(ctx, limit.Request{Team: "stalls", MaxWait: time.Hour}) }()
	require.Eventually(t, func() bool {
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		return len(c.fleet.unresponsive) > 0 && c.fleet.unresponsive[0] == owner
	}, 20*time.Second, time.Millisecond)
}
