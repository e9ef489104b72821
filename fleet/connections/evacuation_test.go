package connections_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/ident"
)

// Guards against transactions that go on in an evacuated zone for longer than the grace period, such as when each new directory begins it
// anew, against new statements there, and against an upstream that stays unused after the evacuation.
func TestEvacuation(t *testing.T) {
	const now, grace = ident.Time(time.Hour), 2500 * time.Millisecond
	var e connections.Evacuation
	type seen struct{ statement, transaction bool }
	at := func(after time.Duration) seen {
		return seen{e.Allows(now.Add(after), false), e.Allows(now.Add(after), true)}
	}
	require.Equal(t, seen{true, true}, at(0))
	require.True(t, e.Begin(now, grace))
	require.Equal(t, seen{false, true}, at(0))
	require.False(t, e.Begin(now.Add(2*time.Second), grace), "a later directory names the zone again")
	require.Equal(t, seen{false, true}, at(grace-1))
	require.Equal(t, seen{false, false}, at(grace))
	require.True(t, e.End())
	require.False(t, e.End())
	require.Equal(t, seen{true, true}, at(grace))
	require.True(t, e.Begin(now.Add(time.Minute), grace))
	require.Equal(t, seen{false, true}, at(time.Minute))
}
