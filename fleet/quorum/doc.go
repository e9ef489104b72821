// Package quorum is the replicated log of the control hosts, a variant of Raft.
//
// A Node is deterministic: it takes inputs with a logical time and returns actions for its caller to perform. It keeps
// no socket, goroutine, clock or file.
//
// Members are identified by host and incarnation (ident.Host alone names the machine). A data folder gets its random
// incarnation when it is created, so a host that comes back with an empty folder is a new member: votes and
// acknowledgements of the lost one are never counted for it, and it joins as a learner.
//
// A log is founded once, by the first host (by name) of the initial control hosts, when all of them report that they
// have never taken part in one. A host whose data was removed therefore finds a log that exists and cannot found another.
package quorum
