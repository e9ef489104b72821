// Package switchover runs the failover decisions for all database groups while this host is the control leader. It is a part of
// the controller, which passes it the leadership, the control state, observations and announcements.
package switchover
