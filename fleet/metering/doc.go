// Package metering decides what usage reports contain and when they are sent: how many operations of each team began to run in each window of true time. An entry
// host counts with a Meter and cuts windows by a HostClock. The core leader estimates the true time with a FleetClock, merges the
// hosts' counts and closes windows with a Ledger, and decides with a Reporter which call to the platform is next.
package metering
