// Package keeper connects package session to the network: a Node serves the Keepers service for other hosts, and records and
// looks up the positions of sessions with their holders.
//
// The terms are those of package session. A keeper is a host that stores session positions, and an epoch numbers a set of
// keepers. The holders of a session are the keepers that store its position, one in each availability zone. A floor is the
// position that a keeper assumes for the sessions of a service without a record; it is read from the primary for each epoch.
package keeper
