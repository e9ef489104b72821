// Package client calls the control leader for the operators' program. It finds the leader among the control hosts, and
// repeats calls whose response was lost.
package client
