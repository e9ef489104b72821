// Package relay forwards TCP connections between the processes of a local fleet. Tests and measurements use its links to
// delay, freeze or cut the traffic between any two processes and to count its bytes.
package relay
