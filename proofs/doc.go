// Command proofs is a mutation test of the invariants. In a copy of the repository it removes one mechanism at a time, and
// checks that the test that guards the mechanism's invariant then fails.
package main
