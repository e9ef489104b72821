// Package member syncs a host with the control leader and keeps its copy of the control state, which is valid only while the
// host's lease lasts. Callers read the copy with Member.View.
package member
