package store_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/quorum"
	"tamarackshunt.dev/fleet/store"
)

func open(folder string) (*store.Store, *store.State, error) {
	return store.Open(store.Options{Folder: folder, Host: "a", Incarnation: 7})
}

func entry(index, term uint64) *fleetpb.Entry {
	return &fleetpb.Entry{Index: index, Term: term, Change: &fleetpb.Change{Kind: &fleetpb.Change_Apply{
		Apply: &fleetpb.ApplyText{Id: fmt.Sprint(index, "/", term), Source: make([]byte, 300)},
	}}}
}

func entries(first, last, term uint64) []*fleetpb.Entry {
	var all []*fleetpb.Entry
	for index := first; index <= last; index++ {
		all = append(all, entry(index, term))
	}
	return all
}

// filledFolder returns a folder with a snapshot at index 20 and entries 10 to 60, and the state in it.
func filledFolder(t *testing.T) (string, *store.State) {
	t.Helper()
	folder := t.TempDir()
	s, _, err := open(folder)
	require.NoError(t, err)
	require.NoError(t, s.Save(
		quorum.Persist{HardState: &fleetpb.HardState{Term: 2, Vote: "b/1", Fleet: 9}, Entries: entries(1, 70, 2)},
		quorum.Persist{Entries: entries(50, 55, 3), HardState: &fleetpb.HardState{Term: 3, Vote: "c/1", Fleet: 9}},
	))
	require.NoError(t, s.Save(quorum.Persist{Entries: entries(56, 60, 3)}))
	require.NoError(t, s.Save(quorum.Persist{Snapshot: &fleetpb.Snapshot{Index: 20, Term: 2, State: []byte("state")}, DeleteBelow: 10}))
	require.NoError(t, s.Close())
	s, state, err := open(folder)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	return folder, state
}

func requireEqual(t *testing.T, want, got *store.State, context string) {
	t.Helper()
	require.Equal(t, want.Member, got.Member, context)
	require.True(t, proto.Equal(want.HardState, got.HardState), context)
	require.True(t, proto.Equal(want.Snapshot, got.Snapshot), context)
	require.Len(t, got.Entries, len(want.Entries), context)
	for i := range want.Entries {
		require.True(t, proto.Equal(want.Entries[i], got.Entries[i]), context)
	}
}

// Guards against a restart that reads a state other than the saved one, with entries that were replaced, compacted or
// reset before.
func TestReopenReturnsWhatWasSaved(t *testing.T) {
	folder, state := filledFolder(t)
	requireEqual(t, &store.State{
		Member:    quorum.MemberID("a", 7),
		HardState: &fleetpb.HardState{Term: 3, Vote: "c/1", Fleet: 9},
		Snapshot:  &fleetpb.Snapshot{Index: 20, Term: 2, State: []byte("state")},
		Entries:   append(entries(10, 49, 2), entries(50, 60, 3)...),
	}, state, "filled")

	s, _, err := open(folder)
	require.NoError(t, err)
	reset := &fleetpb.Snapshot{Index: 100, Term: 4, State: []byte("later")}
	require.NoError(t, s.Save(quorum.Persist{Snapshot: reset, Reset: true}, quorum.Persist{Entries: entries(101, 102, 4)}))
	require.NoError(t, s.Close())
	s, got, err := open(folder)
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	require.False(t, got.Created)
	requireEqual(t, &store.State{Member: state.Member, HardState: state.HardState, Snapshot: reset, Entries: entries(101, 102, 4)}, got, "reset")

	_, _, err = open(folder)
	require.ErrorAs(t, err, new(*store.LockedError))
	require.NoError(t, os.RemoveAll(folder))
	again, fresh, err := store.Open(store.Options{Folder: folder, Host: "a", Incarnation: 8})
	require.NoError(t, err)
	t.Cleanup(func() { _ = again.Close() })
	require.True(t, fresh.Created)
	require.NotEqual(t, state.Member, fresh.Member)
}

// editLog edits the log in place with valid bbolt transactions.
func editLog(t *testing.T, folder string, edit func(meta, entries *bolt.Bucket) error) {
	t.Helper()
	db, err := bolt.Open(filepath.Join(folder, "log.db"), 0o600, nil)
	require.NoError(t, err)
	require.NoError(t, db.Update(func(tx *bolt.Tx) error {
		return edit(tx.Bucket([]byte("meta")), tx.Bucket([]byte("entries")))
	}))
	require.NoError(t, db.Close())
}

// entryKey returns the key of an entry.
func entryKey(index byte) []byte {
	return []byte{0, 0, 0, 0, 0, 0, 0, index}
}

// Guards against a damaged folder that is read as a shorter or different log, or whose error does not state the damage.
func TestDamageIsReported(t *testing.T) {
	remove := func(name string) func(*testing.T, string) {
		return func(t *testing.T, folder string) { require.NoError(t, os.Remove(filepath.Join(folder, name))) }
	}
	edit := func(do func(meta, entries *bolt.Bucket) error) func(*testing.T, string) {
		return func(t *testing.T, folder string) { editLog(t, folder, do) }
	}
	missing, corrupt := new(*store.MissingError), new(*store.CorruptError)
	tests := []struct {
		name   string
		damage func(*testing.T, string)
		// kind is the type of the error, or nil if the damage loses no data.
		kind any
		text string
	}{
		{"log removed", remove("log.db"), missing, "log.db is missing"},
		{"identity removed", remove("member"), nil, ""},
		{"identity of another folder", func(t *testing.T, folder string) {
			other := t.TempDir()
			s, _, err := store.Open(store.Options{Folder: other, Host: "a", Incarnation: 8})
			require.NoError(t, err)
			require.NoError(t, s.Close())
			require.NoError(t, os.Rename(filepath.Join(other, "member"), filepath.Join(folder, "member")))
		}, corrupt, "differs from that of the log"},
		{"identity emptied", func(t *testing.T, folder string) {
			require.NoError(t, os.Truncate(filepath.Join(folder, "member"), 0))
		}, corrupt, "the identity is corrupt"},
		{"last entry removed", edit(func(_, e *bolt.Bucket) error { return e.Delete(entryKey(60)) }), missing, "entry 60 is missing"},
		{"first entry removed", edit(func(_, e *bolt.Bucket) error { return e.Delete(entryKey(10)) }), missing, "entry 10 is missing"},
		{"inner entry removed", edit(func(_, e *bolt.Bucket) error { return e.Delete(entryKey(30)) }), missing, "entry 30 is missing"},
		{"entry added", edit(func(_, e *bolt.Bucket) error { return e.Put(entryKey(61), e.Get(entryKey(60))) }), corrupt, "entry 61 is corrupt"},
		{"entry under another key", edit(func(_, e *bolt.Bucket) error { return e.Put(entryKey(30), e.Get(entryKey(31))) }), corrupt, "checksum"},
		{"entry shortened", edit(func(_, e *bolt.Bucket) error { return e.Put(entryKey(60), e.Get(entryKey(60))[:100]) }), corrupt, "entry 60 is corrupt"},
		{"hard state removed", edit(func(m, _ *bolt.Bucket) error { return m.Delete([]byte("hard")) }), missing, "hard is missing"},
		{"hard state emptied", edit(func(m, _ *bolt.Bucket) error { return m.Put([]byte("hard"), nil) }), corrupt, "hard is corrupt"},
		{"extent removed", edit(func(m, _ *bolt.Bucket) error { return m.Delete([]byte("extent")) }), missing, "extent is missing"},
		{"snapshot removed", edit(func(m, _ *bolt.Bucket) error { return m.Delete([]byte("snapshot")) }), missing, "snapshot is missing"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			folder, want := filledFolder(t)
			tt.damage(t, folder)
			s, got, err := open(folder)
			if tt.kind == nil {
				require.NoError(t, err)
				t.Cleanup(func() { _ = s.Close() })
				requireEqual(t, want, got, tt.name)
				return
			}
			require.ErrorAs(t, err, tt.kind)
			require.ErrorContains(t, err, tt.text)
		})
	}
	folder, _ := filledFolder(t)
	_, _, err := store.Open(store.Options{Folder: folder, Host: "b"})
	require.ErrorAs(t, err, new(*store.OwnerError))
}

// Guards against a truncated log, or one with a changed byte, that is read as another state or crashes the process.
func TestDamagedFileNeverLoadsOtherState(t *testing.T) {
	folder, want := filledFolder(t)
	path := filepath.Join(folder, "log.db")
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	check := func(damaged []byte, context string) error {
		require.NoError(t, os.WriteFile(path, damaged, 0o600))
		s, got, err := open(folder)
		if err == nil {
			requireEqual(t, want, got, context)
			require.NoError(t, s.Close())
		}
		return err
	}
	used := int(usedPages(content)) * os.Getpagesize()
	for size := 0; size < used; size += 512 {
		err := check(content[:size], fmt.Sprint("size ", size))
		require.ErrorAs(t, err, new(*store.TruncatedError), "size %d", size)
	}
	found := 0
	for at := 0; at < used; at += 11 {
		damaged := append([]byte(nil), content...)
		damaged[at] ^= 1 << (at % 8)
		err := check(damaged, fmt.Sprint("byte ", at))
		if err == nil {
			continue
		}
		found++
		var c *store.CorruptError
		var m *store.MissingError
		var u *store.TruncatedError
		require.True(t, errors.As(err, &c) || errors.As(err, &m) || errors.As(err, &u), "byte %d: %v", at, err)
	}
	require.Greater(t, found, 1000, "too few of the changed bytes were in use")
}

// Guards against a loss of power during a save that makes the folder unusable: the host would rejoin as an empty one, and with two
// other lost disks the log has no majority.
func TestInterruptedSaveKeepsTheFolder(t *testing.T) {
	folder, before := filledFolder(t)
	path := filepath.Join(folder, "log.db")
	// The headers are written in turn.
	for round := range 2 {
		old, err := os.ReadFile(path)
		require.NoError(t, err)
		s, _, err := open(folder)
		require.NoError(t, err)
		require.NoError(t, s.Save(quorum.Persist{Entries: entries(61+uint64(round), 61+uint64(round), 3)}))
		require.NoError(t, s.Close())
		written, err := os.ReadFile(path)
		require.NoError(t, err)
		s, after, err := open(folder)
		require.NoError(t, err)
		require.NoError(t, s.Close())
		page := os.Getpagesize()
		at := 0
		first, _ := header(written)
		if second, _ := header(written[page:]); second > first {
			at = page
		}
		for size := 0; size <= 96; size++ {
			torn := append([]byte(nil), written...)
			copy(torn[at+size:at+page], old[at+size:at+page])
			require.NoError(t, os.WriteFile(path, torn, 0o600))
			s, got, err := open(folder)
			require.NoError(t, err, "round %d, %d bytes of the header are written", round, size)
			want := before
			if len(got.Entries) == len(after.Entries) {
				want = after
			}
			requireEqual(t, want, got, fmt.Sprint("round ", round, ", size ", size))
			require.NoError(t, s.Close())
		}
		require.NoError(t, os.WriteFile(path, written, 0o600))
		before = after
	}
}
