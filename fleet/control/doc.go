// Package control holds the replicated control state, and the control leader's decisions about leases, keeper epochs,
// announcements and status. It acts on nothing itself: it answers messages and returns actions.
package control
