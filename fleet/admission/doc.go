// Package admission decides which statements an upstream runs next, which are refused and when their callers may come back. Under
// overload, the most urgent statements go first, the teams of one priority share what is left, and a statement whose deadline can't be
// met is refused as soon as that is known. It has no clock and starts no goroutine.
package admission
