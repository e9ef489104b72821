package replica

import (
	"errors"
	"sync"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/quorum"
)

var errSkipped = errors.New("the change's place in the log was passed by a snapshot")

// answer is the outcome of a call.
type answer struct {
	message proto.Message
	err     error
}

// place is a call's entry in the log.
type place struct {
	term uint64
	id   uint64
}

// waiting holds the calls whose outcome is open.
type waiting struct {
	mu     sync.Mutex
	last   uint64
	calls  map[uint64]chan answer
	places map[uint64]place
}

func newWaiting() *waiting {
	return &waiting{calls: map[uint64]chan answer{}, places: map[uint64]place{}}
}

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

// proposed notes where the entry of a call is, or answers it with the error that kept it out.
func (w *waiting) proposed(p quorum.Proposed) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Err != nil {
		w.resolve(p.ID, answer{err: translate(p.Err)})
		return
	}
	if old, taken := w.places[p.Index]; taken {
		// This member has led again, and its new entry replaces one that was never committed.
		w.resolve(old.id, answer{err: &NotRunError{&SupersededError{p.Index}}})
	}
	w.places[p.Index] = place{p.Term, p.ID}
}

// applied answers the call whose entry was applied, or whose place another entry took.
func (w *waiting) applied(entry *fleetpb.Entry, message proto.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, waits := w.places[entry.GetIndex()]
	if !waits {
		return
	}
	delete(w.places, entry.GetIndex())
	if p.term != entry.GetTerm() {
		w.resolve(p.id, answer{err: &NotRunError{&SupersededError{entry.GetIndex()}}})
		return
	}
	w.resolve(p.id, answer{message: message})
}

// skipped answers the calls whose entries a restored snapshot covers; it does not tell which entries those were.
func (w *waiting) skipped(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at, p := range w.places {
		if at <= index {
			delete(w.places, at)
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
