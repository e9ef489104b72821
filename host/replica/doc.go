// Package replica runs one member of the control log in a process: it drives a quorum.Node with the real clock, keeps its
// state in a store, passes messages to the other members over twirp and applies committed changes to a machine.
package replica
