// Package acknowledge waits until a write may be acknowledged: Acknowledger.Acknowledge returns once the write is replicated
// to a majority and its position is recorded with the session's holders, which are the hosts that later reads ask for it.
package acknowledge
