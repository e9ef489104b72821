// Package member keeps this host's copy of the control state, which is valid only while its lease lasts.
package member
