// Package replica runs one member of the replicated control log. It steps a quorum.Node with the real clock, keeps the
// node's state in a store, exchanges messages with the other members over twirp, and applies committed changes to a
// Machine. New starts a member and Replica.Propose appends a change.
package replica
