// Package queue holds the work that waits for a connection to one upstream. Teams take turns by weight, the queue is
// bounded in total and per team, and work that cannot meet its deadline is dropped.
package queue
