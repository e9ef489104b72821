package cover

import (
	"sync"
	"time"

	"tamarackshunt.dev/fleet/ident"
)

const (
	// spacing is the least time between two remembered covers; more would not make reads fresher by an amount that counts.
	spacing = 50 * time.Millisecond
	// capacity bounds the remembered covers; with the spacing they reach back over any staleness in use.
	capacity = 128
)

// point is a position and the time up to which it holds everything acknowledged.
type point struct {
	position ident.Position
	asOf     ident.Time
}

// Cover is the memory for one service. Its methods may be called from several goroutines.
type Cover struct {
	mu sync.Mutex
	// points are ordered by time, and so by position.
	points []point
}

// New returns a memory without covers.
func New() *Cover {
	return &Cover{}
}

// Learn takes the position in a primary's answer. AsOf is a time at which the question had not been sent yet; the answer
// must prove that the upstream was the primary when it ran the question.
func (c *Cover) Learn(position ident.Position, asOf ident.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.points); n > 0 {
		last := &c.points[n-1]
		if asOf <= last.asOf {
			return
		}
		if position.Less(last.position) {
			// Answers may overtake each other; the older question can have the higher position.
			position = last.position
		}
		if n > 1 && asOf.Sub(c.points[n-2].asOf) < spacing {
			*last = point{position, asOf}
			return
		}
	}
	c.points = append(c.points, point{position, asOf})
	if len(c.points) > capacity {
		c.points = append(c.points[:0], c.points[len(c.points)-capacity:]...)
	}
}

// Since returns the lowest known position that holds everything acknowledged before a time, so that replicas need to have
// received as little as possible; false when none is known.
func (c *Cover) Since(at ident.Time) (ident.Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.points {
		if p.asOf >= at {
			return p.position, true
		}
	}
	return ident.Position{}, false
}

// Latest returns the time of the newest cover; false without one.
func (c *Cover) Latest() (ident.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.points) == 0 {
		return 0, false
	}
	return c.points[len(c.points)-1].asOf, true
}
