// Package routing chooses the upstream for each statement, based on the positions, availability zones and failures that this
// host knows. Routing.Read chooses for reads and Routing.Primary for writes; both wait for a usable upstream, at most until the
// deadline.
package routing
