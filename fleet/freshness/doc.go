// Package freshness tells from which position on a read is fresh enough: it remembers positions from answers of a primary
// together with a time up to which they hold everything that was acknowledged.
package freshness
