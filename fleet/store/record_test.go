package store

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
)

// FuzzRecord guards against stored bytes that crash the decoder, and against changed records that it accepts.
func FuzzRecord(f *testing.F) {
	for _, message := range []proto.Message{
		&fleetpb.Identity{Host: "a", Incarnation: 1, Format: format},
		&fleetpb.HardState{Term: 1, Vote: "a/1", Fleet: 1},
		&fleetpb.Extent{First: 1, Last: 3, Term: 1},
		&fleetpb.Snapshot{Index: 1, Term: 1, State: []byte("state")},
		&fleetpb.Entry{Index: 1, Term: 1},
	} {
		record, err := encode([]byte("key"), message)
		require.NoError(f, err)
		f.Add([]byte("key"), record)
	}
	f.Fuzz(func(t *testing.T, key, record []byte) {
		for _, message := range []proto.Message{
			&fleetpb.Identity{}, &fleetpb.HardState{}, &fleetpb.Extent{}, &fleetpb.Snapshot{}, &fleetpb.Entry{},
		} {
			if reason := decode(key, record, message); reason != "" {
				continue
			}
			require.NotEmpty(t, decode(append(key, 0), record, message))
			record[len(record)-1]++
			require.NotEmpty(t, decode(key, record, message))
			record[len(record)-1]--
		}
	})
}

// FuzzVerify guards against file contents that crash verify, which is to protect bbolt from damaged files.
func FuzzVerify(f *testing.F) {
	f.Add([]byte{})
	f.Add(make([]byte, 8192))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_ = verify("file", content)
	})
}
