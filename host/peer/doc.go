// Package peer makes and authenticates HTTP calls between the processes of the fleet, with TLS if there are certificates. A
// Network provides clients and listeners, and Guard protects handlers.
package peer
