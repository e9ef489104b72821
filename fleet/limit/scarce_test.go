package limit_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

// demandOf is a borrow request for waiting requests of one priority.
func demandOf(host string, seq uint64, priority int, waiting uint32) *fleetpb.BorrowRequest {
	waits := make([]uint32, priority+1)
	waits[priority] = waiting
	return &fleetpb.BorrowRequest{
		Host: host, Seq: seq, Wanted: []*fleetpb.Tokens{{Team: "stalls", Amount: waiting, Waiting: waiting, Waits: waits, Demand: waiting}},
	}
}

// Guards against less urgent requests of one host that get tokens while more urgent ones wait at another host, and against urgent
// requests that find the bucket empty at their first call.
func TestUrgentRequestsOfAllHostsGetTokensFirst(t *testing.T) {
	now := 10_000 * ms
	owner := limit.NewOwner(limit.OwnerOptions{})
	owner.SetRules(0, map[ident.Team]limit.Rule{"stalls": {Rate: 20, Burst: 16}})
	seq := uint64(0)
	lent := func(host string, priority int, waiting uint32) uint32 {
		seq++
		now += ms
		amount := owner.Borrow(now, demandOf(host, seq, priority, waiting)).GetLent()[0].GetAmount()
		owner.Borrow(now, &fleetpb.BorrowRequest{Host: host, Seq: seq, Held: []*fleetpb.Tokens{{Team: "stalls", Loan: seq}}})
		return amount
	}
	for i := range 6 {
		require.EqualValues(t, 1, lent(fmt.Sprint("urgent", i), 0, 1))
	}
	require.EqualValues(t, 9, lent("busy", 2, 30), "all but one token, which is kept for an urgent request")
	require.EqualValues(t, 1, lent("urgent0", 0, 4))
	now += 110 * ms
	require.Zero(t, lent("busy", 2, 30), "more urgent requests wait at another host")
	require.EqualValues(t, 2, lent("urgent0", 0, 3))
}

// Guards against tokens of a small burst that lie in advance at hosts which don't need them.
func TestTokensAreLentAheadFromASurplus(t *testing.T) {
	now := 10_000 * ms
	owner := limit.NewOwner(limit.OwnerOptions{})
	owner.SetRules(0, map[ident.Team]limit.Rule{"stalls": {Rate: 8, Burst: 24}})
	borrow := func(host string, amount, waiting uint32) (sum uint32) {
		for _, t := range owner.Borrow(now, &fleetpb.BorrowRequest{
			Host: host, Seq: uint64(now), Wanted: []*fleetpb.Tokens{{Team: "stalls", Amount: amount, Waiting: waiting}},
		}).GetLent() {
			sum += t.GetAmount()
		}
		return sum
	}
	for i := range 12 {
		borrow(fmt.Sprint("host", i), 1, 1) // The team is known at twelve hosts.
	}
	now += 4000 * ms
	var ahead uint32
	for i := range 12 {
		ahead += borrow(fmt.Sprint("host", i), 2, 0)
	}
	require.EqualValues(t, 3, ahead)
	now += ms
	require.EqualValues(t, 21, borrow("host0", 21, 21), "waiting requests get all that is left")
}

// Guards against a team that counts as scarce because its few hosts were restarted.
func TestRestartsDoNotMakeATeamScarce(t *testing.T) {
	owner := limit.NewOwner(limit.OwnerOptions{})
	owner.SetRules(0, map[ident.Team]limit.Rule{"stalls": {Rate: 8, Burst: 24}})
	for i := range 21 {
		request := demandOf(fmt.Sprint("host", i%3), 1, 0, 1)
		request.Incarnation = uint64(i)
		require.False(t, owner.Borrow(10_000*ms, request).GetLent()[0].GetScarce())
	}
}

// Guards against requests that wait although their token comes too late, urgent requests that are refused because less urgent ones
// have to wait, and refused callers that return together.
func TestForecastRefusesAtOnce(t *testing.T) {
	var out bytes.Buffer
	now := 1000 * ms
	b := limit.NewBorrower(limit.BorrowerOptions{Host: "h", Incarnation: 1, Period: 150 * time.Millisecond})
	take := func(priority int, maxWait time.Duration) {
		decision, _ := b.Take(now, limit.Request{Team: "stalls", Priority: priority, MaxWait: maxWait}, now+2000*ms)
		fmt.Fprintf(&out, "%4d ms  priority %d, waits up to %v: ", now/ms, priority, maxWait)
		switch d := decision.(type) {
		case limit.Wait:
			fmt.Fprintf(&out, "waits, the next call is at %d ms\n", b.Due()/ms)
		case limit.Refuse:
			fmt.Fprintf(&out, "refused, %v, retry after %v\n", d.Exceeded.Cause, d.Exceeded.Retry)
		}
	}
	answer := func(retry, slot uint32) {
		request := b.NextRequest(now)
		now += 50 * ms
		fmt.Fprintf(&out, "%4d ms  the owner: next token in %d ms, then each %d ms\n", now/ms, retry, slot)
		for _, o := range b.HandleResponse(now, &fleetpb.BorrowResponse{Seq: request.GetSeq(), LifetimeMs: 500, Lent: []*fleetpb.Tokens{
			{Team: "stalls", Loan: request.GetSeq(), Scarce: true, RetryMs: retry, SlotMs: slot},
		}}) {
			fmt.Fprintf(&out, "         request %d is refused, %v, retry after %v\n", o.ID, o.Refused.Cause, o.Refused.Retry)
		}
	}
	take(2, 375*time.Millisecond)
	answer(100, 200)
	take(2, 375*time.Millisecond)
	take(2, 375*time.Millisecond)
	take(3, 150*time.Millisecond)
	take(0, 100*time.Millisecond)
	answer(120, 400)
	for range 9 {
		take(2, 375*time.Millisecond)
	}
	take(0, 100*time.Millisecond)
	take(1, 100*time.Millisecond)
	now += 500 * ms
	take(1, 100*time.Millisecond)
	answer(3000, 3000)
	take(1, 100*time.Millisecond)
	take(1, 100*time.Millisecond)
	goldie.New(t).Assert(t, "forecast", out.Bytes())
}

// Guards against a refunded token that lies idle while a request waits on the host, and against one that returns although its loan
// has expired.
func TestRefundServesWaitingRequests(t *testing.T) {
	now := 1000 * ms
	b := limit.NewBorrower(limit.BorrowerOptions{Host: "h", Incarnation: 1})
	take := func() limit.Decision {
		decision, _ := b.Take(now, limit.Request{Team: "stalls"}, now+2000*ms)
		return decision
	}
	take()
	request := b.NextRequest(now)
	outcomes := b.HandleResponse(now, &fleetpb.BorrowResponse{
		Seq: request.GetSeq(), LifetimeMs: 500, Lent: []*fleetpb.Tokens{{Team: "stalls", Amount: 2, Loan: request.GetSeq()}},
	})
	require.Len(t, outcomes, 1)
	second := take().(limit.Spent)
	third := take().(limit.Wait)
	served, done := b.Refund(now, outcomes[0].Receipt)
	require.True(t, done)
	require.Len(t, served, 1)
	require.Equal(t, third.ID, served[0].ID)
	_, done = b.Refund(now+500*ms, second.Receipt)
	require.False(t, done)
}
