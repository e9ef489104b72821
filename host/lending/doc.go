// Package lending lends tokens of teams to hosts while this host is the control leader: its Lender is the part of the leader
// that owns the teams' rates and bursts.
package lending
