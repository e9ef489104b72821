package freshness

import (
	"sync"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// spacing is the least time between two remembered positions; more would not make reads fresher by an amount that counts.
	spacing = 50 * time.Millisecond
	// capacity bounds the remembered positions; with the spacing they reach back over any staleness in use.
	capacity = 128
)

// point is a position and the time up to which it holds everything acknowledged.
type point struct {
	position ident.Position
	asOf     ident.Time
}

// Tracker remembers positions of one service. Its methods may be called from several goroutines.
type Tracker struct {
	mu sync.Mutex
	// points are ordered by time, and so by position.
	points []point
}

// New returns a tracker without positions.
func New() *Tracker {
	return &Tracker{}
}

// Record takes the position in a primary's answer. AsOf is a time at which the question had not been sent yet; the answer
// must prove that the upstream was the primary when it ran the question.
func (t *Tracker) Record(position ident.Position, asOf ident.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.points); n > 0 {
		last := &t.points[n-1]
		if asOf <= last.asOf {
			return
		}
		if position.Less(last.position) {
			// Answers may overtake each other; the older question can have the higher position.
			position = last.position
		}
		if n > 1 && asOf.Sub(t.points[n-2].asOf) < spacing {
			*last = point{position, asOf}
			return
		}
	}
	t.points = append(t.points, point{position, asOf})
	if len(t.points) > capacity {
		t.points = append(t.points[:0], t.points[len(t.points)-capacity:]...)
	}
}

// Since returns the lowest known position that holds everything acknowledged before a time, so that replicas need to have
// received as little as possible; false when none is known.
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

// Latest returns the time of the newest position; false without one.
func (t *Tracker) Latest() (ident.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.points) == 0 {
		return 0, false
	}
	return t.points[len(t.points)-1].asOf, true
}
