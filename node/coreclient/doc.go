// Package coreclient keeps an entry host connected to the core. It finds the leader through the seeds, keeps the host's
// configuration and directory up to date, and reports the primaries that answered the host. Callers create a Client with New
// and keep Run running.
package coreclient
