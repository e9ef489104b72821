package lending_test

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/control"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/host/lending"
)

// Guards against tokens that are lent twice: by a host that does not lead, by a new leader that starts with a full bucket or
// lends before the loans of an earlier leader have expired, and by a leader that replaces its buckets although the leadership
// did not change.
func TestLeadership(t *testing.T) {
	const (
		first  = ident.Time(time.Second)
		second = ident.Time(60 * time.Second)
		rate   = 10
		burst  = 50
	)
	l := lending.New()
	seq := uint64(0)
	borrow := func(now ident.Time) uint32 {
		seq++
		answer := l.Borrow(now, &fleetpb.BorrowRequest{
			Host: "e1", Incarnation: 1, Seq: seq, Wanted: []*fleetpb.Tokens{{Team: "brno", Amount: 1000, Waiting: 1000}},
		})
		lent := uint32(0)
		for _, tokens := range answer.GetLent() {
			lent += tokens.GetAmount()
		}
		return lent
	}
	l.SetState(1, &fleetpb.Text{Teams: []*fleetpb.Team{{Name: "brno", Rate: rate, Burst: burst}}}, nil)
	require.Zero(t, borrow(first), "lent without leadership")
	l.SetLeadership(first, control.Leadership{Leads: true, Since: first.Add(40 * time.Millisecond), NoLeaderSince: first})
	require.Zero(t, borrow(first.Add(limit.Lifetime-1)), "lent before the loans of an earlier owner expired")
	lent := metrics.GetOrCreateCounter(`tamarack_lending_tokens_total{for="waiting"}`)
	before := lent.Get()
	bucketFull := first.Add(30 * time.Second)
	require.EqualValues(t, burst, borrow(bucketFull))
	require.Zero(t, borrow(bucketFull), "lent more than the burst")
	require.EqualValues(t, burst, lent.Get()-before)
	later := bucketFull.Add(time.Second)
	l.SetLeadership(later, control.Leadership{
		Leads: true, Since: first.Add(40 * time.Millisecond), NoLeaderSince: first, Until: later,
	})
	// Unexpired loans count against the burst, so the bucket starts to fill only when they expire, half a second before later.
	require.EqualValues(t, rate/2, borrow(later), "the bucket was replaced without a change of leadership")
	l.SetLeadership(second, control.Leadership{})
	require.Zero(t, borrow(second), "lent after the leadership ended")
	l.SetLeadership(second, control.Leadership{Leads: true, Since: second.Add(40 * time.Millisecond), NoLeaderSince: second})
	require.Zero(t, borrow(second.Add(limit.Lifetime-1)))
	require.LessOrEqual(t, borrow(second.Add(limit.Lifetime+100*time.Millisecond)), uint32(1), "the bucket did not start empty")
}
