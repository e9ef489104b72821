// Package routing knows the upstreams of one host: where they are, who is the primary, what is known of their positions, and
// which of them should run a statement.
package routing
