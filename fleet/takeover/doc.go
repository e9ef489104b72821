// Package takeover decides on the core's leader whether a service needs another primary, and which upstream it should be. The
// primary is determined from the announcements of upstreams and from the executed promotion orders. A Decider has no
// connections and no clock: its caller passes the times, the members and the results of probes.
package takeover
