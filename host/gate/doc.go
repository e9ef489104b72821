// Package gate enforces the limits of package budget on the callers of a process. A Limiter counts connections and the memory that they
// use, a Session is one connection with its deadlines, and Limiter.Server returns an HTTP server whose calls are limited.
package gate
