// Package freshness finds the log position that a replica must have reached for a read with a staleness bound. It records
// the positions that a primary reports, each with a time up to which it includes every acknowledged write.
package freshness
