// Package cover tells from which position on a read is fresh enough: it remembers positions that were recorded from a
// primary together with a time up to which they hold everything that was acknowledged.
package cover
