// Package group tracks what one observer knows about a database group: the positions of its members, the position that
// a majority holds under the current term, and whether the primary is confirmed under that term. The observer passes the
// control state to Group.Configure and the answers of upstreams to Group.Report, and reads the result with Group.Positions.
package group
