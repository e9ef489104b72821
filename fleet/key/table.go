package key

import (
	"crypto/subtle"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// WrongKeyError reports a key that was never issued, or whose secret does not match its id.
type WrongKeyError struct{}

// Error returns a text without any part of the presented key.
func (e *WrongKeyError) Error() string {
	return "wrong key"
}

// RevokedError reports a key that was withdrawn.
type RevokedError struct {
	ID ident.KeyID
}

// Error returns a text with the key's public id.
func (e *RevokedError) Error() string {
	return "key " + string(e.ID) + " is revoked"
}

// entry is the table's record of a key in force.
type entry struct {
	team ident.Team
	hash Hash
}

// Table holds the keys in force on an entry host, a host that accepts callers. Its methods are safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	entries map[ident.KeyID]entry
	revoked map[ident.KeyID]struct{}
	changes atomic.Uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[ident.KeyID]entry{}, revoked: map[ident.KeyID]struct{}{}}
}

// Update applies the keys of a full state or of a delta. Entries without a complete hash are skipped.
func (t *Table) Update(state *fleetpb.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state.GetFull() || len(state.GetWithdrawn())+len(state.GetKeys()) > 0 {
		defer t.changes.Add(1)
	}
	if state.GetFull() {
		clear(t.entries)
		clear(t.revoked)
	}
	for _, id := range state.GetWithdrawn() {
		delete(t.entries, ident.KeyID(id))
		t.revoked[ident.KeyID(id)] = struct{}{}
	}
	for _, k := range state.GetKeys() {
		if len(k.GetHash()) != len(Hash{}) {
			continue
		}
		delete(t.revoked, ident.KeyID(k.GetId()))
		t.entries[ident.KeyID(k.GetId())] = entry{team: ident.Team(k.GetTeam()), hash: Hash(k.GetHash())}
	}
}

// Check returns the id and the team of the key that a caller presents, or a WrongKeyError or RevokedError. Keys with
// unknown ids are hashed and compared like others, so that the time taken does not reveal which ids exist.
func (t *Table) Check(plaintext string) (ident.KeyID, ident.Team, error) {
	k, err := Parse(plaintext)
	if err != nil {
		return "", "", trace.Wrap(&WrongKeyError{})
	}
	hash := k.Hash()
	t.mu.RLock()
	stored, known := t.entries[k.ID]
	_, revoked := t.revoked[k.ID]
	t.mu.RUnlock()
	same := subtle.ConstantTimeCompare(hash[:], stored.hash[:]) == 1
	switch {
	case known && same:
		return k.ID, stored.team, nil
	case revoked:
		return "", "", trace.Wrap(&RevokedError{ID: k.ID})
	default:
		return "", "", trace.Wrap(&WrongKeyError{})
	}
}

// Changes returns the number of updates that may have changed a key.
func (t *Table) Changes() uint64 {
	return t.changes.Load()
}

// Valid reports whether a key that passed Check for team is still in force.
func (t *Table) Valid(id ident.KeyID, team ident.Team) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	stored, known := t.entries[id]
	return known && stored.team == team
}
