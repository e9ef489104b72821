package keeper_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/session"
	"tamarackshunt.dev/host/keeper"
	network "tamarackshunt.dev/host/peer"
)

const secret = "a-secret-of-the-fleet"

var id = ident.Session{Service: "ledger", Team: "stalls", User: "ema"}

// peer is a node that serves on a loopback address. While frozen is set, it accepts calls and answers none until the test ends.
type peer struct {
	member session.Member
	node   *keeper.Node
	frozen atomic.Bool
}

// fleet provides nodes with a clock and the primary's position.
type fleet struct {
	start   time.Time
	primary atomic.Uint64
}

func (f *fleet) Now() ident.Time           { return ident.Time(time.Since(f.start)) }
func (f *fleet) Services() []ident.Service { return []ident.Service{"ledger"} }
func (f *fleet) Current(context.Context, ident.Service) (ident.Position, error) {
	return ident.Position{Term: 1, LSN: ident.LSN(f.primary.Load())}, nil
}

func startPeers(t *testing.T, f *fleet, zones ...string) []*peer {
	var peers []*peer
	end := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	for _, zone := range zones {
		p := &peer{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if p.frozen.Load() {
				<-end
				return
			}
			_, handler := p.node.Handler()
			handler.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		p.member = session.Member{
			Host: ident.Host("entry-" + zone), Zone: ident.Zone(zone), Peer: strings.TrimPrefix(server.URL, "http://"),
		}
		p.node = keeper.New(keeper.Options{Self: p.member, Fleet: f, Peers: network.New(network.Options{Secret: secret}), Zones: []ident.Zone{ident.Zone(zone)}})
		go p.node.Run(ctx)
		peers = append(peers, p)
	}
	t.Cleanup(func() {
		cancel()
		close(end)
	})
	return peers
}

func settled(epoch ident.Epoch, peers ...*peer) *session.View {
	var members []session.Member
	for _, p := range peers {
		members = append(members, p.member)
	}
	return &session.View{Current: session.NewSet(epoch, members), Settled: true}
}

func adopt(view *session.View, peers ...*peer) {
	for _, p := range peers {
		p.node.Adopt(session.Conditions{View: view, Lease: ident.Time(time.Hour)})
	}
}

// Guards invariant 1 with real calls: after one host has recorded a position, every other host must look up the same position.
func TestRecordedPositionsAreFound(t *testing.T) {
	f := &fleet{start: time.Now()}
	f.primary.Store(7)
	peers := startPeers(t, f, "a", "b", "c")
	adopt(settled(1, peers...), peers...)
	for _, p := range peers {
		require.Eventually(t, func() bool {
			position, err := p.node.Position(t.Context(), id)
			return err == nil && position.LSN == 7
		}, 20*time.Second, time.Millisecond, "no floor")
	}
	position := ident.Position{Term: 1, LSN: 9}
	recording := peers[0].node.Record(t.Context(), id, position, ident.Time(time.Hour))
	require.NoError(t, recording.Confirm(t.Context()))
	for _, p := range peers {
		got, err := p.node.Position(t.Context(), id)
		require.NoError(t, err)
		require.Equal(t, position, got)
	}
}

// Guards against a frozen holder that blocks reads, and against a write that is confirmed without it before an epoch without
// that holder is adopted.
func TestFrozenHolder(t *testing.T) {
	f := &fleet{start: time.Now()}
	peers := startPeers(t, f, "a", "b")
	adopt(settled(1, peers...), peers...)
	require.Eventually(t, func() bool {
		_, err := peers[1].node.Position(t.Context(), id)
		return err == nil
	}, 20*time.Second, time.Millisecond)
	peers[0].frozen.Store(true)
	_, err := peers[1].node.Position(t.Context(), id)
	require.NoError(t, err)
	unrecordable := peers[1].node.Record(t.Context(), id, ident.Position{Term: 1, LSN: 9}, f.Now().Add(400*time.Millisecond))
	var unrecorded *session.Unrecorded
	require.ErrorAs(t, unrecordable.Confirm(t.Context()), &unrecorded)
	require.Equal(t, []ident.Host{"entry-a"}, unrecorded.Missing)
	recording := peers[1].node.Record(t.Context(), id, ident.Position{Term: 1, LSN: 10}, ident.Time(time.Hour))
	adopt(settled(2, peers[1]), peers[1])
	require.NoError(t, recording.Confirm(t.Context()))
}

// Guards against an acknowledged write whose lease or epoch ended after it was recorded, such as during the wait for
// replication.
func TestConfirmChecksCurrentConditions(t *testing.T) {
	f := &fleet{start: time.Now()}
	peers := startPeers(t, f, "a")
	adopt(settled(1, peers...), peers...)
	recording := peers[0].node.Record(t.Context(), id, ident.Position{Term: 1, LSN: 9}, ident.Time(time.Hour))
	require.NoError(t, recording.Confirm(t.Context()))
	peers[0].node.Adopt(session.Conditions{View: settled(1, peers...), Lease: f.Now()})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, recording.Confirm(ctx), context.DeadlineExceeded)
}

// Guards against access to positions by peers without the fleet's secret.
func TestSecretIsRequired(t *testing.T) {
	f := &fleet{start: time.Now()}
	p := startPeers(t, f, "a")[0]
	for presented, ok := range map[string]bool{secret: true, "other": false} {
		client := network.New(network.Options{Secret: presented}).Client(0)
		_, err := fleetpb.NewKeepersProtobufClient("http://"+p.member.Peer, client).Get(t.Context(), &fleetpb.GetRequest{})
		require.Equal(t, ok, err == nil, presented)
	}
}
