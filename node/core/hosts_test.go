package core

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/replica"
)

// newTestLeader returns the confirmed leader of a core of one host.
func newTestLeader(t *testing.T) *Core {
	c := newTestCore()
	var err error
	c.replica, err = replica.New(replica.Options{
		Host: "a", Peer: "127.0.0.1:1", InitialHosts: []*fleetpb.ControlHost{{Host: "a", Peer: "127.0.0.1:1"}}, Folder: t.TempDir(),
		Peers: peer.New(peer.Options{Trusted: true}), Machine: c.state, Bounds: bounds(1, 0),
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.replica.Close(context.Background()) })
	require.Eventually(t, func() bool { return c.replica.Leadership().Confirmed }, eventually, time.Millisecond)
	return c
}

// listedPeers returns the peer addresses of the entry hosts in the directory.
func listedPeers(c *Core, now ident.Time) []string {
	var peers []string
	for _, host := range c.entryDirectory(now).GetHosts() {
		peers = append(peers, host.GetPeer())
	}
	return peers
}

// Guards against a request of an earlier start of an entry host, which may arrive after the host has started again: if it removes the
// running process from the directory, or lists the earlier address, the gateways of upstreams move to hosts that they should not. The
// numbers of the starts are not in order, as after a step of the clock.
func TestLateRequestOfAnEarlierStart(t *testing.T) {
	const oldStart, newStart = 7, 3
	for name, late := range map[string]*fleetpb.WatchRequest{
		"leaving":         {Host: "e", Incarnation: oldStart, Peer: "old:1", Leaving: true},
		"searching":       {Host: "e", Incarnation: oldStart, Peer: "old:1", Leaving: true, Search: true},
		"earlier address": {Host: "e", Incarnation: oldStart, Peer: "old:1"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestLeader(t)
			for _, request := range []*fleetpb.WatchRequest{
				{Host: "e", Incarnation: oldStart, Peer: "old:1"}, {Host: "e", Incarnation: newStart, Peer: "new:1"}, late,
			} {
				_, err := service{c}.Watch(t.Context(), request)
				require.NoError(t, err)
			}
			require.Equal(t, []string{"new:1"}, listedPeers(c, steady.Now()))
		})
	}
}

// Guards against a request that was sent before a host began to shut down and arrives after one that says so: it would make the host a
// gateway again.
func TestLateRequestOfALeavingHost(t *testing.T) {
	c := newTestLeader(t)
	for _, leaving := range []bool{false, true, false} {
		_, err := service{c}.Watch(t.Context(), &fleetpb.WatchRequest{Host: "e", Incarnation: 1, Peer: "e:1", Leaving: leaving})
		require.NoError(t, err)
	}
	require.Empty(t, listedPeers(c, steady.Now()))
}

// Guards against a host that leaves and stays listed, because the directory of the earlier leader lists it as running.
func TestInheritedHostLeaves(t *testing.T) {
	now := ident.Time(time.Hour)
	hosts := entryHosts{}
	hosts.inherit(now, []*fleetpb.EntryHost{{Host: "e", Peer: "e:1"}}, entryHostTimeout)
	require.Len(t, hosts.list(now), 1)
	hosts.record(now, &fleetpb.WatchRequest{Host: "e", Incarnation: 1, Peer: "e:1", Leaving: true})
	require.Empty(t, hosts.list(now))
	hosts.inherit(now, []*fleetpb.EntryHost{{Host: "e", Peer: "e:1"}}, entryHostTimeout)
	require.Empty(t, hosts.list(now), "a host that leaves is not inherited")
}
