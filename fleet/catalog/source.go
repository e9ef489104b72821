package catalog

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxSource is the maximum size of an operator's text in bytes after unpacking; the platform accepts texts of up to a
// quarter of a megabyte.
const maxSource = 32 << 20

// SourceError reports a packed text that cannot be unpacked.
type SourceError struct{ Cause error }

// Error returns the cause.
func (e *SourceError) Error() string {
	return fmt.Sprintf("the packed configuration cannot be read: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Cause }

// Pack compresses an operator's text, since every host receives the whole text again with each change.
func Pack(source []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(source); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// Unpack returns the text that Pack compressed, byte for byte, or a SourceError.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	source, err := io.ReadAll(io.LimitReader(r, maxSource+1))
	if err == nil && len(source) > maxSource {
		err = fmt.Errorf("it is longer than %d bytes", maxSource)
	}
	if err != nil {
		return nil, &SourceError{err}
	}
	return source, nil
}
