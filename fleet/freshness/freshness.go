package freshness

import (
	"sync"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// minSpacing is the minimum time between a recorded position and the next but one; a finer resolution would make no
	// relevant difference to reads.
	minSpacing = 50 * time.Millisecond
	// capacity is the maximum number of recorded positions. They reach back over any staleness bound in use; with minSpacing, a
	// full tracker covers at least 3.15 s.
	capacity = 128
)

// point is a position and the time up to which it includes every acknowledged write.
type point struct {
	position ident.Position
	asOf     ident.Time
}

// Tracker records positions of one service's primary. Its methods are safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// points are ordered by time and, since Record never lets a position go back, also by position.
	points []point
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{}
}

// Record records the position in a primary's response. AsOf is a time before the request was sent. The response must prove
// that the upstream was the primary when it ran the request.
func (t *Tracker) Record(position ident.Position, asOf ident.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.points); n > 0 {
		last := &t.points[n-1]
		if asOf <= last.asOf {
			return
		}
		if position.Less(last.position) {
			// Responses may arrive out of order, so an older request can have returned the higher position.
			position = last.position
		}
		if n > 1 && asOf.Sub(t.points[n-2].asOf) < minSpacing {
			*last = point{position, asOf}
			return
		}
	}
	t.points = append(t.points, point{position, asOf})
	if len(t.points) > capacity {
		t.points = append(t.points[:0], t.points[len(t.points)-capacity:]...)
	}
}

// Since returns the lowest recorded position that includes every write acknowledged before a time, or false when there is
// none. With the lowest position, most replicas qualify.
func (t *Tracker) Since(at ident.Time) (ident.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.points {
		if p.asOf >= at {
			return p.position, true
		}
	}
	return ident.Position{}, false
}

// Latest returns the time of the newest position, or false when there is none.
func (t *Tracker) Latest() (ident.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.points) == 0 {
		return 0, false
	}
	return t.points[len(t.points)-1].asOf, true
}
