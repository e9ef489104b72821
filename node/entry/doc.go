// Package entry serves callers. It keeps their sessions and decides for each request whether and on which upstream it runs.
// The answer to an unsuccessful request states accurately whether it failed, did not run, or is in doubt because it may have
// run. A Server serves the sessions of a listener.
package entry
