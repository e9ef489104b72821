// Package observer polls the upstreams of the groups that this host observes, and answers other hosts' questions about
// the positions of their members.
package observer
