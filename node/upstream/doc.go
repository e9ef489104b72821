// Package upstream manages one host's connections to upstreams. Each connection is opened under the name of a team and shared
// by the sessions of that team; it is put into a session's state before that session uses it. Statements run through an
// Executor, which Pool.Executor returns.
package upstream
