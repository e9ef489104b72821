package tracker

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/peer"
)

// positions is a function that implements fleetpb.Observer.
type positions func(ctx context.Context, request *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error)

func (p positions) Positions(ctx context.Context, request *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error) {
	return p(ctx, request)
}

// Guards against a write that waits for the end of a long poll that began before it, against an interrupted poll that counts as
// a failure of the observer, and against a next poll that does not request the wanted position.
func TestWantedPositionInterruptsPoll(t *testing.T) {
	f := newFollower("orders")
	var requests []*fleetpb.PositionsRequest
	server := httptest.NewServer(fleetpb.NewObserverServer(positions(
		func(ctx context.Context, request *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error) {
			requests = append(requests, request)
			if request.GetWanted() != nil {
				return &fleetpb.PositionsResponse{Majority: request.GetWanted()}, nil
			}
			f.addWanted(ident.Position{Term: 1, LSN: 60})
			f.addWanted(ident.Position{Term: 1, LSN: 50})
			<-ctx.Done()
			return nil, twirp.InternalErrorWith(ctx.Err())
		})))
	defer server.Close()
	tr := New(Options{Clock: clock.New(), Peers: peer.New(peer.Options{})})
	defer tr.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	require.NoError(t, tr.poll(f, address, 1))
	report, _ := f.latest()
	require.Nil(t, report.PositionsResponse)
	require.NoError(t, tr.poll(f, address, 2))
	report, _ = f.latest()
	require.EqualValues(t, 50, report.GetMajority().GetLsn())
	require.Equal(t, ident.Time(2), report.RequestedAt)
	require.Len(t, requests, 2)
}

// Guards against polls that are interrupted needlessly, which would put load on the observers.
func TestInterrupt(t *testing.T) {
	first, second := ident.Position{Term: 1, LSN: 50}, ident.Position{Term: 1, LSN: 60}
	now := ident.Time(busyPeriod) + 2
	tests := []struct {
		name        string
		before      func(f *follower)
		during      func(f *follower)
		interrupted bool
	}{
		{"first wanted position", func(*follower) {}, func(f *follower) { f.addWanted(first) }, true},
		{"another wanted position", func(f *follower) { f.addWanted(first) }, func(f *follower) { f.addWanted(second) }, false},
		{"wanted again after the wait ended", func(f *follower) {
			f.addWanted(first)
			f.removeWanted(first)
		}, func(f *follower) { f.addWanted(first) }, true},
		{"use after an idle time", func(*follower) {}, func(f *follower) { f.markUsed(now) }, true},
		{"use while busy", func(f *follower) { f.markUsed(now) }, func(f *follower) { f.markUsed(now + 1) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFollower("orders")
			tt.before(f)
			stopped := false
			interrupted := f.startPoll(func() { stopped = true })
			tt.during(f)
			require.Equal(t, tt.interrupted, stopped)
			require.Equal(t, tt.interrupted, interrupted())
		})
	}
}
