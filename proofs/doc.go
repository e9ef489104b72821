// Command proofs removes one mechanism at a time in a copy of the repository and checks that the test that guards its
// invariant then fails.
package main
