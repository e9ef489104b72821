package replica

import (
	"errors"
	"sync"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/quorum"
)

var errSkipped = errors.New("the change's place in the log was passed by a snapshot")

// answer is the outcome of a call: the machine's answer or an error.
type answer struct {
	message proto.Message
	err     error
}

// proposedEntry is the term of a proposed log entry and the id of the call that proposed it.
type proposedEntry struct {
	term uint64
	id   uint64
}

// waiting holds the calls that wait for their outcome: calls by their id, and their proposed entries by log index.
type waiting struct {
	mu      sync.Mutex
	last    uint64
	calls   map[uint64]chan answer
	entries map[uint64]proposedEntry
}

func newWaiting() *waiting {
	return &waiting{calls: map[uint64]chan answer{}, entries: map[uint64]proposedEntry{}}
}

// open registers a call, and returns its id and the channel that gets its answer.
func (w *waiting) open() (uint64, <-chan answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	call := make(chan answer, 1)
	w.calls[w.last] = call
	return w.last, call
}

func (w *waiting) drop(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, id)
}

// proposed records the log index of a call's entry, or answers the call with the error if the entry was not appended.
func (w *waiting) proposed(p quorum.Proposed) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Err != nil {
		w.resolve(p.ID, answer{err: translate(p.Err)})
		return
	}
	if old, exists := w.entries[p.Index]; exists {
		// This member became the leader again, and the new entry replaces one that was never committed.
		w.resolve(old.id, answer{err: &NotRunError{&SupersededError{p.Index}}})
	}
	w.entries[p.Index] = proposedEntry{p.Term, p.ID}
}

// applied answers the call that proposed an entry at this index, with an error if the applied entry is another one.
func (w *waiting) applied(entry *fleetpb.Entry, message proto.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, exists := w.entries[entry.GetIndex()]
	if !exists {
		return
	}
	delete(w.entries, entry.GetIndex())
	if p.term != entry.GetTerm() {
		w.resolve(p.id, answer{err: &NotRunError{&SupersededError{entry.GetIndex()}}})
		return
	}
	w.resolve(p.id, answer{message: message})
}

// skipped answers the calls whose entries a restored snapshot covers. Their outcome is unknown, since a snapshot does not
// show which entries it contains.
func (w *waiting) skipped(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, p := range w.entries {
		if i <= index {
			delete(w.entries, i)
			w.resolve(p.id, answer{err: &UnknownOutcomeError{errSkipped}})
		}
	}
}

func (w *waiting) resolve(id uint64, a answer) {
	if call, open := w.calls[id]; open {
		delete(w.calls, id)
		call <- a
	}
}
