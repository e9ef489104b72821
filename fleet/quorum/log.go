package quorum

import (
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
)

// entryID identifies an entry by its index and term.
type entryID struct {
	index uint64
	term  uint64
}

// entryLog holds the entries after base and the latest snapshot, which covers base.
type entryLog struct {
	base     entryID
	entries  []*fleetpb.Entry
	snapshot *fleetpb.Snapshot
	// Membership from the last Voters entry, or from the snapshot; nil before the log is bootstrapped.
	voters      *fleetpb.Voters
	votersIndex uint64
}

// newEntryLog restores the log from its stored parts.
func newEntryLog(snapshot *fleetpb.Snapshot, entries []*fleetpb.Entry) (entryLog, error) {
	l := entryLog{snapshot: snapshot}
	if snapshot == nil {
		l.snapshot = &fleetpb.Snapshot{}
	}
	l.base = entryID{l.snapshot.GetIndex(), l.snapshot.GetTerm()}
	if len(entries) > 0 && entries[0].GetIndex() <= l.base.index {
		// The term of the entry before the first stored one is not stored, so the first stored entry becomes the base.
		l.base = entryID{entries[0].GetIndex(), entries[0].GetTerm()}
		entries = entries[1:]
	}
	last := l.base
	for _, entry := range entries {
		if entry.GetIndex() != last.index+1 || entry.GetTerm() < last.term {
			return entryLog{}, &StateError{"entries are not consecutive"}
		}
		last = entryID{entry.GetIndex(), entry.GetTerm()}
	}
	if last.index < l.snapshot.GetIndex() {
		return entryLog{}, &StateError{"entries end before the snapshot"}
	}
	l.entries = entries
	l.findVoters()
	return l, nil
}

func (l *entryLog) last() entryID {
	if len(l.entries) == 0 {
		return l.base
	}
	entry := l.entries[len(l.entries)-1]
	return entryID{entry.GetIndex(), entry.GetTerm()}
}

// term returns the term of the entry at index, or false when the log does not contain it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.index {
		return l.base.term, true
	}
	if index < l.base.index || index > l.last().index {
		return 0, false
	}
	return l.entries[index-l.base.index-1].GetTerm(), true
}

// entriesAfter returns entries that follow index, at most maxCount and at most maxBytes bytes. The first one is returned
// even if it alone exceeds maxBytes.
func (l *entryLog) entriesAfter(index uint64, maxCount, maxBytes int) []*fleetpb.Entry {
	if index < l.base.index || index >= l.last().index {
		return nil
	}
	entries := l.entries[index-l.base.index:]
	entries = entries[:min(len(entries), maxCount)]
	for i, entry := range entries {
		maxBytes -= proto.Size(entry)
		if maxBytes < 0 && i > 0 {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// entriesBetween returns the entries from first to last, both included.
func (l *entryLog) entriesBetween(first, last uint64) []*fleetpb.Entry {
	return l.entries[first-l.base.index-1 : last-l.base.index]
}

func (l *entryLog) append(entries ...*fleetpb.Entry) {
	for _, entry := range entries {
		l.entries = append(l.entries, entry)
		if voters := entry.GetChange().GetVoters(); voters != nil {
			l.voters, l.votersIndex = voters, entry.GetIndex()
		}
	}
}

// truncate removes the entries from index on and restores the membership from before them.
func (l *entryLog) truncate(index uint64) {
	kept := index - l.base.index - 1
	l.entries = l.entries[:kept:kept]
	if l.votersIndex >= index {
		l.findVoters()
	}
}

// reset replaces the log with a snapshot.
func (l *entryLog) reset(snapshot *fleetpb.Snapshot) {
	l.snapshot = snapshot
	l.base = entryID{snapshot.GetIndex(), snapshot.GetTerm()}
	l.entries = nil
	l.findVoters()
}

// compact sets a snapshot of this member's state machine, and drops the entries whose index is trailing or more below the
// snapshot's.
func (l *entryLog) compact(snapshot *fleetpb.Snapshot, trailing uint64) {
	l.snapshot = snapshot
	if snapshot.GetIndex() <= l.base.index+trailing {
		return
	}
	index := snapshot.GetIndex() - trailing
	term, _ := l.term(index)
	l.entries = append([]*fleetpb.Entry(nil), l.entries[index-l.base.index:]...)
	l.base = entryID{index, term}
}

// votersAt returns the membership in force at an index, which must not be below the index of the snapshot.
func (l *entryLog) votersAt(index uint64) *fleetpb.Voters {
	for i := len(l.entries) - 1; i >= 0; i-- {
		entry := l.entries[i]
		if entry.GetIndex() > index || entry.GetIndex() <= l.snapshot.GetIndex() {
			continue
		}
		if voters := entry.GetChange().GetVoters(); voters != nil {
			return voters
		}
	}
	return l.snapshot.GetVoters()
}

func (l *entryLog) findVoters() {
	l.voters, l.votersIndex = l.snapshot.GetVoters(), l.snapshot.GetIndex()
	for _, entry := range l.entries {
		if voters := entry.GetChange().GetVoters(); voters != nil && entry.GetIndex() > l.snapshot.GetIndex() {
			l.voters, l.votersIndex = voters, entry.GetIndex()
		}
	}
}
