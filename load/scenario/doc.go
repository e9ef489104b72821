// Package scenario runs a fleet under a workload with failures, and checks the history afterwards.
package scenario
