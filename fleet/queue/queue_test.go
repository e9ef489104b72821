package queue_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/queue"
)

const ms = ident.Time(time.Millisecond)

// refused returns the Dropped error of a Push that did not queue its work.
func refused(t *testing.T, err error) *queue.Dropped {
	var d *queue.Dropped
	require.ErrorAs(t, err, &d)
	return d
}

// Guards against turns in proportion to the amount of queued work instead of the weights.
func TestTurnsFollowWeights(t *testing.T) {
	q := queue.New(queue.Options{})
	q.SetWeights(map[ident.Team]uint32{"stalls": 3})
	for i := range 900 {
		for _, team := range []ident.Team{"lamps", "lamps", "lamps", "stalls", "dues"} {
			if team == "lamps" || i < 400 {
				_, _, _ = q.Push(0, team, 1000*ms)
			}
		}
	}
	got := map[ident.Team]int{}
	for range 500 {
		work, found, _ := q.Next(0)
		require.True(t, found)
		got[work.Team]++
	}
	require.Equal(t, map[ident.Team]int{"stalls": 300, "lamps": 100, "dues": 100}, got)
}

// Guards against a team that fills the queue and keeps others out, and against a queue that exceeds its bounds.
func TestBounds(t *testing.T) {
	q := queue.New(queue.Options{Total: 10, PerTeam: 8})
	push := func(team ident.Team) (int, queue.Cause) {
		_, dropped, err := q.Push(0, team, 1000*ms)
		if err != nil {
			return len(dropped), refused(t, err).Cause
		}
		return len(dropped), -1
	}
	for range 8 {
		push("lamps")
	}
	_, cause := push("lamps")
	require.Equal(t, queue.CauseTeamFull, cause)
	for i := range 5 {
		dropped, cause := push("stalls")
		require.Equal(t, queue.Cause(-1), cause)
		require.Equal(t, i >= 2, dropped == 1, "the work of lamps is displaced")
	}
	_, cause = push("stalls")
	require.Equal(t, queue.CauseFull, cause)
	require.Equal(t, 10, q.Len())
}

// Guards against cancelled work that still runs, and against a second outcome for work that has left the queue.
func TestCancel(t *testing.T) {
	q := queue.New(queue.Options{})
	first, _, _ := q.Push(0, "stalls", 1000*ms)
	second, _, _ := q.Push(0, "stalls", 1000*ms)
	require.True(t, q.Cancel(first))
	require.False(t, q.Cancel(first))
	work, _, _ := q.Next(0)
	require.Equal(t, second, work.ID)
	require.False(t, q.Cancel(second))
	require.Zero(t, q.Len())
}

// Guards against measurements of a stalled upstream that cause all work to be dropped for ever.
func TestServiceTimeIsForgotten(t *testing.T) {
	q := queue.New(queue.Options{})
	q.RecordServiceTime(0, 8*time.Second)
	_, _, err := q.Push(100*ms, "stalls", 1100*ms)
	require.Equal(t, queue.CauseDeadline, refused(t, err).Cause)
	_, _, err = q.Push(2000*ms, "stalls", 3000*ms)
	require.NoError(t, err)
}

// Guards invariant 10 (a rejection that reports "not run" is true) and fairness under overload: work that cannot meet
// its deadline is dropped before it runs, no work runs past its deadline, and the small team gets its share.
func TestOverload(t *testing.T) {
	var out bytes.Buffer
	q := queue.New(queue.Options{Total: 60, PerTeam: 40})
	counts := map[ident.Team]map[string]int{"lamps": {}, "stalls": {}}
	var longestWait ident.Time
	drop := func(list []*queue.Dropped) {
		for _, d := range list {
			counts[d.Work.Team][d.Cause.String()]++
		}
	}
	free := []ident.Time{0, 0}
	for now := ident.Time(0); now < 10_000*ms; now += ms {
		for _, team := range []ident.Team{"lamps", "stalls"} {
			if team == "stalls" && now%(16*ms) != 0 {
				continue
			}
			counts[team]["sent"]++
			_, dropped, err := q.Push(now, team, now+200*ms)
			drop(dropped)
			if err != nil {
				drop([]*queue.Dropped{refused(t, err)})
			}
		}
		for slot := range free {
			if free[slot] > now {
				continue
			}
			work, found, dropped := q.Next(now)
			drop(dropped)
			if !found {
				continue
			}
			counts[work.Team]["ran"]++
			longestWait = max(longestWait, now-work.Since)
			free[slot] = now + 10*ms
			q.RecordServiceTime(now, 10*time.Millisecond)
			require.LessOrEqual(t, free[slot], work.Deadline)
		}
	}
	fmt.Fprintf(&out, "10 s, two slots of 10 ms, deadline 200 ms, longest wait %d ms\n", longestWait/ms)
	for _, team := range []ident.Team{"lamps", "stalls"} {
		c := counts[team]
		fmt.Fprintf(&out, "%-6s sent %5d, ran %4d, dropped: deadline %d, team full %d, full %d, displaced %d\n", team,
			c["sent"], c["ran"], c["deadline"], c["team_full"], c["full"], c["displaced"])
	}
	require.GreaterOrEqual(t, counts["stalls"]["ran"], counts["stalls"]["sent"]*95/100)
	goldie.New(t).Assert(t, "overload", out.Bytes())
}
