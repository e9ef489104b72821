// Package group keeps what one observer knows of a database group: the positions of its members, the position that a
// majority holds under the current term, and whether the primary is confirmed under that term.
package group
