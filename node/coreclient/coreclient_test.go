package coreclient

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/host/peer"
)

// Guards against a host that keeps querying only a leader that does not answer its calls for tokens, and against a late
// failure of an earlier leader that makes the host drop the current one.
func TestOwnerUnresponsive(t *testing.T) {
	c := New(Options{Peers: peer.New(peer.Options{Trusted: true}), Seeds: func() []string { return []string{"a", "b", "c"} }})
	c.leader = "b"
	c.OwnerUnresponsive("a")
	require.Equal(t, "b", c.Owner())
	require.Equal(t, []string{"b"}, c.targets())
	require.Empty(t, c.wake)
	c.OwnerUnresponsive("b")
	require.Empty(t, c.Owner())
	require.Equal(t, []string{"a", "b", "c"}, c.targets())
	require.Len(t, c.wake, 1, "the next request does not wait for its interval")
	c.OwnerUnresponsive("b")
	c.Leave()
	require.Len(t, c.wake, 1)
}
