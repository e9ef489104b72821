// Package keeper runs the decisions of package session on a host: it serves the Keepers service for other hosts, and
// records and looks up positions with the holders of a session.
package keeper
