// Package promotion carries out the actions of package failover on upstreams, and feeds their answers back.
package promotion
