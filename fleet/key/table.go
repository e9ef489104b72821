package key

import (
	"crypto/subtle"
	"sync"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// WrongKeyError reports a key that was never given, or whose secret does not match its id.
type WrongKeyError struct{}

// Error holds nothing of what was presented.
func (e *WrongKeyError) Error() string {
	return "wrong key"
}

// RevokedError reports a key that was withdrawn.
type RevokedError struct {
	ID ident.KeyID
}

// Error names the key's public id.
func (e *RevokedError) Error() string {
	return "key " + string(e.ID) + " is revoked"
}

// entry is what the table keeps of a key in force.
type entry struct {
	team ident.Team
	hash Hash
}

// Table holds the keys in force on an entry host. It may be used by several goroutines.
type Table struct {
	mu      sync.RWMutex
	entries map[ident.KeyID]entry
	revoked map[ident.KeyID]struct{}
}

// NewTable returns a table in which no key is in force.
func NewTable() *Table {
	return &Table{entries: map[ident.KeyID]entry{}, revoked: map[ident.KeyID]struct{}{}}
}

// Update takes over the keys of a full state or of a delta; entries without a complete hash are left out.
func (t *Table) Update(state *fleetpb.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
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

// Check returns the id and the team of the key that a caller presents, or a WrongKeyError or RevokedError. Keys of
// unknown ids are hashed and compared like others, so that the time taken does not tell which ids exist.
func (t *Table) Check(written string) (ident.KeyID, ident.Team, error) {
	k, err := Parse(written)
	if err != nil {
		return "", "", trace.Wrap(&WrongKeyError{})
	}
	presented := k.Hash()
	t.mu.RLock()
	held, known := t.entries[k.ID]
	_, revoked := t.revoked[k.ID]
	t.mu.RUnlock()
	same := subtle.ConstantTimeCompare(presented[:], held.hash[:]) == 1
	switch {
	case known && same:
		return k.ID, held.team, nil
	case revoked:
		return "", "", trace.Wrap(&RevokedError{ID: k.ID})
	default:
		return "", "", trace.Wrap(&WrongKeyError{})
	}
}

// Valid reports whether a key that passed Check for team is still in force.
func (t *Table) Valid(id ident.KeyID, team ident.Team) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	held, known := t.entries[id]
	return known && held.team == team
}
