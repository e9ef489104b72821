// Package takeover decides whether a service needs another primary, and which upstream it should be. It runs on the leader of
// the core hosts, which replicate the configuration. The primary is determined from the announcements of upstreams
// and from the executed promotion orders. A Decider has no connections and no clock: its caller passes the times, the members
// and the results of probes.
package takeover
