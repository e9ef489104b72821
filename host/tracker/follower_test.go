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

// positions is an observer that answers by a function.
type positions func(ctx context.Context, request *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error)

func (p positions) Positions(ctx context.Context, request *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error) {
	return p(ctx, request)
}

// Guards against a write that waits for the end of a long poll which began before it, against an interrupted poll that
// counts as a failure of the observer, and against a next poll that does not name the wanted position.
func TestWantedPositionInterruptsPoll(t *testing.T) {
	f := newFollower("orders")
	var asked []*fleetpb.PositionsRequest
	server := httptest.NewServer(fleetpb.NewObserverServer(positions(
		func(ctx context.Context, request *fleetpb.PositionsRequest) (*fleetpb.PositionsResponse, error) {
			asked = append(asked, request)
			if request.GetWanted() != nil {
				return &fleetpb.PositionsResponse{Majority: request.GetWanted()}, nil
			}
			f.want(ident.Position{Term: 1, LSN: 60})
			f.want(ident.Position{Term: 1, LSN: 50})
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
	require.Equal(t, ident.Time(2), report.Asked)
	require.Len(t, asked, 2)
}

// Guards against polls that are interrupted without a reason, which would load the observers.
func TestInterrupt(t *testing.T) {
	first, second := ident.Position{Term: 1, LSN: 50}, ident.Position{Term: 1, LSN: 60}
	now := ident.Time(busyFor) + 2
	tests := []struct {
		name        string
		before      func(f *follower)
		during      func(f *follower)
		interrupted bool
	}{
		{"first wanted position", func(*follower) {}, func(f *follower) { f.want(first) }, true},
		{"another wanted position", func(f *follower) { f.want(first) }, func(f *follower) { f.want(second) }, false},
		{"wanted again after the wait ended", func(f *follower) {
			f.want(first)
			f.unwant(first)
		}, func(f *follower) { f.want(first) }, true},
		{"question after a quiet time", func(*follower) {}, func(f *follower) { f.touch(now) }, true},
		{"question while busy", func(f *follower) { f.touch(now) }, func(f *follower) { f.touch(now + 1) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFollower("orders")
			tt.before(f)
			stopped := false
			interrupted := f.begin(func() { stopped = true })
			tt.during(f)
			require.Equal(t, tt.interrupted, stopped)
			require.Equal(t, tt.interrupted, interrupted())
		})
	}
}
