// Package core runs a core host: it keeps the replicated configuration, follows the announcements of upstreams, lends the
// tokens of teams and, on the leader, decides which upstream is the primary of each service.
package core
