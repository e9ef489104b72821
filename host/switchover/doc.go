// Package switchover runs the failover decisions of all groups while this host is the control leader.
package switchover
