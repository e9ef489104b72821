package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// faultState holds the injected faults; the fault address returns it as JSON.
type faultState struct {
	// Lag delays batches received from the primary; Slow is added to the time that each statement holds its slot.
	Lag  time.Duration `json:"lag"`
	Slow time.Duration `json:"slow"`
	// With Stall, connections and messages of callers are accepted but not handled. Freeze also stops replication and
	// announcements.
	Stall  bool `json:"stall"`
	Freeze bool `json:"freeze"`
	// In and Out hold back replication messages to and from this upstream.
	In  bool `json:"in"`
	Out bool `json:"out"`
	// Callers closes callers' connections, both open and new ones.
	Callers bool `json:"callers"`
}

// Faults holds the faults that a test has injected, and serves the fault address over HTTP.
type Faults struct {
	mu      sync.Mutex
	state   faultState
	changed chan struct{}
}

// NewFaults returns Faults with a replication lag and no other fault.
func NewFaults(lag time.Duration) *Faults {
	return &Faults{state: faultState{Lag: lag}, changed: make(chan struct{})}
}

func (f *Faults) get() (faultState, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.changed
}

// Changed returns a channel that is closed when a fault changes.
func (f *Faults) Changed() <-chan struct{} {
	_, changed := f.get()
	return changed
}

// wait returns once blocks is false for the current faults, or done is closed.
func (f *Faults) wait(done <-chan struct{}, blocks func(faultState) bool) {
	for {
		state, changed := f.get()
		if !blocks(state) {
			return
		}
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}

func (f *Faults) waitCallers(done <-chan struct{}) {
	f.wait(done, func(s faultState) bool { return s.Stall || s.Freeze })
}

func (f *Faults) waitFreeze(done <-chan struct{}) {
	f.wait(done, func(s faultState) bool { return s.Freeze })
}

// waitReplication waits while a fault holds back the replication messages that the upstream sends, if out is set, or else those
// that it receives.
func (f *Faults) waitReplication(done <-chan struct{}, out bool) {
	f.wait(done, func(s faultState) bool { return s.Freeze || out && s.Out || !out && s.In })
}

func (f *Faults) closesCallers() bool {
	state, _ := f.get()
	return state.Callers
}

func (f *Faults) lag() time.Duration {
	state, _ := f.get()
	return state.Lag
}

func (f *Faults) slow() time.Duration {
	state, _ := f.get()
	return state.Slow
}

// ServeHTTP returns the faults as JSON. A POST first changes those that its form names: lag and slow are durations; stall,
// freeze, in, out and callers are booleans.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		if err := r.ParseForm(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := f.change(r.Form); err != nil {
			http.Error(w, trace.UserMessage(err), http.StatusBadRequest)
			return
		}
	}
	state, _ := f.get()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(state)
}

func (f *Faults) change(form map[string][]string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.state
	durations := map[string]*time.Duration{"lag": &state.Lag, "slow": &state.Slow}
	switches := map[string]*bool{
		"stall": &state.Stall, "freeze": &state.Freeze, "in": &state.In, "out": &state.Out, "callers": &state.Callers,
	}
	for name, values := range form {
		var err error
		if d, known := durations[name]; known {
			*d, err = time.ParseDuration(values[0])
		} else if s, known := switches[name]; known {
			*s, err = strconv.ParseBool(values[0])
		} else {
			err = trace.BadParameter("unknown fault")
		}
		if err != nil {
			return trace.BadParameter("fault %s=%s: %v", name, values[0], err)
		}
	}
	f.state = state
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}
