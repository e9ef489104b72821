// Package link keeps an entry host in touch with the core: it finds the leader from the seeds, follows the configuration and
// the directory, and reports what the host sees of primaries.
package link
