// Package tracker follows the positions of the groups that this host's callers use, as observers report them.
package tracker
