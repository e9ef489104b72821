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

func position(term, lsn int) ident.Position {
	return ident.Position{Term: ident.Term(term), LSN: ident.LSN(lsn)}
}

// Guards against a position that does not include a write acknowledged before the read's bound, and against a position
// that is higher than the read needs.
func TestSince(t *testing.T) {
	tracker := freshness.New()
	_, found := tracker.Since(at(0))
	require.False(t, found)
	tracker.Record(position(1, 10), at(100))
	tracker.Record(position(1, 20), at(200))
	tracker.Record(position(1, 30), at(300))
	got, found := tracker.Since(at(150))
	require.True(t, found)
	require.Equal(t, position(1, 20), got, "the lowest position that is recent enough")
	_, found = tracker.Since(at(301))
	require.False(t, found, "no position is known after the last request")
	tracker.Record(position(1, 5), at(50))
	got, _ = tracker.Since(at(40))
	require.Equal(t, position(1, 10), got, "a late response to an old request changes nothing")
	tracker.Record(position(1, 25), at(400))
	got, _ = tracker.Since(at(400))
	require.Equal(t, position(1, 30), got, "responses out of order do not lower a position")
	tracker.Record(position(2, 12), at(500))
	got, _ = tracker.Since(at(450))
	require.Equal(t, position(2, 12), got, "a later term is newer, even with a lower LSN")
}

// Guards against a sequence of responses after which Since returns a lower position than the log had before the bound, so
// that a read could miss a write that its staleness bound requires.
func TestSinceCovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := freshness.New()
		log := map[ident.Time]ident.Position{}
		number, now := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "responses") {
			now += rapid.IntRange(0, 60).Draw(t, "pause")
			number += rapid.IntRange(0, 3).Draw(t, "writes")
			sentAt := at(now)
			log[sentAt] = position(1, number)
			// Writes between sending the request and running it make the response newer.
			tracker.Record(position(1, number+rapid.IntRange(0, 2).Draw(t, "concurrent writes")), sentAt)
		}
		bound := at(rapid.IntRange(0, now).Draw(t, "bound"))
		got, found := tracker.Since(bound)
		if !found {
			return
		}
		for sentAt, held := range log {
			if sentAt < bound && got.Less(held) {
				t.Fatalf("%v does not include %v, which the log held at %v, before %v", got, held, sentAt, bound)
			}
		}
	})
}
