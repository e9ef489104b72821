package ledger

import (
	"encoding/binary"
	"hash/crc32"
	"os"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
)

const (
	// frameHeader is the size in bytes of a frame's header: the length of the entry, a checksum of the length and a checksum
	// of the entry, four bytes each. Without a checksum of its own, a damaged length would look like an incomplete last entry.
	frameHeader = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports that a record file is damaged before its last entry.
type CorruptError struct {
	Path   string
	Offset int
	Reason string
}

// Error returns a message with the file's path, the offset in bytes and the reason.
func (e *CorruptError) Error() string {
	return trace.BadParameter("record file %s is damaged at byte %d: %s", e.Path, e.Offset, e.Reason).Error()
}

// File is an open record file. Each frame holds the length of a FileEntry, the CRC-32C checksums of that length and of the
// entry, and the entry.
type File struct {
	file *os.File
}

// OpenFile opens a record file, or creates it, and returns its entries. It truncates an incomplete last frame, whose commit
// was never answered.
func OpenFile(path string) (*File, []*fleetpb.FileEntry, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, trace.NewAggregate(trace.ConvertSystemError(err), f.Close())
	}
	entries, validLength, err := Decode(path, data)
	if err == nil {
		err = trace.ConvertSystemError(f.Truncate(int64(validLength)))
	}
	if err == nil {
		_, err = f.Seek(int64(validLength), 0)
	}
	if err != nil {
		return nil, nil, trace.NewAggregate(err, f.Close())
	}
	return &File{f}, entries, nil
}

// Decode returns the entries of a record file and the length in bytes of its undamaged part.
func Decode(path string, data []byte) ([]*fleetpb.FileEntry, int, error) {
	var entries []*fleetpb.FileEntry
	offset := 0
	for len(data)-offset >= frameHeader {
		length := data[offset : offset+4]
		if crc32.Checksum(length, castagnoli) != binary.BigEndian.Uint32(data[offset+4:]) {
			return nil, 0, trace.Wrap(&CorruptError{path, offset, "the checksum of the length differs"})
		}
		end := offset + frameHeader + int(binary.BigEndian.Uint32(length))
		if end > len(data) {
			return entries, offset, nil
		}
		payload := data[offset+frameHeader : end]
		if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(data[offset+8:]) {
			if end == len(data) {
				return entries, offset, nil
			}
			return nil, 0, trace.Wrap(&CorruptError{path, offset, "the checksum differs"})
		}
		var e fleetpb.FileEntry
		if err := proto.Unmarshal(payload, &e); err != nil {
			return nil, 0, trace.Wrap(&CorruptError{path, offset, err.Error()})
		}
		entries = append(entries, &e)
		offset = end
	}
	return entries, offset, nil
}

// Append writes entries and returns once they are durable.
func (f *File) Append(entries ...*fleetpb.FileEntry) error {
	var data []byte
	for _, e := range entries {
		payload, err := proto.Marshal(e)
		if err != nil {
			return trace.Wrap(err)
		}
		length := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
		data = append(data, length...)
		data = binary.BigEndian.AppendUint32(data, crc32.Checksum(length, castagnoli))
		data = binary.BigEndian.AppendUint32(data, crc32.Checksum(payload, castagnoli))
		data = append(data, payload...)
	}
	if _, err := f.file.Write(data); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(f.file.Sync())
}

// Close closes the file.
func (f *File) Close() error {
	return trace.ConvertSystemError(f.file.Close())
}
