// Package queue holds the work that waits for a connection to one upstream: fair by team, bounded, and free of work whose
// deadline cannot be met.
package queue
