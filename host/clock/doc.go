// Package clock turns the process's monotonic clock into the logical time that decisions take.
package clock
