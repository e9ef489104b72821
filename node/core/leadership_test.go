package core

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/fleet/takeover"
)

// endLeadership ends the leadership of the core host.
func (s *serviceUnderTest) endLeadership() {
	require.NoError(s.t, s.core.replica.Close(context.Background()))
	require.Eventually(s.t, func() bool { return !s.core.leads() }, eventually, time.Millisecond)
}

// Guards against the loss of an acknowledged write: an earlier leader, which was frozen meanwhile, tells replicas to continue that the
// next leader has paused for its own promotion.
func TestEarlierLeaderContinuesNoReplicas(t *testing.T) {
	s := newServiceUnderTest(t)
	p := s.promotion(s.execute)
	statuses := p.pauseReplicas(t.Context(), newestTerm(p.statuses(t.Context(), p.decision.Candidates, statement.AskStatus{})))
	require.Len(t, statuses, 2)
	s.endLeadership()
	s.core.groups.requestStatuses(t.Context(), s.targets, statement.Continue{})
	for id, status := range p.statuses(t.Context(), p.decision.Candidates, statement.AskStatus{}) {
		require.NotZero(t, status.PausedTerm, id)
	}
}

// Guards against a service without a primary: an earlier leader lets the primary step down or pauses its replicas and can't promote
// another upstream.
func TestEarlierLeaderReplacesNoPrimary(t *testing.T) {
	for _, planned := range []bool{true, false} {
		s := newServiceUnderTest(t)
		relay := s.serve()
		s.endLeadership()
		p := s.promotion(s.execute)
		p.decision.Planned, p.relay = planned, relay
		p.run(t.Context())
		require.True(t, s.group.Store("after", "after", "x"), "the primary serves, planned %t", planned)
		for id, status := range p.statuses(t.Context(), p.decision.Candidates, statement.AskStatus{}) {
			require.Zero(t, status.PausedTerm, id)
		}
	}
}

// blockedPlatform is a platform that does not answer. It records how each order ended.
type blockedPlatform struct{ orders chan error }

// Promote implements Promoter.
func (b blockedPlatform) Promote(ctx context.Context, _ ident.Service, _ ident.Upstream, _ uint64) error {
	b.orders <- nil
	<-ctx.Done()
	b.orders <- ctx.Err()
	return ctx.Err()
}

// Guards against a promotion that goes on into the next leadership of its host. Its positions are older than those of the promotions of
// that leadership, and its orders would have the higher tokens.
func TestPromotionEndsWithItsLeadership(t *testing.T) {
	s := newServiceUnderTest(t)
	platform := blockedPlatform{orders: make(chan error, 2*maxOrders)}
	s.core.options.Promoter = platform
	s.core.state.catalog = parsedCatalog(t)
	for _, id := range []ident.Upstream{"i-1", "i-2"} {
		s.core.recordAnnouncement(&fleetpb.Announcement{Upstream: string(id), Service: "svc", Address: s.targets[id].Address, Zone: "z", Seq: 1})
	}
	g := s.core.groups
	g.list["svc"] = newGroup("svc", takeover.New(steady.Now().Add(-time.Hour), "i-0", ident.Position{}))
	g.tick(t.Context(), true)
	require.NoError(t, <-platform.orders, "the first order is sent")
	g.tick(t.Context(), false)
	require.ErrorIs(t, <-platform.orders, context.Canceled)
	require.Never(t, func() bool { return len(platform.orders) > 0 }, orderTimeout, orderTimeout/4, "no order follows")
}
