package store

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// sumSize is the size of the checksum before each record's content, in bytes.
const sumSize = 8

// encode returns the record of a message under its key.
func encode(key []byte, message proto.Message) ([]byte, error) {
	record, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(make([]byte, sumSize), message)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint64(record, checksum(key, record[sumSize:]))
	return record, nil
}

// decode fills message from a record, or returns the reason why it is not what was written under the key.
func decode(key, record []byte, message proto.Message) (reason string) {
	if len(record) < sumSize {
		return "the record is too short for its checksum"
	}
	if binary.BigEndian.Uint64(record) != checksum(key, record[sumSize:]) {
		return "the checksum does not match"
	}
	if err := proto.Unmarshal(record[sumSize:], message); err != nil {
		return "the content is no valid message"
	}
	return ""
}

// checksum covers the key too, so that a record under another record's key is noticed.
func checksum(key, content []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, uint32(len(key))))
	_, _ = digest.Write(key)
	_, _ = digest.Write(content)
	return digest.Sum64()
}

// entryKey orders entries by index.
func entryKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}
