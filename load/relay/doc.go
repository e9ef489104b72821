// Package relay forwards TCP connections between the processes of a local fleet, so that tests and measurements can
// delay, freeze or cut the traffic between any two of them and count its bytes.
package relay
