// Package clock derives a host's logical time, which its decisions are based on, from the monotonic clock of the process.
package clock
