// Package lending lends tokens of teams to hosts while this host is the control leader. A Lender owns the teams' rates and
// bursts. It is a part of the controller, which passes it the leadership, the configuration and the requests of hosts.
package lending
