// Package key makes callers' keys, hashes them, and checks the keys that callers present.
package key
