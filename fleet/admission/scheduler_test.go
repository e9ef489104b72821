package admission_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/admission"
	"tamarackshunt.dev/fleet/ident"
)

func request(priority int, deadline ident.Time) admission.Request {
	return admission.Request{Team: "team", Priority: priority, Deadline: deadline}
}

// measured returns a scheduler with six slots, each held for 10 ms, of which none is free until busy statements end. It is at 1 s.
func measured(options admission.Options) (*admission.Scheduler, []admission.ID) {
	options.Limit = 6
	s := admission.New(options)
	var running []admission.ID
	for at := 990 * ms; at <= 1000*ms; at += 10 * ms {
		for _, id := range running {
			s.Finish(at, id)
		}
		running = nil
		for range options.Limit {
			id, _ := s.Arrive(at, request(0, at+1000*ms))
			s.Start(at, id)
			running = append(running, id)
		}
	}
	return s, running
}

// Guards against a calm deployment that is served otherwise than before: with free slots, everything is granted when it arrives and in that
// order, whatever its priority, team or deadline.
func TestCalm(t *testing.T) {
	var out bytes.Buffer
	s := admission.New(admission.Options{Limit: 3})
	for i, r := range []admission.Request{
		{Team: "a", Priority: 2, Deadline: 2 * ms},
		{Team: "b", Deadline: 900 * ms},
		{Team: "a", Priority: 1, Deadline: 3 * ms, Late: true},
		{Team: "c", Priority: 2, Deadline: 100 * ms},
		{Team: "a", Deadline: 500 * ms},
		{Team: "a", Holding: true, Deadline: 500 * ms},
	} {
		at := ident.Time(i) * 20 * ms
		r.Deadline += at
		id, decisions := s.Arrive(at, r)
		fmt.Fprintf(&out, "%3d ms %+v: %v", at/ms, r, decisions)
		if !r.Holding {
			fmt.Fprintf(&out, ", started %v", s.Start(at+ms, id))
		}
		fmt.Fprintf(&out, ", ended %v, %d wait\n", s.Finish(at+15*ms, id), s.Waiting())
	}
	goldie.New(t).Assert(t, "calm", out.Bytes())
}

// Guards against a wait without hope, and against a burst of refused callers that comes back as a burst: 300 statements of two priorities
// arrive at once, for an upstream that serves 600 a second.
func TestRefusedBurstReturnsAsStream(t *testing.T) {
	s, _ := measured(admission.Options{})
	returns := [2][20]int{}
	waiting := 0
	for i := range 300 {
		_, decisions := s.Arrive(1000*ms, request(i%2, 1100*ms))
		if len(decisions) == 0 {
			waiting++
		}
		for _, d := range decisions {
			require.GreaterOrEqual(t, d.Refused.Retry, 20*time.Millisecond)
			require.LessOrEqual(t, d.Refused.Retry, 2*time.Second)
			returns[int(d.ID+1)%2][d.Refused.Retry/(100*time.Millisecond)]++
		}
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%d wait\n", s.Waiting())
	for priority, counts := range returns {
		fmt.Fprintf(&out, "priority %d comes back, each 100 ms: %v\n", priority, counts)
	}
	goldie.New(t).Assert(t, "returns", out.Bytes())
	require.Less(t, s.Waiting(), 60, "600 a second can't serve more in 100 ms")
	require.GreaterOrEqual(t, waiting, s.Waiting())
}

// Guards against a full queue that keeps urgent statements out, or a team that fills the queue.
func TestFullQueue(t *testing.T) {
	s, running := measured(admission.Options{Total: 10, PerTeam: 8})
	push := func(team ident.Team, priority int) (reasons []string) {
		id, decisions := s.Arrive(1000*ms, admission.Request{Team: team, Priority: priority, Deadline: 9000 * ms})
		for _, d := range decisions {
			reasons = append(reasons, fmt.Sprintf("%v %t", d.Refused.Reason, d.ID == id))
		}
		return reasons
	}
	for range 8 {
		require.Empty(t, push("large", 1))
	}
	require.Equal(t, []string{"team_full true"}, push("large", 1))
	for range 2 {
		require.Empty(t, push("small", 1))
	}
	require.Equal(t, []string{"displaced false"}, push("small", 1))
	require.Equal(t, []string{"displaced false"}, push("large", 0))
	require.Equal(t, []string{"full true"}, push("small", 2))
	require.Equal(t, 10, s.Waiting())
	require.Len(t, s.Finish(1010*ms, running[0]), 1)
}

// Guards against less urgent statements that wait on although more urgent ones have taken the time that they had.
func TestUrgentWorkMakesOthersHopeless(t *testing.T) {
	s, _ := measured(admission.Options{})
	id, decisions := s.Arrive(1000*ms, request(2, 1030*ms))
	require.Empty(t, decisions)
	for range 60 {
		_, more := s.Arrive(1000*ms, request(0, 1500*ms))
		decisions = append(decisions, more...)
	}
	require.Len(t, decisions, 1)
	require.Equal(t, id, decisions[0].ID)
	require.Equal(t, admission.ReasonHopeless, decisions[0].Refused.Reason)
}

// Guards against transactions that never end: reservations that wait for the connections of transactions must leave these a slot, and a
// less urgent one must not keep more urgent statements out.
func TestHeldConnectionsGoFirst(t *testing.T) {
	s := admission.New(admission.Options{Limit: 2})
	for range 2 {
		_, decisions := s.Arrive(0, request(1, 1000*ms))
		require.Len(t, decisions, 1, "the reservation waits for a connection")
	}
	waiting, decisions := s.Arrive(0, request(1, 1000*ms))
	require.Empty(t, decisions)
	inside := admission.Request{Team: "team", Priority: 2, Deadline: 1000 * ms, Holding: true}
	first, decisions := s.Arrive(0, inside)
	require.Equal(t, []admission.Decision{{ID: first}}, decisions)
	second, decisions := s.Arrive(0, inside)
	require.Equal(t, []admission.Decision{{ID: second}}, decisions)
	third, decisions := s.Arrive(0, inside)
	require.Empty(t, decisions, "transactions count in the bound")
	urgent, decisions := s.Arrive(0, request(0, 1000*ms))
	require.Empty(t, decisions)
	require.Equal(t, []admission.Decision{{ID: third}}, s.Finish(5*ms, first))
	require.Equal(t, []admission.Decision{{ID: urgent}}, s.Finish(5*ms, second))
	require.Empty(t, s.Finish(5*ms, third), "the statement of priority 1 stays behind both reservations of its priority")
	require.Empty(t, s.Expire(6*ms, urgent), "it has been granted")
	require.Equal(t, waiting, s.Expire(6*ms, waiting)[0].ID)
}

// Guards against reservations that wait for connections and keep out the statements of teams that have a free one, and against a wait for
// connections without a bound.
func TestReservationsWithoutConnections(t *testing.T) {
	s := admission.New(admission.Options{Limit: 2})
	now, granted := ident.Time(0), 0
	for range 20 {
		_, decisions := s.Arrive(now, request(1, 9000*ms))
		granted += len(decisions)
	}
	require.Equal(t, 2, granted)
	due, found := s.Due(now)
	require.True(t, found)
	now = now.Add(due)
	require.Len(t, s.Decide(now), 2)
	_, found = s.Due(now)
	require.False(t, found)
	require.Empty(t, s.Decide(now.Add(time.Second)))
}

// Guards against statements that wait for an upstream that answers nothing, and against one that is never tried again.
func TestStalledUpstream(t *testing.T) {
	s, running := measured(admission.Options{})
	waiting, decisions := s.Arrive(1000*ms, request(0, 9000*ms))
	require.Empty(t, decisions)
	_, decisions = s.Arrive(1400*ms, request(0, 9000*ms))
	require.Len(t, decisions, 2)
	for _, d := range decisions {
		require.Equal(t, admission.ReasonStalled, d.Refused.Reason)
		require.Zero(t, d.Refused.Retry, "nobody knows when there is room")
	}
	require.Contains(t, []admission.ID{decisions[0].ID, decisions[1].ID}, waiting)
	s.Cancel(1800*ms, running[0])
	id, decisions := s.Arrive(1800*ms, request(0, 9000*ms))
	require.Equal(t, []admission.Decision{{ID: id}}, decisions, "the next one tries the upstream")
}

// Guards against an upstream that gets more than the warm-up rate, also from transactions, and a rate that is not used.
func TestWarmupRate(t *testing.T) {
	s := admission.New(admission.Options{Limit: 1000})
	const rate = 50
	s.SetWarmup(0, 60_000*ms, rate)
	inSecond, started := map[ident.Time]int{}, map[admission.ID]bool{}
	var apply func(now ident.Time, decisions []admission.Decision)
	apply = func(now ident.Time, decisions []admission.Decision) {
		for _, d := range decisions {
			switch {
			case d.Refused != nil:
			case !started[d.ID]:
				started[d.ID] = true
				apply(now, s.Start(now, d.ID))
			default:
				inSecond[now/(1000*ms)]++
				apply(now, s.Finish(now, d.ID))
			}
		}
	}
	for now := ident.Time(0); now < 10_000*ms; now += 5 * ms {
		id, decisions := s.Arrive(now, admission.Request{Team: "team", Deadline: now + 500*ms, Holding: now%(50*ms) == 0})
		started[id] = now%(50*ms) == 0
		apply(now, decisions)
		if due, found := s.Due(now); found && due <= 5*time.Millisecond {
			apply(now, s.Decide(now))
		}
	}
	for second, count := range inSecond {
		require.LessOrEqual(t, count, rate+rate/5+1, "second %d", second)
		require.GreaterOrEqual(t, count, rate*8/10, "second %d", second)
	}
}
