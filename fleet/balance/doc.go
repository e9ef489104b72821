// Package balance orders the upstreams of a read by the time in which each is expected to answer. It answers the load of many
// hosts that choose among the same few upstreams, each with reports of their load that are already old.
package balance
