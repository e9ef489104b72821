// Package history records the requests of a fleet's clients and their results, and checks them for lost, duplicated,
// phantom and partly written records and for stale reads. Clients add events to a Log; Check returns the violations.
package history
