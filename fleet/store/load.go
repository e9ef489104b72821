package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/quorum"
)

// openFile opens the bbolt file after verifying its pages under the file's lock.
func openFile(path string) (*bolt.DB, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, OpenFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
		file, err := os.OpenFile(name, flag, mode)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		if err := lockAndVerify(file, path); err != nil {
			_ = file.Close()
			return nil, trace.Wrap(err)
		}
		return file, nil
	}})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return nil, trace.Wrap(&LockedError{path})
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch):
		return nil, trace.Wrap(&CorruptError{Path: path, Part: "the file header", Reason: err.Error()})
	}
	return db, trace.Wrap(err)
}

// lockAndVerify locks the file and verifies its pages. bbolt takes the same lock again on the same descriptor.
func lockAndVerify(file *os.File, path string) error {
	for deadline := time.Now().Add(lockTimeout); ; {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			break
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return trace.ConvertSystemError(err)
		}
		if time.Now().After(deadline) {
			return trace.Wrap(&LockedError{path})
		}
		time.Sleep(lockTimeout / 20)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.Wrap(verify(path, content))
}

// load reads and checks all records.
func (s *Store) load(options Options) (*State, error) {
	state := &State{HardState: &fleetpb.HardState{}}
	identity := &fleetpb.Identity{}
	s.extent = &fleetpb.Extent{}
	err := s.db.View(func(tx *bolt.Tx) error {
		meta, entries := tx.Bucket(metaBucket), tx.Bucket(entryBucket)
		if meta == nil || entries == nil {
			return trace.Wrap(&MissingError{Path: s.path, Part: "a bucket"})
		}
		if err := s.loadMeta(meta, identity, state); err != nil {
			return trace.Wrap(err)
		}
		return s.loadEntries(entries, state)
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if identity.GetFormat() != format {
		return nil, trace.Wrap(&FormatError{Path: s.path, Format: identity.GetFormat()})
	}
	if identity.GetHost() != string(options.Host) {
		return nil, trace.Wrap(&OwnerError{Path: s.path, Owner: identity.GetHost(), Host: string(options.Host)})
	}
	state.Member = quorum.MemberID(ident.Host(identity.GetHost()), identity.GetIncarnation())
	return state, trace.Wrap(checkMember(filepath.Join(options.Folder, memberName), identity))
}

func (s *Store) loadMeta(meta *bolt.Bucket, identity *fleetpb.Identity, state *State) error {
	if err := s.get(meta, identityKey, identity); err != nil {
		return trace.Wrap(err)
	}
	if err := s.get(meta, hardStateKey, state.HardState); err != nil {
		return trace.Wrap(err)
	}
	if err := s.get(meta, extentKey, s.extent); err != nil {
		return trace.Wrap(err)
	}
	if s.extent.GetSnapshot() == 0 {
		return nil
	}
	state.Snapshot = &fleetpb.Snapshot{}
	if err := s.get(meta, snapshotKey, state.Snapshot); err != nil {
		return trace.Wrap(err)
	}
	if state.Snapshot.GetIndex() != s.extent.GetSnapshot() {
		return trace.Wrap(s.corrupt("the snapshot", "its index is not the expected one"))
	}
	return nil
}

// loadEntries reads the entries, which must be exactly those of the stored extent.
func (s *Store) loadEntries(bucket *bolt.Bucket, state *State) error {
	next := s.extent.GetFirst()
	err := bucket.ForEach(func(key, record []byte) error {
		if len(key) != 8 {
			return trace.Wrap(s.corrupt("an entry", "its key is not an index"))
		}
		part := fmt.Sprintf("entry %d", binary.BigEndian.Uint64(key))
		entry := &fleetpb.Entry{}
		if reason := decode(key, record, entry); reason != "" {
			return trace.Wrap(s.corrupt(part, reason))
		}
		if binary.BigEndian.Uint64(key) > next && next <= s.extent.GetLast() {
			return trace.Wrap(&MissingError{Path: s.path, Part: fmt.Sprintf("entry %d", next)})
		}
		if entry.GetIndex() != next || next > s.extent.GetLast() {
			return trace.Wrap(s.corrupt(part, "it lies outside the log"))
		}
		state.Entries = append(state.Entries, entry)
		next++
		return nil
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if next != s.extent.GetLast()+1 {
		return trace.Wrap(&MissingError{Path: s.path, Part: fmt.Sprintf("entry %d", next)})
	}
	if len(state.Entries) > 0 && state.Entries[len(state.Entries)-1].GetTerm() != s.extent.GetTerm() {
		return trace.Wrap(s.corrupt("the last entry", "its term is not the expected one"))
	}
	return nil
}

// get reads a record that must exist.
func (s *Store) get(bucket *bolt.Bucket, key []byte, message proto.Message) error {
	record := bucket.Get(key)
	if record == nil {
		return trace.Wrap(&MissingError{Path: s.path, Part: "the record " + string(key)})
	}
	if reason := decode(key, record, message); reason != "" {
		return trace.Wrap(s.corrupt("the record "+string(key), reason))
	}
	return nil
}

func (s *Store) corrupt(part, reason string) error {
	return &CorruptError{Path: s.path, Part: part, Reason: reason}
}
