package core

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/fleet/takeover"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/replica"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/wire"
	standin "tamarackshunt.dev/standin/platform"
)

// eventually bounds the wait for a condition. It is far longer than needed, even on a busy machine.
const eventually = 30 * time.Second

func protocol(connection io.ReadWriter) upstream.Session { return wire.NewUpstream(connection) }

// promoterFunc is a platform that executes an order with a function.
type promoterFunc func(id ident.Upstream) error

// Promote implements Promoter.
func (f promoterFunc) Promote(_ context.Context, _ ident.Service, id ident.Upstream, _ uint64) error {
	return f(id)
}

// serviceUnderTest is a group of three upstreams whose writes wait for one replica, and the leader of the core.
type serviceUnderTest struct {
	t       *testing.T
	core    *Core
	group   *standin.Group
	members map[ident.Upstream]*standin.Upstream
	targets map[ident.Upstream]upstream.Target
}

func newServiceUnderTest(t *testing.T) *serviceUnderTest {
	s := &serviceUnderTest{
		t: t, core: newTestCore(), group: standin.NewGroup("svc"), members: map[ident.Upstream]*standin.Upstream{},
		targets: map[ident.Upstream]upstream.Target{},
	}
	s.group.SetSyncReplicas(1)
	for _, id := range []ident.Upstream{"i-0", "i-1", "i-2"} {
		u, err := s.group.Start(standin.Options{ID: string(id), Zone: "z", Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: 20})
		require.NoError(t, err)
		t.Cleanup(u.Crash)
		s.members[id], s.targets[id] = u, upstream.Target{Service: "svc", Upstream: id, Address: u.Address}
	}
	s.core.options.Peers = peer.New(peer.Options{Trusted: true})
	s.core.options.Protocol = protocol
	s.core.client = s.core.options.Peers.Client(0)
	var err error
	s.core.replica, err = replica.New(replica.Options{
		Host: "a", Peer: "127.0.0.1:1", InitialHosts: []*fleetpb.ControlHost{{Host: "a", Peer: "127.0.0.1:1"}}, Folder: t.TempDir(),
		Peers: s.core.options.Peers, Machine: s.core.state, Bounds: bounds(1, 0),
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.core.replica.Close(context.Background()) })
	require.Eventually(t, func() bool { return s.core.replica.Leadership().Confirmed }, eventually, time.Millisecond)
	require.True(t, s.group.Store("first", "first", "x"))
	return s
}

// promotion returns a replacement of the first primary, whose orders the promoter executes.
func (s *serviceUnderTest) promotion(promoter promoterFunc) *promotion {
	s.core.options.Promoter = promoter
	now := steady.Now()
	grp := newGroup("svc", takeover.New(now, "i-0", ident.Position{}))
	decision := &takeover.Decision{Cause: "test", Primary: "i-0", Candidates: []ident.Upstream{"i-1", "i-2"}, Replicas: 2}
	return &promotion{groups: s.core.groups, group: grp, decision: decision, syncReplicas: 1, targets: s.targets}
}

// execute executes an order to promote.
func (s *serviceUnderTest) execute(id ident.Upstream) error {
	if !s.group.Promote(string(id)) {
		return &takeover.RefusedError{Text: "it is down"}
	}
	return nil
}

// storeLate starts a write at the present primary and returns once that has it in its log or has refused it. The returned function
// reports whether the write was acknowledged.
func (s *serviceUnderTest) storeLate(id string) (acknowledged func() bool) {
	result := make(chan bool, 1)
	ended := make(chan struct{})
	go func() {
		result <- s.group.Store(id, id, "x")
		close(ended)
	}()
	require.Eventually(s.t, func() bool {
		_, runs := s.group.Items()
		select {
		case <-ended:
			return true
		default:
			return runs[id] > 0
		}
	}, eventually, time.Millisecond)
	return func() bool { return <-result }
}

// Guards against the loss of an acknowledged write: the primary, which the core can't reach, acknowledges it through one replica after
// the replicas have reported their positions and before the other one is promoted.
func TestPromotionKeepsWritesOfReplacedPrimary(t *testing.T) {
	s := newServiceUnderTest(t)
	s.members["i-0"].SetCutOff(true)
	var acknowledged func() bool
	s.promotion(func(id ident.Upstream) error {
		s.members[id].SetReplicationPaused(true)
		acknowledged = s.storeLate("late")
		return s.execute(id)
	}).run(t.Context())
	require.NotEqual(t, "i-0", s.group.Primary())
	_, runs := s.group.Items()
	require.Contains(t, runs, "first")
	if acknowledged() {
		require.Contains(t, runs, "late", "an acknowledged write is in the log of the promoted upstream")
	}
}

// serve serves a gateway whose host holds a connection of a team to the primary, and returns its address.
func (s *serviceUnderTest) serve() string {
	pool := upstream.NewPool(s.targets["i-0"], protocol, 1)
	executor := pool.Executor("team", 1)
	ctx, cancel := context.WithTimeout(s.t.Context(), eventually)
	defer cancel()
	_, err := executor.Execute(ctx, upstream.Use{ID: "1", Text: "STORE second x", Timeout: eventually})
	require.NoError(s.t, err)
	server := httptest.NewServer(peer.TrustedHandler(gateway.NewServer(onePool{pool}).Handler()))
	s.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

type onePool struct{ pool *upstream.Pool }

// Pool implements gateway.Pools.
func (p onePool) Pool(ident.Service, ident.Upstream) *upstream.Pool { return p.pool }

// Guards against the loss of acknowledged writes by the replacement of a primary that serves hosts and that only the core can't reach:
// a host that reaches it must have it step down first.
func TestServingPrimaryStepsDownThroughHost(t *testing.T) {
	s := newServiceUnderTest(t)
	relay := s.serve()
	s.members["i-0"].SetCutOff(true)
	var acknowledged func() bool
	p := s.promotion(func(id ident.Upstream) error {
		acknowledged = s.storeLate("late")
		return s.execute(id)
	})
	p.decision.Planned, p.decision.Serving, p.relay = true, true, relay
	p.run(t.Context())
	require.NotEqual(t, "i-0", s.group.Primary())
	require.False(t, acknowledged(), "the old primary has stepped down")
	_, runs := s.group.Items()
	require.Contains(t, runs, "first")
	require.Empty(t, p.group.pauses.upstreams, "no replica needs to be paused")
}

// Guards against the replacement of a primary that serves hosts and can't be made to step down.
func TestServingPrimaryIsKept(t *testing.T) {
	s := newServiceUnderTest(t)
	s.members["i-0"].SetCutOff(true)
	for _, relay := range []string{"", "127.0.0.1:1"} {
		p := s.promotion(func(ident.Upstream) error {
			t.Error("an order was sent")
			return nil
		})
		p.decision.Planned, p.decision.Serving, p.relay = true, true, relay
		p.run(t.Context())
		require.Equal(t, "i-0", s.group.Primary())
		require.True(t, s.group.Store("after"+relay, "after", "x"))
	}
}

// Guards against a deposed primary that is promoted again on its old log, since it alone answers the core while the replica that follows the
// present primary has no connection left: commits that the group had dropped would return, and later ones would be lost.
func TestDeposedPrimaryIsNotPromotedAgain(t *testing.T) {
	for _, answers := range []bool{false, true} {
		s := newServiceUnderTest(t)
		s.group.SetSyncReplicas(0)
		for _, u := range s.members {
			u.SetReplicationPaused(true)
		}
		for _, dropped := range []string{"d1", "d2", "d3"} {
			require.True(t, s.group.Store(dropped, dropped, "x"))
		}
		require.NoError(t, s.execute("i-1"))
		s.members["i-2"].SetReplicationPaused(false)
		require.True(t, s.group.Store("kept", "kept", "x"))
		// The replica has not received the last write.
		s.members["i-2"].SetReplicationPaused(true)
		require.True(t, s.group.Store("later", "later", "x"))
		s.members["i-2"].SetCutOff(!answers)
		p := s.promotion(s.execute)
		p.syncReplicas = 0
		p.decision.Primary, p.decision.Planned, p.decision.Candidates = "i-1", true, []ident.Upstream{"i-0", "i-2"}
		p.run(t.Context())
		_, runs := s.group.Items()
		require.Contains(t, runs, "kept")
		require.NotContains(t, runs, "d1")
		if answers {
			require.Equal(t, "i-2", s.group.Primary())
		} else {
			require.Equal(t, "i-1", s.group.Primary(), "it has every write")
			require.Contains(t, runs, "later")
		}
		require.True(t, s.group.Store("after", "after", "x"), "the group has a primary")
	}
}

// Guards against replicas that stay paused after a replacement that was refused, or after one that succeeded: no write would be
// acknowledged any more.
func TestPausedReplicasContinue(t *testing.T) {
	for _, refused := range []bool{true, false} {
		s := newServiceUnderTest(t)
		p := s.promotion(func(id ident.Upstream) error {
			if refused {
				return &takeover.RefusedError{Text: "no"}
			}
			return s.execute(id)
		})
		p.run(t.Context())
		require.NotEmpty(t, p.group.pauses.upstreams)
		acknowledged := s.storeLate("after")
		g := s.core.groups
		require.Eventually(t, func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.resumeReplicas(t.Context(), steady.Now(), p.group, s.targets)
			return len(p.group.pauses.upstreams) == 0
		}, eventually, time.Millisecond)
		require.True(t, acknowledged())
	}
}

// Guards against a replacement that is given up while an order without an answer may still be executed, and against a new leader that
// leaves replicas paused which the earlier leader has paused.
func TestOrderWithoutAnswerIsCompleted(t *testing.T) {
	s := newServiceUnderTest(t)
	p := s.promotion(func(ident.Upstream) error { return context.DeadlineExceeded })
	p.run(t.Context())
	require.Equal(t, "i-0", s.group.Primary())
	require.NotEmpty(t, p.group.pauses.upstreams)
	decider := p.group.decider
	later := steady.Now().Add(time.Minute)
	announce(decider, later)
	require.NotNil(t, decider.Decide(later), "the replacement is due although the primary is back")

	// The next leader knows nothing of the replacement but what the replicas say.
	g := s.core.groups
	next := newGroup("svc", takeover.New(steady.Now(), "i-0", ident.Position{}))
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.checkPaused(t.Context(), steady.Now(), next, s.targets)
		return len(next.pauses.upstreams) == 2
	}, eventually, time.Millisecond)
	announce(next.decider, later)
	decision := next.decider.Decide(later)
	require.NotNil(t, decision)
	p = s.promotion(s.execute)
	p.group, p.decision = next, decision
	p.run(t.Context())
	require.NotEqual(t, "i-0", s.group.Primary())
	announce(next.decider, later.Add(time.Second))
	require.Nil(t, next.decider.Decide(later.Add(time.Second)))
}

// Guards against replicas that continue in the pause before the next attempt, while an order without an answer may still be executed, and
// against a promotion that pauses replicas which are just told to continue.
func TestNoReplicaContinuesWhileOrderIsOpen(t *testing.T) {
	s := newServiceUnderTest(t)
	p := s.promotion(func(ident.Upstream) error { return context.DeadlineExceeded })
	p.run(t.Context())
	g, grp := s.core.groups, p.group
	step := func(now ident.Time) {
		g.mu.Lock()
		defer g.mu.Unlock()
		announce(grp.decider, now)
		g.probeOrPromote(t.Context(), now, grp, s.targets, 1)
	}
	// The decider waits before its next attempt.
	now := steady.Now().Add(time.Hour)
	grp.decider.Unfinished(now)
	step(now)
	require.False(t, grp.promoting)
	require.False(t, grp.pauses.resuming)
	require.Len(t, grp.pauses.upstreams, 2)

	grp.pauses.resuming = true
	step(now.Add(time.Minute))
	require.False(t, grp.promoting)
	grp.pauses.resuming = false
	s.core.options.Promoter = promoterFunc(s.execute)
	step(now.Add(time.Minute))
	require.Eventually(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return !grp.promoting && !grp.decider.IsUnfinished()
	}, eventually, time.Millisecond)
	require.NotEqual(t, "i-0", s.group.Primary())
}

// Guards against a serving primary that is kept, although the core reaches it, because the host that reported it is gone.
func TestServingPrimaryStepsDownDirectly(t *testing.T) {
	s := newServiceUnderTest(t)
	for _, relay := range []string{"", "127.0.0.1:1"} {
		p := s.promotion(s.execute)
		p.decision.Planned, p.decision.Serving, p.relay = true, true, relay
		require.True(t, p.stepDownPrimary(t.Context()).caughtUp)
	}
}

// Guards against a new leader that leaves replicas paused for long, because it looked for them when none had announced itself yet.
func TestReplicasListedLateAreChecked(t *testing.T) {
	s := newServiceUnderTest(t)
	s.promotion(func(ident.Upstream) error { return context.DeadlineExceeded }).run(t.Context())
	g, next := s.core.groups, newGroup("svc", takeover.New(steady.Now(), "i-0", ident.Position{}))
	check := func(now ident.Time, targets map[ident.Upstream]upstream.Target) {
		g.mu.Lock()
		g.checkPaused(t.Context(), now, next, targets)
		g.mu.Unlock()
		require.Eventually(t, func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return !next.pauses.checking
		}, eventually, time.Millisecond)
	}
	now := steady.Now()
	check(now, nil)
	check(now.Add(pauseCheckInterval), s.targets)
	require.Len(t, next.pauses.upstreams, 2)
}

// announce lets all three members announce themselves at a time.
func announce(decider *takeover.Decider, now ident.Time) {
	decider.SetMembers(now, []takeover.Member{
		{Upstream: "i-0", Primary: decider.Primary() == "i-0", LastAnnounced: now},
		{Upstream: "i-1", Primary: decider.Primary() == "i-1", LastAnnounced: now},
		{Upstream: "i-2", Primary: decider.Primary() == "i-2", LastAnnounced: now},
	})
}

// Guards against an order with an outdated token from a host that was suspended between the reservation of the token and the call.
func TestFormerLeaderOrdersNothing(t *testing.T) {
	s := newServiceUnderTest(t)
	orders := 0
	p := s.promotion(func(ident.Upstream) error { orders++; return nil })
	token, err := p.reserveToken(t.Context(), "i-1", ident.Position{})
	require.NoError(t, err)
	require.NoError(t, s.core.replica.Close(t.Context()))
	require.Eventually(t, func() bool { return !s.core.leads() }, eventually, time.Millisecond)
	require.ErrorIs(t, p.sendOrder(t.Context(), "i-1", token), errNotLeader)
	require.Zero(t, orders)
}

// Guards against the loss of an acknowledged write that only a replica has which must get no new work, and against writes that are
// acknowledged through that one after the positions were read.
func TestReplicaWithoutNewWorkHoldsWrites(t *testing.T) {
	s := newServiceUnderTest(t)
	s.members["i-2"].SetReplicationPaused(true)
	require.True(t, s.group.Store("second", "second", "x"))
	s.members["i-0"].SetCutOff(true)
	acknowledged := func() bool { return false }
	p := s.promotion(func(id ident.Upstream) error {
		acknowledged = s.storeLate("late")
		return s.execute(id)
	})
	p.decision.Candidates, p.decision.Ending = []ident.Upstream{"i-2"}, []ident.Upstream{"i-1"}
	p.run(t.Context())
	require.Equal(t, "i-0", s.group.Primary(), "no candidate has the write, and the replica that has it is about to end")
	p.decision.Ending, p.decision.Evacuated = nil, p.decision.Ending
	p.run(t.Context())
	require.Equal(t, "i-1", s.group.Primary())
	_, runs := s.group.Items()
	require.Contains(t, runs, "second")
	if acknowledged() {
		require.Contains(t, runs, "late")
	}
}

// Guards against a promotion after the end of a replica that may have been the only one with an acknowledged write: the leader reads the
// primary's position, through an entry host if it must, and promotes nobody whose log does not reach it.
func TestFloorIsRead(t *testing.T) {
	s := newServiceUnderTest(t)
	relay := s.serve()
	for _, cutOff := range []bool{false, true} {
		s.members["i-0"].SetCutOff(cutOff)
		s.members["i-2"].SetReplicationPaused(true)
		require.True(t, s.group.Store("only", "only", "x"))
		p := s.promotion(s.execute)
		p.relay = relay
		announce(p.group.decider, steady.Now())
		s.core.groups.readFloor(t.Context(), p)
		later := steady.Now().Add(time.Minute)
		p.group.decider.SetMembers(later, []takeover.Member{{Upstream: "i-2", LastAnnounced: later}})
		decision := p.group.decider.Decide(later)
		require.NotNil(t, decision)
		require.Equal(t, 1, decision.Replicas)
		p.decision = decision
		p.run(t.Context())
		require.Equal(t, "i-0", s.group.Primary())
		s.members["i-2"].SetReplicationPaused(false)
	}
}

// Guards against a planned replacement that waits for the positions of departed replicas, although a candidate has the whole log.
func TestPlannedReplacementBesideDeparture(t *testing.T) {
	s := newServiceUnderTest(t)
	p := s.promotion(s.execute)
	p.decision.Planned, p.decision.Replicas, p.decision.Departed = true, 5, 3
	p.run(t.Context())
	require.NotEqual(t, "i-0", s.group.Primary())
}
