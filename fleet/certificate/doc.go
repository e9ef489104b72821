// Package certificate holds the TLS certificates of a process and reads their files again when they are renewed.
package certificate
