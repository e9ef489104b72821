// Package upstream pools this host's connections to upstreams. Pool.Acquire returns a Conn for one transaction, and
// Pool.Release takes it back. A Conn records its prepared statements, session settings and transaction status.
package upstream
