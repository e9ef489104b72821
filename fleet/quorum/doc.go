// Package quorum implements the replicated log of the control hosts, a variant of Raft.
//
// New creates a Node for one member. Node.Step takes inputs with a logical time and returns actions, which the caller
// performs in order. A Node is deterministic: it uses no socket, goroutine, clock or file.
//
// Members are identified by host and incarnation; ident.Host names the host alone. The incarnation is a random number that
// a data folder gets when it is created, unlike ident.Incarnation, which numbers the starts of a host. A host that returns
// with an empty folder is therefore a new member: it joins as a learner, and the votes and acknowledgements of its
// predecessor are never counted for it.
//
// The log is bootstrapped once, by the first of the initial control hosts in the order of their names, when all of them
// report that they have never been part of a log. A host whose data was removed gets the answer that a log exists, and does
// not bootstrap a second one.
package quorum
