// Package workload writes and reads numbered records through a fleet from many sessions, which move between hosts on
// each request, and records what they were told in a history.
package workload
