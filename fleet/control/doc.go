// Package control implements the replicated control state (Machine) and the control leader's decisions about leases,
// keeper epochs, announcements and status (Leader). It does no I/O: its methods take messages and the time, and
// return answers and the actions that the process has to execute.
//
// The text is the configuration that operators apply. A keeper is a host that stores positions of sessions, and epochs
// number the successive sets of keepers; see package session.
package control
