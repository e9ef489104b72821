// Package server implements the server side of the PostgreSQL protocol for one stand-in upstream, with replication and
// injected faults. New creates a Server for a ledger, and Serve accepts connections on a listener until Close. An Announcer
// announces the upstream to the fleet.
package server
