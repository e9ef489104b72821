// Package tracker follows the positions of the database groups that this host's callers use. A Tracker polls the observers of a
// group from the first call for its service until the service has not been used for some time.
package tracker
