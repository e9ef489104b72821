package store_test

import (
	"encoding/binary"
	"hash/fnv"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/quorum"
)

// header returns the transaction number and the end of the used pages of a bbolt header page.
func header(page []byte) (txn, end uint64) {
	return binary.NativeEndian.Uint64(page[64:]), binary.NativeEndian.Uint64(page[56:])
}

func usedPages(content []byte) uint64 {
	txn, end := header(content)
	if newer, newerEnd := header(content[os.Getpagesize():]); newer > txn {
		return newerEnd
	}
	return end
}

// reseal makes the checksums of both headers valid, so that fuzzing reaches what lies behind them.
func reseal(content []byte) {
	for _, page := range [][]byte{content, content[os.Getpagesize():]} {
		sum := fnv.New64a()
		_, _ = sum.Write(page[16:72])
		binary.NativeEndian.PutUint64(page[72:], sum.Sum64())
	}
}

// FuzzOpen guards against a log file that crashes the process or hangs it at opening or at a later save, whatever its
// pages hold. The input is a list
// of changes to a valid file: an offset of three bytes and a value.
func FuzzOpen(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0, 0, 40, 1})
	f.Add([]byte{0, 0x20, 10, 0xFF, 0, 0x20, 11, 0xFF})
	f.Add([]byte{0, 0x30, 8, 2, 0, 0x40, 28, 0x80})
	f.Fuzz(func(t *testing.T, changes []byte) {
		folder, _ := filled(t)
		path := filepath.Join(folder, "log.db")
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		for ; len(changes) >= 4; changes = changes[4:] {
			at := int(changes[0])<<16 | int(changes[1])<<8 | int(changes[2])
			content[at%len(content)] ^= changes[3]
		}
		reseal(content)
		require.NoError(t, os.WriteFile(path, content, 0o600))
		s, _, err := open(folder)
		if err == nil {
			// What was not found damaged must also bear writing.
			require.NoError(t, s.Save(quorum.Persist{Entries: entries(61, 80, 3)}))
			require.NoError(t, s.Close())
		}
	})
}
