// Package routing holds one host's view of the upstreams: their addresses, the primary of each service, their positions, and
// which of them should run a statement. The view is updated with SetCatalog and SetDirectory.
package routing
