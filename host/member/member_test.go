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
	// patience bounds a wait for something that must happen; no test depends on its length.
	patience = 20 * time.Second
)

// control is a control host that answers syncs by a function; the other calls are not made.
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

// events notes what happened in order.
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
	require.Eventually(t, func() bool { return e.count(event) >= times }, patience, time.Millisecond, event)
}

func serve(t *testing.T, e *events, name string) *control {
	c := &control{name: name, events: e}
	server := httptest.NewServer(peer.Guard(peer.Secrets(secret), &metrics.Counter{}, fleetpb.NewControlServer(c)))
	t.Cleanup(server.Close)
	c.address = strings.TrimPrefix(server.URL, "http://")
	c.answer = silent
	return c
}

// silent is a control host that accepts calls and never answers.
func silent(ctx context.Context, _ *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
	<-ctx.Done()
	return nil, twirp.InternalErrorWith(ctx.Err())
}

// grant answers with a state and a lease.
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

// Guards against a host that does not find the leader by a follower's answer, or that asks the follower again each time.
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

// Guards against a lease counted from the arrival of the answer: the leader counts it from an earlier time than the host
// then does, so that a host which got a slow answer would act on a view that the leader takes for ended.
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
	require.Eventually(t, func() bool { return m.View().Version > 0 }, patience, time.Millisecond)
	view := m.View()
	require.LessOrEqual(t, uint64(view.Expires), uint64(view.Version)+uint64(lease))
}

// Guards against parts that act on the view before: work that Adopted makes choose again would choose the old primary.
func TestAdoptedViewIsCurrent(t *testing.T) {
	e := &events{}
	leader := serve(t, e, "leader")
	leader.answer = grant(time.Hour)
	opts := options(e, leader)
	started := make(chan *member.Member, 1)
	seen := make(chan bool, 1)
	opts.Adopted = func(view *member.View) {
		m := <-started
		started <- m
		select {
		case seen <- m.View() == view:
		default:
		}
	}
	m := member.New(opts)
	started <- m
	defer m.Close()
	require.True(t, <-seen)
}

// Guards against a lease end that is reported late, never or repeatedly while all control hosts are silent: the leader
// gives the connections of the host to others from the lease end on. It comes before the other control hosts are tried.
func TestLeaseEndIsReportedOnce(t *testing.T) {
	e := &events{}
	first, second := serve(t, e, "first"), serve(t, e, "second")
	granted := false
	first.answer = func(ctx context.Context, request *fleetpb.SyncRequest) (*fleetpb.SyncResponse, error) {
		if granted {
			return silent(ctx, request)
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

// Guards against a host that leaves without telling the leader, whose connections and tokens then stay taken for a lease:
// also when it leaves while a sync is under way.
func TestLastSync(t *testing.T) {
	tests := []struct {
		name   string
		during bool
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
				if granted && tt.during {
					return silent(ctx, request)
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
