// Package allotment divides the connections of all upstreams among hosts while this host is the control leader.
package allotment
