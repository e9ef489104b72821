package observer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
)

// Guards against a floor from a position that was known less than a millisecond before the question: a write may have been
// acknowledged in between, and known_ms cannot tell the two apart.
func TestOlderAnswerConfirmsNothing(t *testing.T) {
	const arrived = ident.Time(10 * time.Millisecond)
	tests := []struct {
		name      string
		fresh     bool
		known     ident.Time
		confirmed bool
	}{
		{"just before the question", true, arrived - 1, false},
		{"at the question", true, arrived, true},
		{"no fresh answer wanted", false, arrived - 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := group.Positions{Term: 1, Known: tt.known, Confirmed: true}
			answer := response(&fleetpb.PositionsRequest{Service: "orders", Fresh: tt.fresh}, p, arrived, arrived.Add(200*time.Millisecond))
			require.Equal(t, "orders", answer.GetService())
			require.Equal(t, tt.confirmed, answer.GetConfirmed())
			require.EqualValues(t, 200, answer.GetKnownMs())
		})
	}
}

// Guards against an upstream that is polled 200 times a second for hosts that only follow its group after a burst has ended,
// and against writes and reads that wait for the slow poll.
func TestOnlyWaitingRequestsHurry(t *testing.T) {
	for name, c := range map[string]struct {
		request *fleetpb.PositionsRequest
		hurries bool
	}{
		"a write waits":        {&fleetpb.PositionsRequest{WaitMs: 200, Wanted: &fleetpb.Position{Term: 1, Lsn: 9}}, true},
		"a floor is asked for": {&fleetpb.PositionsRequest{WaitMs: 200, Fresh: true}, true},
		"reads choose":         {&fleetpb.PositionsRequest{WaitMs: 20}, true},
		"nobody asks":          {&fleetpb.PositionsRequest{WaitMs: 200}, false},
	} {
		require.Equal(t, c.hurries, hurries(c.request), name)
	}
}
