// Package entry serves callers: it checks their keys, runs their statements on upstreams and answers them.
//
// New listens for callers and Server.Start serves them, one goroutine per caller. Statements run in batches: a simple query,
// or the messages of the extended protocol up to a Sync. A caller uses an upstream connection for one transaction only.
package entry
