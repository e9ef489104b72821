// Package routing chooses upstreams for statements from what this host knows of positions, zones and failures.
package routing
