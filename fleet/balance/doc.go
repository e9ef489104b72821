// Package balance orders the upstreams of a read by the time in which each is expected to answer. It is made for many hosts that
// choose among the same few upstreams, each with load reports that are already stale.
package balance
