// Package peer carries authenticated HTTP calls between the processes of the fleet.
package peer
