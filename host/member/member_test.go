package member_test

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
	"tamarackshunt.dev/host/clock"
	"tamarackshunt.dev/host/member"
	"tamarackshunt.dev/host/peer"
)

const (
	secret = "fleet-secret-0000"
	// waitTimeout bounds the wait for an expected event; no test depends on its length.
	waitTimeout = 20 * time.Second
)

// control is a control host that answers syncs with a function; the other calls are not used.
type control struct {
	fleetpb.Control
	name    string
	address string
	answer  func(ctx context.Context, request *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error)
	events  *events
}

func (c *control) Sync(ctx context.Context, request *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
	if request.GetGone() {
		c.events.add(c.name + " gone")
		return &fleetpb.SyncResponse{}, nil
	}
	c.events.add(c.name)
	return c.answer(ctx, request)
}

// events records events in order.
type events struct {
	mutex sync.Mutex
	list  []string
}

func (e *events) add(event string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.list = append(e.list, event)
}

func (e *events) all() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]string(nil), e.list...)
}

func (e *events) count(event string) int {
	n := 0
	for _, each := range e.all() {
		if each == event {
			n++
		}
	}
	return n
}

func (e *events) wait(t *testing.T, event string, times int) {
	t.Helper()
	require.Eventually(t, func() bool { return e.count(event) >= times }, waitTimeout, time.Millisecond, event)
}

func serve(t *testing.T, e *events, name string) *control {
	c := &control{name: name, events: e}
	server := httptest.NewServer(peer.Guard(peer.Secrets(secret), &metrics.Counter{}, fleetpb.NewControlServer(c)))
	t.Cleanup(server.Close)
	c.address = strings.TrimPrefix(server.URL, "http://")
	c.answer = neverAnswer
	return c
}

// neverAnswer handles a sync by an unresponsive control host, which accepts calls and never answers.
func neverAnswer(ctx context.Context, _ *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
	<-ctx.Done()
	return nil, twirp.InternalErrorWith(ctx.Err())
}

// grant returns a handler that answers with a state and a lease.
func grant(lease time.Duration) func(context.Context, *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
	return func(_ context.Context, request *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
		state := &fleetpb.State{Version: request.GetKnown() + 1, Text: &fleetpb.Text{}, Keepers: &fleetpb.KeeperSet{Epoch: request.GetKnown() + 1}}
		return &fleetpb.SyncResponse{State: state, LeaseMs: uint32(lease / time.Millisecond)}, nil
	}
}

func options(e *events, controls ...*control) member.Options {
	settings := &fleetpb.HostSettings{Host: "e1", Secrets: &fleetpb.Secrets{Fleet: secret}}
	for _, c := range controls {
		settings.Control = append(settings.Control, &fleetpb.ControlHost{Peer: c.address})
	}
	return member.Options{
		Settings: settings, Clock: clock.New(), Peers: peer.New(peer.Options{Secret: secret}),
		Adopted: func(*member.View) { e.add("adopted") },
		Expired: func() { e.add("expired") },
	}
}

// Guards against a host that ignores the leader's address in a follower's answer, or that calls the follower again for
// each sync.
func TestLeaderAddressIsFollowed(t *testing.T) {
	e := &events{}
	follower, leader := serve(t, e, "follower"), serve(t, e, "leader")
	follower.answer = func(context.Context, *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
		return &fleetpb.SyncResponse{Leader: leader.address}, nil
	}
	leader.answer = grant(time.Hour)
	m := member.New(options(e, follower))
	defer m.Close()
	e.wait(t, "adopted", 1)
	require.Equal(t, []string{"follower", "leader", "adopted"}, e.all()[:3])
	m.SyncNow()
	e.wait(t, "adopted", 3)
	require.Equal(t, 1, e.count("follower"))
	require.Equal(t, leader.address, m.Leader())
}

// Guards against a lease counted from the arrival of the answer. The leader counts it from an earlier time, so after a slow
// answer the host would still act on a view whose lease has ended for the leader.
func TestLeaseCountsFromSending(t *testing.T) {
	e := &events{}
	leader := serve(t, e, "leader")
	opts := options(e, leader)
	const lease = time.Hour
	leader.answer = func(ctx context.Context, request *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
		arrived := opts.Clock.Now()
		answer, err := grant(lease)(ctx, request)
		answer.State.Version = uint64(arrived)
		time.Sleep(5 * time.Millisecond)
		return answer, err
	}
	m := member.New(opts)
	defer m.Close()
	e.wait(t, "adopted", 1)
	require.Eventually(t, func() bool { return m.View().Version > 0 }, waitTimeout, time.Millisecond)
	view := m.View()
	require.LessOrEqual(t, uint64(view.Expires), uint64(view.Version)+uint64(lease))
}

// Guards against a call of Adopted before the new view is stored: work that Adopted makes choose an upstream again would
// then choose the old primary.
func TestAdoptedViewIsCurrent(t *testing.T) {
	e := &events{}
	leader := serve(t, e, "leader")
	leader.answer = grant(time.Hour)
	opts := options(e, leader)
	started := make(chan *member.Member, 1)
	isCurrent := make(chan bool, 1)
	opts.Adopted = func(view *member.View) {
		m := <-started
		started <- m
		select {
		case isCurrent <- m.View() == view:
		default:
		}
	}
	m := member.New(opts)
	started <- m
	defer m.Close()
	require.True(t, <-isCurrent)
}

// Guards against a lease end that is reported late, never or repeatedly while all control hosts are unresponsive. The leader
// gives the host's connections to others as soon as the lease ends, so the report must come before the other control hosts
// are tried.
func TestLeaseEndIsReportedOnce(t *testing.T) {
	e := &events{}
	first, second := serve(t, e, "first"), serve(t, e, "second")
	granted := false
	first.answer = func(ctx context.Context, request *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
		if granted {
			return neverAnswer(ctx, request)
		}
		granted = true
		return grant(time.Minute/300)(ctx, request)
	}
	m := member.New(options(e, first, second))
	defer m.Close()
	e.wait(t, "expired", 1)
	require.Equal(t, []string{"first", "adopted", "first", "expired"}, e.all()[:4])
	e.wait(t, "second", 2)
	require.Equal(t, 1, e.count("expired"))
	require.False(t, m.View().Valid(m.View().Expires))
}

// Guards against a host that stops without notifying the leader, also while a sync is in progress. Its connections and
// tokens would then stay in use until its lease ends.
func TestLastSync(t *testing.T) {
	tests := []struct {
		name       string
		duringSync bool
	}{{"between syncs", false}, {"during a sync", true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &events{}
			leader := serve(t, e, "leader")
			granted := false
			leader.answer = func(ctx context.Context, request *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
				if request.GetLeaving() {
					e.add("leaving")
				}
				if granted && tt.duringSync {
					return neverAnswer(ctx, request)
				}
				granted = true
				return grant(time.Hour)(ctx, request)
			}
			m := member.New(options(e, leader))
			e.wait(t, "adopted", 1)
			m.Leave()
			e.wait(t, "leaving", 1)
			m.Close()
			<-m.Done()
			require.Equal(t, 1, e.count("leader gone"))
			all := e.all()
			require.Equal(t, "leader gone", all[len(all)-1])
		})
	}
}
