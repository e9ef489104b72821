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
	// patience bounds a wait for something that must happen; no test depends on its length.
	patience = 20 * time.Second
	// short is the deadline of statements that are to be rejected.
	short = 60 * time.Millisecond
)

var session = ident.Session{Service: service, Team: "brno", User: "ema"}

func target(name ident.Upstream) member.Target {
	return member.Target{Service: service, Upstream: name}
}

// world is what the chooser is told: by the observer, the control state and the keepers.
type world struct {
	mutex    sync.Mutex
	report   *fleetpb.PositionsResponse
	view     *member.View
	position ident.Position
	known    bool
}

func (w *world) Positions(context.Context, *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.report, nil
}

func (w *world) Position(context.Context, ident.Session) (ident.Position, bool) {
	return w.position, w.known
}

func (w *world) Outstanding(member.Target) int { return 0 }

func (w *world) set(report *fleetpb.PositionsResponse) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.report = report
}

// newWorld has the primary o1 and the replicas o2, in the host's zone, and o3.
func newWorld() *world {
	group := &fleetpb.Group{Service: "orders", Term: 2, Primary: "o1", Members: []*fleetpb.Member{
		{Upstream: "o1", Zone: "south"}, {Upstream: "o2", Zone: "north"}, {Upstream: "o3", Zone: "west"},
	}}
	view := &member.View{
		Groups:    map[ident.Service]*fleetpb.Group{service: group},
		Services:  map[ident.Service]*fleetpb.Service{service: {Name: "orders", Age: durationpb.New(time.Hour)}},
		Announced: map[member.Target]bool{target("o1"): true, target("o2"): true, target("o3"): true},
	}
	return &world{report: report(2, "o1", 50, 50), view: view, position: ident.Position{Term: 2, LSN: 50}, known: true}
}

// report is what observers say of a group whose replicas hold two positions.
func report(term uint64, primary string, second, third uint64) *fleetpb.PositionsResponse {
	held := func(upstream string, lsn uint64) *fleetpb.Held {
		return &fleetpb.Held{Upstream: upstream, Position: &fleetpb.Position{Term: term, Lsn: lsn}, Reachable: true}
	}
	return &fleetpb.PositionsResponse{
		Term: term, Primary: primary, Confirmed: true, Held: []*fleetpb.Held{held("o1", 90), held("o2", second), held("o3", third)},
	}
}

func newRouting(t *testing.T, w *world) *routing.Routing {
	server := httptest.NewServer(peer.Guard(peer.Secrets(secret), &metrics.Counter{}, fleetpb.NewObserverServer(w)))
	t.Cleanup(server.Close)
	addresses := []string{strings.TrimPrefix(server.URL, "http://")}
	c := clock.New()
	tr := tracker.New(tracker.Options{Clock: c, Peers: peer.New(peer.Options{Secret: secret}), Observers: func(ident.Service) []string { return addresses }})
	t.Cleanup(tr.Close)
	unchanged := make(chan struct{})
	return routing.New(routing.Options{
		Clock: c, View: func() *member.View { return w.view }, Changed: func() <-chan struct{} { return unchanged },
		Tracker: tr, Positions: w, Load: w, Zone: "north", Region: "moravia",
	})
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against reads that go to a replica without the session's writes, with too old data, out of service or failed just
// now, and against statements that go to a primary which a later term has replaced or nobody confirms.
func TestChoice(t *testing.T) {
	replica := func(name ident.Upstream) entry.Choice {
		return entry.Choice{Target: target(name), Replica: true}
	}
	primary := entry.Choice{Target: target("o1")}
	none := entry.Choice{}
	tests := []struct {
		name   string
		change func(w *world)
		avoid  []ident.Upstream
		read   entry.Choice
		write  entry.Choice
	}{
		{"own zone", func(*world) {}, nil, replica("o2"), primary},
		{"own zone lags", func(w *world) { w.report = report(2, "o1", 49, 50) }, nil, replica("o3"), primary},
		{"all lag", func(w *world) { w.report = report(2, "o1", 49, 49) }, nil, primary, primary},
		{"session ahead of the known term", func(w *world) { w.position.Term = 3 }, nil, none, primary},
		{"unknown position", func(w *world) { w.known = false }, nil, primary, primary},
		{"old data", func(w *world) { w.report.Held[1].AgeMs = 1 << 40 }, nil, replica("o3"), primary},
		{"leaving", func(w *world) { w.view.Groups[service].Members[1].Leaving = true }, nil, replica("o3"), primary},
		{"zone out", func(w *world) { w.view.ZonesOut = map[ident.Zone]bool{"north": true} }, nil, replica("o3"), primary},
		{"not announced", func(w *world) { delete(w.view.Announced, target("o2")) }, nil, replica("o3"), primary},
		{"failed replica", func(*world) {}, []ident.Upstream{"o2"}, replica("o3"), primary},
		{"all failed", func(*world) {}, []ident.Upstream{"o1", "o2", "o3"}, primary, primary},
		{"unconfirmed primary", func(w *world) { w.report.Confirmed = false }, nil, replica("o2"), none},
		{"stale report", func(w *world) { w.view.Groups[service].Term = 3; w.view.Groups[service].Primary = "o2" }, nil, replica("o3"), none},
		{"no primary", func(w *world) { w.report.Primary = ""; w.view.Groups[service].Primary = "" }, nil, replica("o2"), none},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld()
			tt.change(w)
			r := newRouting(t, w)
			check := func(want entry.Choice, choose func(ctx context.Context) (entry.Choice, error)) {
				wait := patience
				if want == none {
					wait = short
				}
				// A failed replica is avoided for a time only, so the tracker's first report comes before.
				_, _ = r.Primary(within(t, short), service)
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

// Guards against a write that is rejected, or waits on, although a failover ends within its deadline.
func TestWriteWaitsForThePrimary(t *testing.T) {
	w := newWorld()
	w.report.Confirmed = false
	r := newRouting(t, w)
	chosen := make(chan entry.Choice, 1)
	go func() {
		choice, _ := r.Primary(within(t, patience), service)
		chosen <- choice
	}()
	select {
	case choice := <-chosen:
		require.Fail(t, "no wait", "%v", choice)
	case <-time.After(short):
	}
	w.set(report(3, "o3", 50, 50))
	require.Equal(t, entry.Choice{Target: target("o3")}, <-chosen)
}

// Guards against a loop without a pause until the deadline after the caller has gone.
func TestCancelledWaitEnds(t *testing.T) {
	w := newWorld()
	w.report.Confirmed = false
	r := newRouting(t, w)
	_, _ = r.Primary(within(t, short), service)
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
	case <-time.After(patience):
		require.Fail(t, "the wait goes on after its context ended")
	}
}
