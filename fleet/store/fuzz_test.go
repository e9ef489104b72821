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

// header returns the transaction id and the number of allocated pages from a bbolt header page.
func header(page []byte) (txn, end uint64) {
	return binary.NativeEndian.Uint64(page[64:]), binary.NativeEndian.Uint64(page[56:])
}

// usedPages returns the number of allocated pages according to the newer header.
func usedPages(content []byte) uint64 {
	txn, end := header(content)
	if newer, newerEnd := header(content[os.Getpagesize():]); newer > txn {
		return newerEnd
	}
	return end
}

// fixChecksums makes the checksums of both headers valid, so that fuzzing reaches the checks after them.
func fixChecksums(content []byte) {
	for _, page := range [][]byte{content, content[os.Getpagesize():]} {
		sum := fnv.New64a()
		_, _ = sum.Write(page[16:72])
		binary.NativeEndian.PutUint64(page[72:], sum.Sum64())
	}
}

// FuzzOpen guards against a log file whose damaged pages crash or hang the process when it is opened or saved to later.
// The input is a list of changes to a valid file, each with an offset of three bytes and a value of one byte that is
// combined by XOR.
func FuzzOpen(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0, 0, 40, 1})
	f.Add([]byte{0, 0x20, 10, 0xFF, 0, 0x20, 11, 0xFF})
	f.Add([]byte{0, 0x30, 8, 2, 0, 0x40, 28, 0x80})
	f.Fuzz(func(t *testing.T, changes []byte) {
		folder, _ := filledFolder(t)
		path := filepath.Join(folder, "log.db")
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		for ; len(changes) >= 4; changes = changes[4:] {
			at := int(changes[0])<<16 | int(changes[1])<<8 | int(changes[2])
			content[at%len(content)] ^= changes[3]
		}
		fixChecksums(content)
		require.NoError(t, os.WriteFile(path, content, 0o600))
		s, _, err := open(folder)
		if err == nil {
			// A file that was opened without an error must accept writes too.
			require.NoError(t, s.Save(quorum.Persist{Entries: entries(61, 80, 3)}))
			require.NoError(t, s.Close())
		}
	})
}
