package session

import (
	"sync"

	"tamarackshunt.dev/fleet/ident"
)

// shards is the number of locks of a table. It exceeds the number of cores of an entry host, to reduce lock contention.
const shards = 64

// Table stores the last position of each session of one service, up to a limit of entries. It is safe for concurrent use.
//
// The key is the 64-bit hash of a session, which takes a third of the memory of the names. Two sessions with the same hash
// share the higher position, so a collision can only require a newer position of a replica than necessary.
type Table struct {
	shards [shards]shard
}

type shard struct {
	sync.Mutex
	// floor is the position assumed for all sessions of the shard that have no entry.
	floor   ident.Position
	index   map[uint64]uint32
	entries []entry
	limit   int
	// newest and oldest are the ends of the list, which is ordered by the last Put.
	newest, oldest uint32
}

// entry is an element of a doubly linked list, ordered by the last Put; newer and older are indexes into shard.entries.
type entry struct {
	hash         uint64
	position     ident.Position
	newer, older uint32
}

// none is the index that marks the end of the list.
const none = ^uint32(0)

// NewTable returns a Table with at most about limit entries.
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

// Put raises the session's entry so that it covers position. At the limit it evicts the session with the oldest Put and
// raises the floor of the shard to the evicted position.
func (t *Table) Put(hash uint64, position ident.Position) {
	s := t.shard(hash)
	s.Lock()
	defer s.Unlock()
	if s.floor.Covers(position) {
		// The floor already covers the position, so an entry would not change any result of Get.
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
	i := s.allocate()
	s.entries[i].hash, s.entries[i].position = hash, position
	s.index[hash] = i
	s.link(i)
}

// Get returns the lowest position known to cover the session's writes.
func (t *Table) Get(hash uint64) ident.Position {
	s := t.shard(hash)
	s.Lock()
	defer s.Unlock()
	if i, found := s.index[hash]; found {
		return s.floor.Join(s.entries[i].position)
	}
	return s.floor
}

// Raise raises the floor of each shard so that it covers position. A shard is cleared if its floor then covers all of its
// entries.
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

// allocate returns the index of an unused entry, evicting the oldest one at the limit.
func (s *shard) allocate() uint32 {
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
