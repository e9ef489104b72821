// Package steady provides the clock for leases, loans and ages. The clock is never set, and continues while the system is
// suspended.
package steady
