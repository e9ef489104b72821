package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a vote that a host keeps when the next losses are permitted although it is gone: an election may come in between,
// and two changes of the membership follow.
func TestVoteIsGivenAwayBeforeTheNextLosses(t *testing.T) {
	require.Greater(t, voterPolicy(2, time.Second).AwayLimit, 2*electionMax, "a voter is not taken for gone during an election")
	for _, catchUp := range []time.Duration{0, 4 * time.Second, 6 * time.Second} {
		permitted := catchUp
		if permitted == 0 {
			permitted = defaultCatchUp
		}
		policy := voterPolicy(2, catchUp)
		require.Less(t, policy.AwayLimit+2*electionMax, permitted)
	}
}
