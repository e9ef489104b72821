package store

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/quorum"
)

const (
	// format is the version of the folder's layout.
	format = 1
	// logName is the bbolt file. memberName is a file with a copy of its identity, to detect that the log was removed.
	logName    = "log.db"
	memberName = "member"
	// incompleteSuffix is the suffix of files that are not yet complete.
	incompleteSuffix = ".new"
	// lockTimeout is how long Open waits for the lock, which a previous process may hold while it shuts down.
	lockTimeout = time.Second
)

var (
	metaBucket  = []byte("meta")
	entryBucket = []byte("entries")

	identityKey  = []byte("identity")
	hardStateKey = []byte("hard")
	extentKey    = []byte("extent")
	snapshotKey  = []byte("snapshot")
)

// Options identify a data folder and the host that owns it.
type Options struct {
	Folder string
	Host   ident.Host
	// Incarnation identifies the folder if Open creates it; it must be random.
	Incarnation uint64
}

// State is the state stored in a data folder.
type State struct {
	// Member is the member id of the folder.
	Member string
	// Created is set if Open created the log in an empty folder.
	Created   bool
	HardState *fleetpb.HardState
	Snapshot  *fleetpb.Snapshot
	Entries   []*fleetpb.Entry
}

// Store stores the state of a member in an open data folder. Save must not be called concurrently.
type Store struct {
	path   string
	db     *bolt.DB
	extent *fleetpb.Extent
}

// Open opens a data folder, or initializes it if it is empty. It returns a CorruptError, TruncatedError, MissingError,
// OwnerError, FormatError or LockedError for a folder that cannot be used.
func Open(options Options) (*Store, *State, error) {
	path := filepath.Join(options.Folder, logName)
	created, err := prepare(options, path)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	db, err := openFile(path)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	s := &Store{path: path, db: db}
	state, err := s.load(options)
	if err != nil {
		_ = db.Close()
		return nil, nil, trace.Wrap(err)
	}
	state.Created = created
	return s, state, nil
}

// Close closes the log file and releases its lock.
func (s *Store) Close() error {
	return trace.Wrap(s.db.Close())
}

// Save stores the writes in one transaction and returns once they are synced to disk.
func (s *Store) Save(writes ...quorum.Persist) error {
	extent := proto.CloneOf(s.extent)
	err := s.db.Update(func(tx *bolt.Tx) error {
		for _, write := range writes {
			if err := save(tx, extent, write); err != nil {
				return trace.Wrap(err)
			}
		}
		return put(tx.Bucket(metaBucket), extentKey, extent)
	})
	if err != nil {
		return trace.Wrap(err)
	}
	s.extent = extent
	return nil
}

func save(tx *bolt.Tx, extent *fleetpb.Extent, write quorum.Persist) error {
	meta, entries := tx.Bucket(metaBucket), tx.Bucket(entryBucket)
	if write.HardState != nil {
		if err := put(meta, hardStateKey, write.HardState); err != nil {
			return trace.Wrap(err)
		}
	}
	if write.Snapshot != nil {
		if err := put(meta, snapshotKey, write.Snapshot); err != nil {
			return trace.Wrap(err)
		}
		extent.Snapshot = write.Snapshot.GetIndex()
	}
	if write.Reset {
		if err := deleteEntries(entries, extent.GetFirst(), extent.GetLast()); err != nil {
			return trace.Wrap(err)
		}
		extent.First, extent.Last, extent.Term = extent.GetSnapshot()+1, extent.GetSnapshot(), 0
	}
	if err := saveEntries(entries, extent, write.Entries); err != nil {
		return trace.Wrap(err)
	}
	if write.DeleteBelow > extent.GetFirst() {
		if err := deleteEntries(entries, extent.GetFirst(), min(write.DeleteBelow-1, extent.GetLast())); err != nil {
			return trace.Wrap(err)
		}
		extent.First = min(write.DeleteBelow, extent.GetLast()+1)
	}
	return nil
}

// saveEntries stores entries in place of all stored ones from the index of the first given entry on.
func saveEntries(bucket *bolt.Bucket, extent *fleetpb.Extent, entries []*fleetpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(bucket, entries[0].GetIndex(), extent.GetLast()); err != nil {
		return trace.Wrap(err)
	}
	for _, entry := range entries {
		if err := put(bucket, entryKey(entry.GetIndex()), entry); err != nil {
			return trace.Wrap(err)
		}
	}
	last := entries[len(entries)-1]
	extent.Last, extent.Term = last.GetIndex(), last.GetTerm()
	return nil
}

func deleteEntries(bucket *bolt.Bucket, first, last uint64) error {
	for index := first; index <= last; index++ {
		if err := bucket.Delete(entryKey(index)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func put(bucket *bolt.Bucket, key []byte, message proto.Message) error {
	record, err := encode(key, message)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(bucket.Put(key, record))
}

func exists(path string) (bool, error) {
	_, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	return err == nil, trace.ConvertSystemError(err)
}
