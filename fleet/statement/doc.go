// Package statement defines the requests of callers and the results of upstreams, independent of the protocol.
package statement
