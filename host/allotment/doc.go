// Package allotment divides the connections of all upstreams among hosts while this host is the control leader. An Allotment
// is a part of the controller, which passes it the leadership, the configuration and the syncs of hosts.
package allotment
