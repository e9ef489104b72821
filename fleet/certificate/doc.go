// Package certificate loads the TLS certificates of a process, reloads them after a renewal, and makes TLS configurations
// for servers and clients from them.
package certificate
