// Package entry serves callers: it checks their keys, runs their statements on upstreams and answers them.
//
// One goroutine serves one caller. Statements run in batches: a simple query, or the extended messages up to a Sync. A
// connection to an upstream is held for one transaction only.
package entry
