// Package retry decides what follows an attempt to run a statement that did not run: another upstream, a wait for the state to change, or
// a refusal. It bounds the retries of a host, so that retries don't add to an overload.
package retry
