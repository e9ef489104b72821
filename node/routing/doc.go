// Package routing holds one host's view of the upstreams: their addresses, the primary of each service, their positions, and
// which of them should run a statement. The view is updated with SetCatalog and SetDirectory. Statements run through the
// upstream's gateway, the host that holds nearly all connections to it (see package gateway).
package routing
