// Package takeover decides on the core's leader whether a service needs another primary, and which upstream it should be. It
// knows the primary by what upstreams announce and by the orders that were carried out; it keeps no connection and no clock.
package takeover
