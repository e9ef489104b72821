package quorum

import (
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
)

// record is the place of an entry in the log.
type record struct {
	index uint64
	term  uint64
}

// history holds the entries after base and the latest snapshot, which covers base.
type history struct {
	base     record
	entries  []*fleetpb.Entry
	snapshot *fleetpb.Snapshot
	// Membership by the last Voters entry, or by the snapshot; nil before the log is founded.
	voters      *fleetpb.Voters
	votersIndex uint64
}

// newHistory rebuilds the log from stored parts.
func newHistory(snapshot *fleetpb.Snapshot, entries []*fleetpb.Entry) (history, error) {
	h := history{snapshot: snapshot}
	if snapshot == nil {
		h.snapshot = &fleetpb.Snapshot{}
	}
	h.base = record{h.snapshot.GetIndex(), h.snapshot.GetTerm()}
	if len(entries) > 0 && entries[0].GetIndex() <= h.base.index {
		// The term before the first kept entry is not stored, so that entry becomes the base.
		h.base = record{entries[0].GetIndex(), entries[0].GetTerm()}
		entries = entries[1:]
	}
	last := h.base
	for _, entry := range entries {
		if entry.GetIndex() != last.index+1 || entry.GetTerm() < last.term {
			return history{}, &StateError{"entries are not consecutive"}
		}
		last = record{entry.GetIndex(), entry.GetTerm()}
	}
	if last.index < h.snapshot.GetIndex() {
		return history{}, &StateError{"entries end before the snapshot"}
	}
	h.entries = entries
	h.findVoters()
	return h, nil
}

func (h *history) last() record {
	if len(h.entries) == 0 {
		return h.base
	}
	entry := h.entries[len(h.entries)-1]
	return record{entry.GetIndex(), entry.GetTerm()}
}

// term returns the term of the entry at index, or false when the log does not hold it.
func (h *history) term(index uint64) (uint64, bool) {
	if index == h.base.index {
		return h.base.term, true
	}
	if index < h.base.index || index > h.last().index {
		return 0, false
	}
	return h.entries[index-h.base.index-1].GetTerm(), true
}

// after returns entries that follow index: at most count, and at most size bytes unless the first one alone exceeds it.
func (h *history) after(index uint64, count, size int) []*fleetpb.Entry {
	if index < h.base.index || index >= h.last().index {
		return nil
	}
	entries := h.entries[index-h.base.index:]
	entries = entries[:min(len(entries), count)]
	for i, entry := range entries {
		size -= proto.Size(entry)
		if size < 0 && i > 0 {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// between returns the entries from first to last, both included.
func (h *history) between(first, last uint64) []*fleetpb.Entry {
	return h.entries[first-h.base.index-1 : last-h.base.index]
}

func (h *history) append(entries ...*fleetpb.Entry) {
	for _, entry := range entries {
		h.entries = append(h.entries, entry)
		if voters := entry.GetChange().GetVoters(); voters != nil {
			h.voters, h.votersIndex = voters, entry.GetIndex()
		}
	}
}

// truncate removes the entries from index on, with the membership that they set.
func (h *history) truncate(index uint64) {
	kept := index - h.base.index - 1
	h.entries = h.entries[:kept:kept]
	if h.votersIndex >= index {
		h.findVoters()
	}
}

// reset replaces the log with a snapshot.
func (h *history) reset(snapshot *fleetpb.Snapshot) {
	h.snapshot = snapshot
	h.base = record{snapshot.GetIndex(), snapshot.GetTerm()}
	h.entries = nil
	h.findVoters()
}

// compact takes a snapshot of this member's own machine and drops entries that are at least trailing below it.
func (h *history) compact(snapshot *fleetpb.Snapshot, trailing uint64) {
	h.snapshot = snapshot
	if snapshot.GetIndex() <= h.base.index+trailing {
		return
	}
	index := snapshot.GetIndex() - trailing
	term, _ := h.term(index)
	h.entries = append([]*fleetpb.Entry(nil), h.entries[index-h.base.index:]...)
	h.base = record{index, term}
}

// votersAt returns the membership in force at an index that the snapshot does not exceed.
func (h *history) votersAt(index uint64) *fleetpb.Voters {
	for i := len(h.entries) - 1; i >= 0; i-- {
		entry := h.entries[i]
		if entry.GetIndex() > index || entry.GetIndex() <= h.snapshot.GetIndex() {
			continue
		}
		if voters := entry.GetChange().GetVoters(); voters != nil {
			return voters
		}
	}
	return h.snapshot.GetVoters()
}

func (h *history) findVoters() {
	h.voters, h.votersIndex = h.snapshot.GetVoters(), h.snapshot.GetIndex()
	for _, entry := range h.entries {
		if voters := entry.GetChange().GetVoters(); voters != nil && entry.GetIndex() > h.snapshot.GetIndex() {
			h.voters, h.votersIndex = voters, entry.GetIndex()
		}
	}
}
