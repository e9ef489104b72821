// Package pool decides about connections to upstreams: the control leader's allocation of an upstream's connections over
// hosts, and the actions of one host for its pooled connections to one upstream.
package pool
