// Package keeper connects package session to the network: a Node serves the Keepers service for other hosts, and records and
// looks up the positions of sessions with their holders.
package keeper
