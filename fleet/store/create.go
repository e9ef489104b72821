package store

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
)

// prepare creates the log and its identity file if the folder contains neither, and reports whether it created them.
func prepare(options Options, path string) (created bool, err error) {
	if err := os.MkdirAll(options.Folder, 0o700); err != nil {
		return false, trace.ConvertSystemError(err)
	}
	hasLog, err := exists(path)
	if err != nil {
		return false, trace.Wrap(err)
	}
	member := filepath.Join(options.Folder, memberName)
	hasMember, err := exists(member)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if hasLog {
		// A crash between the creation of the log and of the identity file leaves only the log; load then writes the file.
		return false, nil
	}
	if hasMember {
		return false, trace.Wrap(&MissingError{Path: options.Folder, Part: logName})
	}
	identity := &fleetpb.Identity{Host: string(options.Host), Incarnation: options.Incarnation, Format: format}
	if err := createLog(path, identity); err != nil {
		return false, trace.Wrap(err)
	}
	if err := writeMember(member, identity); err != nil {
		return false, trace.Wrap(err)
	}
	// The name of the folder itself must survive a loss of power too.
	return true, syncFolder(filepath.Dir(options.Folder))
}

// createLog writes an empty log under a temporary name and renames it, so that a crash leaves no incomplete log.
func createLog(path string, identity *fleetpb.Identity) error {
	if err := os.Remove(path + incompleteSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return trace.ConvertSystemError(err)
	}
	db, err := bolt.Open(path+incompleteSuffix, 0o600, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return trace.Wrap(err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		if _, err := tx.CreateBucket(entryBucket); err != nil {
			return trace.Wrap(err)
		}
		meta, err := tx.CreateBucket(metaBucket)
		if err != nil {
			return trace.Wrap(err)
		}
		return trace.NewAggregate(
			put(meta, identityKey, identity),
			put(meta, hardStateKey, &fleetpb.HardState{}),
			put(meta, extentKey, &fleetpb.Extent{First: 1}),
		)
	})
	if err := trace.NewAggregate(err, db.Close()); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(rename(path))
}

// writeMember writes the identity file of a folder.
func writeMember(path string, identity *fleetpb.Identity) error {
	record, err := encode([]byte(memberName), identity)
	if err != nil {
		return trace.Wrap(err)
	}
	file, err := os.OpenFile(path+incompleteSuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = file.Write(record)
	if err := trace.NewAggregate(err, file.Sync(), file.Close()); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(rename(path))
}

// rename gives a completed file its final name and syncs the folder.
func rename(path string) error {
	if err := os.Rename(path+incompleteSuffix, path); err != nil {
		return trace.ConvertSystemError(err)
	}
	return syncFolder(filepath.Dir(path))
}

// syncFolder makes the names in a folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.NewAggregate(folder.Sync(), folder.Close())
}

// checkMember compares the identity file with the identity in the log, and writes it if it is missing.
func checkMember(path string, identity *fleetpb.Identity) error {
	record, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return trace.Wrap(writeMember(path, identity))
	}
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var stored fleetpb.Identity
	if reason := decode([]byte(memberName), record, &stored); reason != "" {
		return trace.Wrap(&CorruptError{Path: path, Part: "the identity", Reason: reason})
	}
	if !proto.Equal(&stored, identity) {
		return trace.Wrap(&CorruptError{Path: path, Part: "the identity", Reason: "it differs from that of the log"})
	}
	return nil
}
