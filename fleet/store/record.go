package store

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// checksumSize is the size in bytes of the checksum that precedes each record's content.
const checksumSize = 8

// encode returns the record for a message that is stored under key.
func encode(key []byte, message proto.Message) ([]byte, error) {
	record, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(make([]byte, checksumSize), message)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint64(record, checksum(key, record[checksumSize:]))
	return record, nil
}

// decode reads message from the record stored under key, or returns the reason why the record is corrupt.
func decode(key, record []byte, message proto.Message) (reason string) {
	if len(record) < checksumSize {
		return "the record is too short for its checksum"
	}
	if binary.BigEndian.Uint64(record) != checksum(key, record[checksumSize:]) {
		return "the checksum does not match"
	}
	if err := proto.Unmarshal(record[checksumSize:], message); err != nil {
		return "the content is not a valid message"
	}
	return ""
}

// checksum covers the key too, to detect a record that is stored under another key.
func checksum(key, content []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, uint32(len(key))))
	_, _ = digest.Write(key)
	_, _ = digest.Write(content)
	return digest.Sum64()
}

// entryKey returns the key of an entry; the keys sort by index.
func entryKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}
