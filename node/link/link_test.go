package link

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/host/peer"
)

// Guards against a host that goes on asking a leader alone which does not answer its calls for tokens, and against a late
// failure of an earlier leader that hides the present one.
func TestSilent(t *testing.T) {
	l := New(Options{Peers: peer.New(peer.Options{Bare: true}), Seeds: func() []string { return []string{"a", "b", "c"} }})
	l.leader = "b"
	l.Silent("a")
	require.Equal(t, "b", l.Owner())
	require.Equal(t, []string{"b"}, l.targets())
	require.Empty(t, l.wake)
	l.Silent("b")
	require.Empty(t, l.Owner())
	require.Equal(t, []string{"a", "b", "c"}, l.targets())
	require.Len(t, l.wake, 1, "the next question does not wait for its interval")
	l.Silent("b")
	l.Leave()
	require.Len(t, l.wake, 1)
}
