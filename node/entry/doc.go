// Package entry serves callers. It keeps their sessions, decides for each request whether and on which upstream it runs, and
// reports a request as failed, not run or in doubt only if that is so. A Server serves the sessions of a listener.
package entry
