package core

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/replica"
)

// Guards against a core host that parses hundreds of configurations after a restart: as a new leader it sends no heartbeats in that
// time and loses its leadership.
func TestRestartParsesFewConfigurations(t *testing.T) {
	var parsed atomic.Int32
	folder := t.TempDir()
	start := func() (*state, *replica.Replica) {
		s := newState(func(source []byte) (*catalog.Catalog, error) {
			parsed.Add(1)
			return parseStub(source)
		})
		r, err := replica.New(replica.Options{
			Host: "a", Peer: "127.0.0.1:1", InitialHosts: []*fleetpb.ControlHost{{Host: "a", Peer: "127.0.0.1:1"}}, Folder: folder,
			Peers: peer.New(peer.Options{Trusted: true}), Machine: s, Bounds: bounds(1, 0),
		})
		require.NoError(t, err)
		require.Eventually(t, func() bool { return r.Leadership().Confirmed }, eventually, time.Millisecond)
		return s, r
	}
	const changes = 100
	_, r := start()
	for version := range uint64(changes) {
		_, err := r.Propose(t.Context(), configure(version+1, "text"))
		require.NoError(t, err)
	}
	require.NoError(t, r.Close(t.Context()))
	parsed.Store(0)
	s, r := start()
	require.Eventually(t, func() bool { return s.configuration().GetVersion() == changes }, eventually, time.Millisecond)
	require.LessOrEqual(t, int(parsed.Load()), 2*compactEntries)
	require.NoError(t, r.Close(t.Context()))
}

// Guards against an order that ends every core process, because the log can't store a zone whose name is not UTF-8.
func TestOrderThatCannotBeStored(t *testing.T) {
	r, err := replica.New(replica.Options{
		Host: "a", Peer: "127.0.0.1:1", InitialHosts: []*fleetpb.ControlHost{{Host: "a", Peer: "127.0.0.1:1"}}, Folder: t.TempDir(),
		Peers: peer.New(peer.Options{Trusted: true}), Machine: newState(parseStub), Bounds: bounds(1, 0),
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = r.Close(context.Background()) })
	require.Eventually(t, func() bool { return r.Leadership().Confirmed }, eventually, time.Millisecond)
	_, err = r.Propose(t.Context(), evacuate("z\xff", true))
	var notRun *replica.NotRunError
	require.ErrorAs(t, err, &notRun)
	_, err = r.Propose(t.Context(), evacuate("z0", true))
	require.NoError(t, err, "the next order is stored")
}
