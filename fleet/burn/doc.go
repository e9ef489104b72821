// Package burn measures the service levels of the fleet, and how fast their allowances are used up, over a fast and a
// slow window. A Meter collects request counts, failover gaps and zone changes; Levels, Series and Report return the
// results.
package burn
