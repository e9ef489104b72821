package session

import (
	"sync"

	"tamarackshunt.dev/fleet/ident"
)

// shards is the number of locks of a table; it exceeds the cores of an entry host, so that callers seldom meet.
const shards = 64

// Table holds the last position of each session of one service within a bound.
//
// Sessions are kept under their 64-bit hash only, which costs a third of the memory of their names. Two sessions with
// the same hash share the higher position, so that a collision can only ask more of a replica than necessary.
type Table struct {
	shards [shards]shard
}

type shard struct {
	sync.Mutex
	// floor is the position of every session of the shard without an entry.
	floor   ident.Position
	index   map[uint64]uint32
	entries []entry
	limit   int
	// newest and oldest are the ends of the list in order of the last put.
	newest, oldest uint32
}

// entry is an element of a list in order of the last put; links are indexes into shard.entries.
type entry struct {
	hash         uint64
	position     ident.Position
	newer, older uint32
}

// none marks the end of the list.
const none = ^uint32(0)

// NewTable returns a table of at most about limit sessions.
func NewTable(limit int) *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].limit = max(1, limit/shards)
		t.shards[i].reset()
	}
	return t
}

func (t *Table) shard(hash uint64) *shard {
	return &t.shards[hash%shards]
}

// Put joins position into the session's entry. At the limit it evicts the session with the oldest put and raises the
// floor of its shard to that position.
func (t *Table) Put(hash uint64, position ident.Position) {
	s := t.shard(hash)
	s.Lock()
	defer s.Unlock()
	if s.floor.Covers(position) {
		// The floor answers for the session already; an entry would not change any answer.
		if _, found := s.index[hash]; !found {
			return
		}
	}
	if i, found := s.index[hash]; found {
		s.entries[i].position = s.entries[i].position.Join(position)
		s.unlink(i)
		s.link(i)
		return
	}
	i := s.slot()
	s.entries[i].hash, s.entries[i].position = hash, position
	s.index[hash] = i
	s.link(i)
}

// Get returns the least position that covers the session's writes.
func (t *Table) Get(hash uint64) ident.Position {
	s := t.shard(hash)
	s.Lock()
	defer s.Unlock()
	if i, found := s.index[hash]; found {
		return s.floor.Join(s.entries[i].position)
	}
	return s.floor
}

// Raise joins position into the floor of every session, and drops all entries where the floor covers them.
func (t *Table) Raise(position ident.Position) {
	for i := range t.shards {
		t.shards[i].raise(position)
	}
}

// Len returns the number of entries.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		t.shards[i].Lock()
		n += len(t.shards[i].index)
		t.shards[i].Unlock()
	}
	return n
}

func (s *shard) raise(position ident.Position) {
	s.Lock()
	defer s.Unlock()
	s.floor = s.floor.Join(position)
	for i := s.oldest; i != none; i = s.entries[i].newer {
		if !s.floor.Covers(s.entries[i].position) {
			return
		}
	}
	s.reset()
}

func (s *shard) reset() {
	s.index, s.entries = map[uint64]uint32{}, nil
	s.newest, s.oldest = none, none
}

// slot returns a free element, evicting the oldest entry at the limit.
func (s *shard) slot() uint32 {
	if len(s.entries) < s.limit {
		s.entries = append(s.entries, entry{})
		return uint32(len(s.entries) - 1)
	}
	i := s.oldest
	s.floor = s.floor.Join(s.entries[i].position)
	delete(s.index, s.entries[i].hash)
	s.unlink(i)
	return i
}

func (s *shard) link(i uint32) {
	s.entries[i].newer, s.entries[i].older = none, s.newest
	if s.newest == none {
		s.oldest = i
	} else {
		s.entries[s.newest].newer = i
	}
	s.newest = i
}

func (s *shard) unlink(i uint32) {
	e := s.entries[i]
	if e.newer == none {
		s.newest = e.older
	} else {
		s.entries[e.newer].older = e.older
	}
	if e.older == none {
		s.oldest = e.newer
	} else {
		s.entries[e.older].newer = e.newer
	}
}
