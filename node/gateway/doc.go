// Package gateway lets entry hosts use the connections that one of them keeps to an upstream for all: an upstream accepts few
// connections, each under the name of one team, so that they serve best in one place near it.
package gateway
