// Command tamarack-node runs one process of the fleet on the users' platform: an entry host that serves callers, or a core
// host that keeps the configuration and decides on primaries.
package main
