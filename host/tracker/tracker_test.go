package tracker_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/tracker"
)

const (
	secret = "fleet-secret-0000"
	// waitLimit is the longest wait for a condition; no test depends on its length.
	waitLimit = 20 * time.Second
)

// responder responds to a request to an observer.
type responder func(ctx context.Context, request *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error)

// observer is a test server that responds with a replaceable function and records its requests.
type observer struct {
	address  string
	mutex    sync.Mutex
	received []*fleetpb.PositionsRequest
	respond  responder
}

func (o *observer) Positions(ctx context.Context, request *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error) {
	o.mutex.Lock()
	o.received = append(o.received, request)
	respond := o.respond
	o.mutex.Unlock()
	return respond(ctx, request)
}

func (o *observer) set(respond responder) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.respond = respond
}

// requests returns the requests that the observer received.
func (o *observer) requests() []*fleetpb.PositionsRequest {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return append([]*fleetpb.PositionsRequest(nil), o.received...)
}

func newObserver(t *testing.T, respond responder) *observer {
	o := &observer{respond: respond}
	server := httptest.NewServer(peer.Guard(peer.Secrets(secret), &metrics.Counter{}, fleetpb.NewObserverServer(o)))
	t.Cleanup(server.Close)
	o.address = strings.TrimPrefix(server.URL, "http://")
	return o
}

// respondWith returns a responder that always sends the same response.
func respondWith(response *fleetpb.PositionsResponse) responder {
	return func(context.Context, *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error) {
		return response, nil
	}
}

func failNotFound(context.Context, *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error) {
	return nil, twirp.NotFoundError("this host does not observe")
}

func newTracker(t *testing.T, observers ...*observer) *tracker.Tracker {
	var addresses []string
	for _, o := range observers {
		addresses = append(addresses, o.address)
	}
	tr := tracker.New(tracker.Options{
		Clock: clock.New(), Peers: peer.New(peer.Options{Secret: secret}), Observers: func(ident.Service) []string { return addresses },
	})
	t.Cleanup(tr.Close)
	return tr
}

func at(term, lsn uint64) *fleetpb.Position { return &fleetpb.Position{Term: term, Lsn: lsn} }

// Guards against acknowledging a record that no majority holds or that a promotion dropped, and against a write that continues to
// wait after its record is known to be lost.
func TestWaitMajority(t *testing.T) {
	record := ident.Position{Term: 1, LSN: 50}
	tests := []struct {
		name       string
		report     *fleetpb.PositionsResponse
		want       ident.Position
		superseded ident.Term
	}{
		{name: "acknowledged", report: &fleetpb.PositionsResponse{Term: 1, Majority: at(1, 50)}, want: record},
		{name: "not yet held", report: &fleetpb.PositionsResponse{Term: 1, Majority: at(1, 49)}},
		{name: "later term holds it", report: &fleetpb.PositionsResponse{Term: 3, Base: at(1, 60), Majority: at(3, 61)}, want: ident.Position{Term: 3, LSN: 50}},
		{name: "later term not yet held", report: &fleetpb.PositionsResponse{Term: 3, Base: at(1, 60), Majority: at(3, 60)}},
		{name: "later term without it", report: &fleetpb.PositionsResponse{Term: 2, Base: at(1, 49), Majority: at(2, 70)}, superseded: 2},
		{name: "earlier term", report: &fleetpb.PositionsResponse{Term: 0}},
		{name: "no report"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reply := responder(failNotFound)
			if tt.report != nil {
				reply = respondWith(tt.report)
			}
			tr := newTracker(t, newObserver(t, reply))
			timesOut := tt.want == ident.Position{} && tt.superseded == 0
			wait := waitLimit
			if timesOut {
				wait = 50 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			got, err := tr.WaitMajority(ctx, "orders", record)
			require.Equal(t, tt.want, got)
			var superseded *tracker.SupersededError
			switch {
			case timesOut:
				require.ErrorIs(t, err, context.DeadlineExceeded)
			case tt.superseded != 0:
				require.ErrorAs(t, err, &superseded)
				require.Equal(t, tt.superseded, superseded.Term)
			default:
				require.NoError(t, err)
			}
		})
	}
}

// Guards against a position below a write that was acknowledged before the request. Keepers would use it as their floor, for
// sessions without a record. It could come from an unconfirmed primary, or from positions that the observer had
// before the request.
func TestCurrent(t *testing.T) {
	fresh := &fleetpb.PositionsResponse{Current: at(2, 70), Confirmed: true}
	old := &fleetpb.PositionsResponse{Current: at(2, 60), Confirmed: true, KnownMs: uint64(time.Hour / time.Millisecond)}
	unconfirmed := &fleetpb.PositionsResponse{Current: at(2, 80)}
	tests := []struct {
		name      string
		observers []responder
		found     bool
	}{
		{"fresh", []responder{respondWith(fresh)}, true},
		{"older than the request", []responder{respondWith(old)}, false},
		{"unconfirmed", []responder{respondWith(unconfirmed)}, false},
		{"next observer", []responder{failNotFound, respondWith(old), respondWith(fresh)}, true},
		{"none", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var observers []*observer
			for _, respond := range tt.observers {
				observers = append(observers, newObserver(t, respond))
			}
			got, err := newTracker(t, observers...).Current(t.Context(), "orders")
			if tt.found {
				require.NoError(t, err)
				require.Equal(t, ident.Position{Term: 2, LSN: 70}, got)
				require.True(t, observers[len(observers)-1].requests()[0].GetFresh())
				return
			}
			var missing *tracker.UnconfirmedError
			require.ErrorAs(t, err, &missing)
		})
	}
}

// Guards against a tracker that keeps polling an observer that failed, or that never returns to an earlier one.
func TestNextObserverAfterFailure(t *testing.T) {
	first, second := newObserver(t, failNotFound), newObserver(t, respondWith(&fleetpb.PositionsResponse{Term: 1}))
	tr := newTracker(t, first, second)
	report, err := tr.Latest(t.Context(), "orders")
	require.NoError(t, err)
	require.EqualValues(t, 1, report.GetTerm())
	require.Len(t, first.requests(), 1)
	second.set(failNotFound)
	first.set(respondWith(&fleetpb.PositionsResponse{Term: 2}))
	require.Eventually(t, func() bool {
		report, err := tr.Latest(t.Context(), "orders")
		return err == nil && report.GetTerm() == 2
	}, waitLimit, time.Millisecond)
}
