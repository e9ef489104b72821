package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
)

// Guards against scarce tokens that go to less urgent requests because these may wait longer, and against requests of
// the same priority that overtake each other.
func TestUrgentRequestsGetTokensFirst(t *testing.T) {
	at := ident.Time(time.Hour)
	b := limit.NewBorrower(limit.BorrowerOptions{Host: "h", Incarnation: 1})
	ids := map[limit.WaiterID]string{}
	for _, w := range []struct {
		name     string
		priority int
	}{{"late 1", 2}, {"late 2", 2}, {"urgent 1", 1}, {"late 3", 2}, {"urgent 2", 1}, {"first", 0}} {
		decision, _ := b.Take(at, limit.Request{Team: "t", Priority: w.priority}, at.Add(time.Second))
		require.IsType(t, limit.Wait{}, decision)
		ids[decision.(limit.Wait).ID] = w.name
	}
	var served []string
	for len(served) < len(ids) {
		at = at.Add(10 * time.Millisecond)
		request := b.NextRequest(at)
		outcomes := b.HandleResponse(at, &fleetpb.BorrowResponse{
			Seq: request.GetSeq(), LifetimeMs: 500, Lent: []*fleetpb.Tokens{{Team: "t", Amount: 1, Loan: request.GetSeq()}},
		})
		require.Len(t, outcomes, 1)
		require.Nil(t, outcomes[0].Refused)
		served = append(served, ids[outcomes[0].ID])
	}
	require.Equal(t, []string{"first", "urgent 1", "urgent 2", "late 1", "late 2", "late 3"}, served)
}

// Guards against requests within their team's rate that are refused because no owner lends for longer than their
// MaxWait, and against requests above the rate that wait until their deadline.
func TestMaxWaitCountsWhileAnOwnerLends(t *testing.T) {
	at := ident.Time(time.Hour)
	b := limit.NewBorrower(limit.BorrowerOptions{Host: "h", Incarnation: 1})
	decision, _ := b.Take(at, limit.Request{Team: "t", MaxWait: 100 * time.Millisecond}, at.Add(400*time.Millisecond))
	require.Equal(t, at.Add(100*time.Millisecond), decision.(limit.Wait).Until)
	require.NotNil(t, b.NextRequest(at))
	require.Empty(t, b.HandleFailure(at))
	at = at.Add(300 * time.Millisecond)
	require.Empty(t, b.Expire(at, "t"), "without an owner the request waits for up to its deadline")

	request := b.NextRequest(at)
	require.Empty(t, b.HandleResponse(at, &fleetpb.BorrowResponse{Seq: request.GetSeq(), LifetimeMs: 500}))
	require.Empty(t, b.Expire(at.Add(99*time.Millisecond), "t"), "MaxWait counts from the owner's return")
	refused := b.Expire(at.Add(100*time.Millisecond), "t")
	require.Len(t, refused, 1)
	require.Equal(t, limit.CauseRate, refused[0].Refused.Cause)
}

// Guards against a call to the owner for each request of a team that sends a few per second, and against tokens that
// stay on a host whose team has stopped sending.
func TestPrefetchForFewRequests(t *testing.T) {
	at := ident.Time(time.Hour)
	b := limit.NewBorrower(limit.BorrowerOptions{Host: "h", Incarnation: 1, Period: 150 * time.Millisecond, Prefetch: 2})
	answer := func() (wanted uint32) {
		request := b.NextRequest(at)
		response := &fleetpb.BorrowResponse{Seq: request.GetSeq(), LifetimeMs: 500}
		for _, tokens := range request.GetWanted() {
			wanted += tokens.GetAmount()
			response.Lent = append(response.Lent, &fleetpb.Tokens{Team: tokens.GetTeam(), Amount: tokens.GetAmount(), Loan: request.GetSeq()})
		}
		b.HandleResponse(at, response)
		return wanted
	}
	decision, _ := b.Take(at, limit.Request{Team: "t"}, at.Add(time.Second))
	require.IsType(t, limit.Wait{}, decision, "the first request has to wait")
	require.EqualValues(t, 3, answer())
	for range 5 {
		at = at.Add(300 * time.Millisecond)
		answer()
		decision, _ = b.Take(at, limit.Request{Team: "t"}, at.Add(time.Second))
		require.IsType(t, limit.Spent{}, decision)
	}
	at = at.Add(1100 * time.Millisecond)
	require.Zero(t, answer(), "nothing is borrowed for a team without recent requests")
}

// Guards against a request that is refused while the call for its token is in flight to an owner that is down.
func TestMaxWaitDoesNotEndDuringTheCall(t *testing.T) {
	at := ident.Time(time.Hour)
	b := limit.NewBorrower(limit.BorrowerOptions{Host: "h", Incarnation: 1})
	decision, _ := b.Take(at, limit.Request{Team: "t", MaxWait: 100 * time.Millisecond}, at.Add(400*time.Millisecond))
	require.IsType(t, limit.Wait{}, decision)
	require.NotNil(t, b.NextRequest(at))
	at = at.Add(150 * time.Millisecond)
	require.Empty(t, b.Expire(at, "t"), "the owner has not answered")
	require.Empty(t, b.HandleFailure(at))
	require.Empty(t, b.Expire(at.Add(100*time.Millisecond), "t"))
	refused := b.Expire(at.Add(250*time.Millisecond), "t")
	require.Len(t, refused, 1)
	require.Equal(t, limit.CauseNoOwner, refused[0].Refused.Cause)
}

// Guards against a refusal that says that no owner answers although one has lent every token that was wanted.
func TestRefusalAfterAnAnswerNamesTheRate(t *testing.T) {
	at := ident.Time(time.Hour)
	b := limit.NewBorrower(limit.BorrowerOptions{Host: "h", Incarnation: 1})
	take := func(maxWait time.Duration) {
		decision, _ := b.Take(at, limit.Request{Team: "t", MaxWait: maxWait}, at.Add(time.Second))
		require.IsType(t, limit.Wait{}, decision)
	}
	take(100 * time.Millisecond)
	request := b.NextRequest(at)
	// A second request arrives while the call for the first one's token is in flight.
	take(100 * time.Millisecond)
	served := b.HandleResponse(at.Add(20*time.Millisecond), &fleetpb.BorrowResponse{
		Seq: request.GetSeq(), LifetimeMs: 500, Lent: []*fleetpb.Tokens{{Team: "t", Amount: 1, Loan: request.GetSeq()}},
	})
	require.Len(t, served, 1)
	refused := b.Expire(at.Add(100*time.Millisecond), "t")
	require.Len(t, refused, 1)
	require.Equal(t, limit.CauseRate, refused[0].Refused.Cause)
}
