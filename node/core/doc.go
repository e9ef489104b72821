// Package core runs a core host. A core host replicates the configuration and records the announcements of upstreams. The
// leader also lends the tokens of teams and decides which upstream is the primary of each service. Callers create a Core with
// New, serve its Handler to other hosts and keep Run running.
package core
