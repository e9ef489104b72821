// Command tamarack-node runs one process of the fleet on the users' platform: an entry host, which serves callers, or a core
// host, which replicates the configuration and decides which upstreams are primaries.
package main
