// Package gateway lets entry hosts share the connections to an upstream. An upstream accepts few connections, each under the
// name of one team, so one host near the upstream holds them for all hosts. The Server on that host runs the statements that
// the Clients on other hosts send.
package gateway
