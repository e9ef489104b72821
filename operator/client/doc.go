// Package client calls the control leader on behalf of an operator: it finds the leader and repeats calls whose answer was
// lost.
package client
