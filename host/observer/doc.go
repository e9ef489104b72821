// Package observer polls the upstreams of the database groups that this host observes. Observer.Observed returns what syncs
// report to the control leader, and Observer.Handler serves the positions of the groups' members to other hosts.
package observer
