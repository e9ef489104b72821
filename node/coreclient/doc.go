// Package coreclient keeps an entry host connected to the core: it finds the leader from the seeds, follows the configuration
// and the directory, and reports what the host sees of primaries.
package coreclient
