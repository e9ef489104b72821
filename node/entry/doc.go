// Package entry serves callers: it keeps their sessions, decides for each request whether and where it runs, and answers with
// an outcome that is true.
package entry
