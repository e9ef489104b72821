package observer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
)

// Guards against a fresh request that is confirmed with a position read less than a millisecond before it. A keeper would use
// that position as its floor, for sessions without a record, although a write may have been acknowledged in between; known_ms is
// too coarse to show which came first.
func TestOlderAnswerConfirmsNothing(t *testing.T) {
	const arrived = ident.Time(10 * time.Millisecond)
	tests := []struct {
		name      string
		fresh     bool
		known     ident.Time
		confirmed bool
	}{
		{"just before the request", true, arrived - 1, false},
		{"at the request", true, arrived, true},
		{"no fresh answer requested", false, arrived - 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := group.Positions{Term: 1, KnownAt: tt.known, Confirmed: true}
			answer := response(&fleetpb.PositionsRequest{Service: "orders", Fresh: tt.fresh}, p, arrived, arrived.Add(200*time.Millisecond))
			require.Equal(t, "orders", answer.GetService())
			require.Equal(t, tt.confirmed, answer.GetConfirmed())
			require.EqualValues(t, 200, answer.GetKnownMs())
		})
	}
}

// Guards against an upstream that is polled 200 times a second for hosts that only follow its group after a burst of statements
// has ended, and against writes and reads that wait for the next idle poll.
func TestOnlyWaitingRequestsNeedFastPolls(t *testing.T) {
	for name, c := range map[string]struct {
		request *fleetpb.PositionsRequest
		fast    bool
	}{
		"write":         {&fleetpb.PositionsRequest{WaitMs: 200, Wanted: &fleetpb.Position{Term: 1, Lsn: 9}}, true},
		"floor":         {&fleetpb.PositionsRequest{WaitMs: 200, Fresh: true}, true},
		"reads":         {&fleetpb.PositionsRequest{WaitMs: 20}, true},
		"no statements": {&fleetpb.PositionsRequest{WaitMs: 200}, false},
	} {
		require.Equal(t, c.fast, needsFastPoll(c.request), name)
	}
}
