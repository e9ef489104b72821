package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

// Guards against a host that refuses a team until a new owner lends, against one that spends more than its part of
// the overrun, and against one that spends it right after a restart, when its earlier spending is not known.
func TestReserve(t *testing.T) {
	const window = 5 * time.Second
	b := limit.NewBorrower(limit.BorrowerOptions{Host: "h", Incarnation: 1})
	reserves := map[ident.Team]limit.Reserve{"t": {Tokens: 3, Window: window}}
	at := ident.Time(time.Hour)
	take := func() bool {
		decision, _ := b.Take(at, limit.Request{Team: "t"}, at.Add(time.Second))
		_, spent := decision.(limit.Spent)
		return spent
	}
	failRequest := func() []limit.Outcome {
		b.NextRequest(at)
		return b.HandleFailure(at)
	}
	b.SetReserves(at, reserves)
	require.False(t, take())
	require.Empty(t, failRequest(), "a host that has just started spends nothing")

	at = at.Add(window)
	outcomes := failRequest()
	require.Len(t, outcomes, 1, "the waiting request runs")
	require.Nil(t, outcomes[0].Refused)
	require.True(t, take())
	at = at.Add(time.Second)
	require.True(t, take())
	require.False(t, take(), "the reserve is spent")
	b.SetReserves(at, nil)
	require.False(t, take())
	b.SetReserves(at, reserves)
	require.False(t, take(), "also for a team that was removed and added again")

	at = at.Add(window - time.Second)
	b.SetReserves(at, reserves)
	require.True(t, take(), "two of the three were spent a window ago")
	require.True(t, take())
	require.False(t, take())
}

// Guards against a reserve that is spent while the owner responds.
func TestReserveOnlyWithoutOwner(t *testing.T) {
	at := ident.Time(time.Hour)
	b := limit.NewBorrower(limit.BorrowerOptions{Host: "h", Incarnation: 1})
	b.SetReserves(at, map[ident.Team]limit.Reserve{"t": {Tokens: 3, Window: time.Second}})
	at = at.Add(time.Second)
	decision, _ := b.Take(at, limit.Request{Team: "t"}, at.Add(time.Second))
	require.IsType(t, limit.Wait{}, decision)
}
