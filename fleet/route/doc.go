// Package route classifies statements and chooses the upstream that runs each one.
//
// Classification reads keywords only. Whatever it does not know goes to the primary; a statement that looks like a read
// but writes is refused by a replica with 25006, and the caller of this package then sends it to the primary.
package route
