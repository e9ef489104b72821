package freshness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackshunt.dev/fleet/freshness"
	"tamarackshunt.dev/fleet/ident"
)

func at(ms int) ident.Time { return ident.Time(time.Duration(ms) * time.Millisecond) }

func position(term, number int) ident.Position {
	return ident.Position{Term: ident.Term(term), LSN: ident.LSN(number)}
}

// Guards against a read whose position leaves out what was acknowledged before its bound, and against one that asks replicas
// for more than it needs.
func TestSince(t *testing.T) {
	tracker := freshness.New()
	_, found := tracker.Since(at(0))
	require.False(t, found)
	tracker.Record(position(1, 10), at(100))
	tracker.Record(position(1, 20), at(200))
	tracker.Record(position(1, 30), at(300))
	got, found := tracker.Since(at(150))
	require.True(t, found)
	require.Equal(t, position(1, 20), got, "the oldest that is new enough")
	_, found = tracker.Since(at(301))
	require.False(t, found, "nothing is known after the last question")
	tracker.Record(position(1, 5), at(50))
	got, _ = tracker.Since(at(40))
	require.Equal(t, position(1, 10), got, "a late answer to an old question adds nothing")
	tracker.Record(position(1, 25), at(400))
	got, _ = tracker.Since(at(400))
	require.Equal(t, position(1, 30), got, "answers that overtake each other do not lower a position")
	tracker.Record(position(2, 12), at(500))
	got, _ = tracker.Since(at(450))
	require.Equal(t, position(2, 12), got, "a later term counts, also with a lower number")
}

// Guards against any sequence of answers after which a position that covers less than the log at the time is returned.
func TestSinceCovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := freshness.New()
		log := map[ident.Time]ident.Position{}
		number, now := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "answers") {
			now += rapid.IntRange(0, 60).Draw(t, "pause")
			number += rapid.IntRange(0, 3).Draw(t, "writes")
			asked := at(now)
			log[asked] = position(1, number)
			// Writes between the question and its run make the answer newer.
			tracker.Record(position(1, number+rapid.IntRange(0, 2).Draw(t, "meanwhile")), asked)
		}
		bound := at(rapid.IntRange(0, now).Draw(t, "bound"))
		got, found := tracker.Since(bound)
		if !found {
			return
		}
		for asked, held := range log {
			if asked < bound && got.Less(held) {
				t.Fatalf("%v leaves out %v, held at %v before %v", got, held, asked, bound)
			}
		}
	})
}
