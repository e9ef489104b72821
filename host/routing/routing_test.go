package routing_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/sqlstate"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/entry"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/routing"
	"tamarackshunt.dev/host/tracker"
)

const (
	secret  = "fleet-secret-0000"
	service = ident.Service("orders")
	// waitLimit is the longest wait for a condition; no test depends on its length.
	waitLimit = 20 * time.Second
	// rejectTimeout is the timeout of statements that must be rejected.
	rejectTimeout = 60 * time.Millisecond
)

var session = ident.Session{Service: service, Team: "brno", User: "ema"}

func target(name ident.Upstream) member.Target {
	return member.Target{Service: service, Upstream: name}
}

// simulation provides the inputs of a Routing: an observer's report, the control state, and the session position from keepers.
type simulation struct {
	mutex    sync.Mutex
	report   *fleetpb.PositionsResponse
	view     *member.View
	position ident.Position
	known    bool
}

func (s *simulation) Positions(context.Context, *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.report, nil
}

func (s *simulation) Position(context.Context, ident.Session) (ident.Position, bool) {
	return s.position, s.known
}

func (s *simulation) Outstanding(member.Target) int { return 0 }

func (s *simulation) set(report *fleetpb.PositionsResponse) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.report = report
}

// newSimulation returns a simulation of a group with the primary o1 and the replicas o2, which is in the host's zone, and o3.
func newSimulation() *simulation {
	group := &fleetpb.Group{Service: "orders", Term: 2, Primary: "o1", Members: []*fleetpb.Member{
		{Upstream: "o1", Zone: "south"}, {Upstream: "o2", Zone: "north"}, {Upstream: "o3", Zone: "west"},
	}}
	view := &member.View{
		Groups:    map[ident.Service]*fleetpb.Group{service: group},
		Services:  map[ident.Service]*fleetpb.Service{service: {Name: "orders", Age: durationpb.New(time.Hour)}},
		Announced: map[member.Target]bool{target("o1"): true, target("o2"): true, target("o3"): true},
	}
	return &simulation{report: report(2, "o1", 50, 50), view: view, position: ident.Position{Term: 2, LSN: 50}, known: true}
}

// report returns an observer's response about a group with o1 at LSN 90 and the replicas o2 and o3 at the given LSNs.
func report(term uint64, primary string, second, third uint64) *fleetpb.PositionsResponse {
	held := func(upstream string, lsn uint64) *fleetpb.Held {
		return &fleetpb.Held{Upstream: upstream, Position: &fleetpb.Position{Term: term, Lsn: lsn}, Reachable: true}
	}
	return &fleetpb.PositionsResponse{
		Term: term, Primary: primary, Confirmed: true, Held: []*fleetpb.Held{held("o1", 90), held("o2", second), held("o3", third)},
	}
}

func newRouting(t *testing.T, s *simulation) *routing.Routing {
	server := httptest.NewServer(peer.Guard(peer.Secrets(secret), &metrics.Counter{}, fleetpb.NewObserverServer(s)))
	t.Cleanup(server.Close)
	addresses := []string{strings.TrimPrefix(server.URL, "http://")}
	c := clock.New()
	tr := tracker.New(tracker.Options{Clock: c, Peers: peer.New(peer.Options{Secret: secret}), Observers: func(ident.Service) []string { return addresses }})
	t.Cleanup(tr.Close)
	unchanged := make(chan struct{})
	return routing.New(routing.Options{
		Clock: c, View: func() *member.View { return s.view }, Changed: func() <-chan struct{} { return unchanged },
		Tracker: tr, Positions: s, Load: s, Zone: "north", Region: "moravia",
	})
}

// within returns a context with a timeout.
func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against reads that go to a replica that lacks the session's writes, has too old data, is out of service or has just
// failed, and against statements that go to a primary that was replaced in a later term or is not confirmed.
func TestChoice(t *testing.T) {
	replica := func(name ident.Upstream) entry.Choice {
		return entry.Choice{Target: target(name), Replica: true}
	}
	primary := entry.Choice{Target: target("o1")}
	none := entry.Choice{}
	tests := []struct {
		name   string
		change func(s *simulation)
		avoid  []ident.Upstream
		read   entry.Choice
		write  entry.Choice
	}{
		{"own zone", func(*simulation) {}, nil, replica("o2"), primary},
		{"own zone lags", func(s *simulation) { s.report = report(2, "o1", 49, 50) }, nil, replica("o3"), primary},
		{"all lag", func(s *simulation) { s.report = report(2, "o1", 49, 49) }, nil, primary, primary},
		{"session position of a later term", func(s *simulation) { s.position.Term = 3 }, nil, none, primary},
		{"unknown position", func(s *simulation) { s.known = false }, nil, primary, primary},
		{"old data", func(s *simulation) { s.report.Held[1].AgeMs = 1 << 40 }, nil, replica("o3"), primary},
		{"leaving", func(s *simulation) { s.view.Groups[service].Members[1].Leaving = true }, nil, replica("o3"), primary},
		{"zone out", func(s *simulation) { s.view.ZonesOut = map[ident.Zone]bool{"north": true} }, nil, replica("o3"), primary},
		{"not announced", func(s *simulation) { delete(s.view.Announced, target("o2")) }, nil, replica("o3"), primary},
		{"failed replica", func(*simulation) {}, []ident.Upstream{"o2"}, replica("o3"), primary},
		{"all failed", func(*simulation) {}, []ident.Upstream{"o1", "o2", "o3"}, primary, primary},
		{"unconfirmed primary", func(s *simulation) { s.report.Confirmed = false }, nil, replica("o2"), none},
		{"stale report", func(s *simulation) { s.view.Groups[service].Term = 3; s.view.Groups[service].Primary = "o2" }, nil, replica("o3"), none},
		{"no primary", func(s *simulation) { s.report.Primary = ""; s.view.Groups[service].Primary = "" }, nil, replica("o2"), none},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation()
			tt.change(s)
			r := newRouting(t, s)
			check := func(want entry.Choice, choose func(ctx context.Context) (entry.Choice, error)) {
				wait := waitLimit
				if want == none {
					wait = rejectTimeout
				}
				// A failed replica is avoided only for a limited time, so wait for the tracker's first report before Avoid.
				_, _ = r.Primary(within(t, rejectTimeout), service)
				for _, name := range tt.avoid {
					r.Avoid(target(name))
				}
				got, err := choose(within(t, wait))
				require.Equal(t, want, got)
				var rejected *sqlstate.Rejection
				if want == none {
					require.ErrorAs(t, err, &rejected)
				} else {
					require.NoError(t, err)
				}
			}
			check(tt.read, func(ctx context.Context) (entry.Choice, error) { return r.Read(ctx, session) })
			check(tt.write, func(ctx context.Context) (entry.Choice, error) { return r.Primary(ctx, service) })
		})
	}
}

// Guards against a write that is rejected, or continues to wait, although a failover ends before its deadline.
func TestWriteWaitsForThePrimary(t *testing.T) {
	s := newSimulation()
	s.report.Confirmed = false
	r := newRouting(t, s)
	chosen := make(chan entry.Choice, 1)
	go func() {
		choice, _ := r.Primary(within(t, waitLimit), service)
		chosen <- choice
	}()
	select {
	case choice := <-chosen:
		require.Fail(t, "chosen without a wait", "%v", choice)
	case <-time.After(rejectTimeout):
	}
	s.set(report(3, "o3", 50, 50))
	require.Equal(t, entry.Choice{Target: target("o3")}, <-chosen)
}

// Guards against a busy loop until the deadline after the caller has disconnected.
func TestCancelledWaitEnds(t *testing.T) {
	s := newSimulation()
	s.report.Confirmed = false
	r := newRouting(t, s)
	_, _ = r.Primary(within(t, rejectTimeout), service)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := r.Primary(ctx, service)
		ended <- err
	}()
	select {
	case err := <-ended:
		var rejected *sqlstate.Rejection
		require.ErrorAs(t, err, &rejected)
	case <-time.After(waitLimit):
		require.Fail(t, "the wait did not end with its context")
	}
}
