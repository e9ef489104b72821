package store

import "fmt"

// CorruptError reports a part of the data folder whose content differs from what was written.
type CorruptError struct {
	Path   string
	Part   string
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: %s is corrupt: %s; empty the data folder to rejoin as a new member", e.Path, e.Part, e.Reason)
}

// TruncatedError reports a file that is too short for its content.
type TruncatedError struct {
	Path string
	// Size is the size of the file and Want the minimum size for its content, in bytes.
	Size int64
	Want int64
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("%s is truncated: %d bytes of at least %d; empty the data folder to rejoin as a new member",
		e.Path, e.Size, e.Want)
}

// MissingError reports a part of the data folder that was written before and no longer exists.
type MissingError struct {
	Path string
	Part string
}

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("%s: %s is missing; empty the data folder to rejoin as a new member", e.Path, e.Part)
}

// OwnerError reports a data folder that belongs to another host.
type OwnerError struct {
	Path  string
	Owner string
	Host  string
}

// Error implements error.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("%s holds the state of host %q, not of %q", e.Path, e.Owner, e.Host)
}

// FormatError reports a data folder in a format that this program does not support.
type FormatError struct {
	Path   string
	Format uint32
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s has format %d, this program reads format %d", e.Path, e.Format, format)
}

// LockedError reports a data folder that is in use by another process.
type LockedError struct{ Path string }

// Error implements error.
func (e *LockedError) Error() string {
	return fmt.Sprintf("%s is in use by another process", e.Path)
}
