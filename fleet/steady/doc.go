// Package steady is the clock of leases, loans and ages: it is not set by anybody and goes on while the machine is suspended.
package steady
