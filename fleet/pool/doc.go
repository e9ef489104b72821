// Package pool decides about connections to upstreams. Allocator divides an upstream's connections over the hosts for
// the control leader. Pool tracks one host's connections to one upstream and returns the actions to take on them.
package pool
