// Package retry decides what follows an attempt to run a statement that did not run: another upstream, a wait for the state to change, or
// a refusal. It answers the load that hosts put on each other when they repeat what an upstream can't serve.
package retry
