// Package key generates, parses and hashes callers' keys, and checks the keys that callers present.
package key
