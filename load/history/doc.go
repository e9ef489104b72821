// Package history records what clients of a fleet did and saw, and checks it for lost, doubled and phantom records and
// for stale reads.
package history
