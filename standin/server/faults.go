package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// State of the faults, as the fault address reads and writes it.
type faultState struct {
	// Lag delays batches of the primary; Slow is added to the work of each statement.
	Lag  time.Duration `json:"lag"`
	Slow time.Duration `json:"slow"`
	// Stall accepts connections and messages of callers but handles none; Freeze also stops replication and announcements.
	Stall  bool `json:"stall"`
	Freeze bool `json:"freeze"`
	// In and Out hold back replication messages to and from this upstream.
	In  bool `json:"in"`
	Out bool `json:"out"`
	// Callers closes callers' connections, open and new.
	Callers bool `json:"callers"`
}

// Faults are the faults that a test asked for.
type Faults struct {
	mu      sync.Mutex
	state   faultState
	changed chan struct{}
}

// NewFaults returns no faults but a lag of replication.
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

// wait returns once holds is false for the faults, or done is closed.
func (f *Faults) wait(done <-chan struct{}, holds func(faultState) bool) {
	for {
		state, changed := f.get()
		if !holds(state) {
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

func (f *Faults) waitReplication(done <-chan struct{}, out bool) {
	f.wait(done, func(s faultState) bool { return s.Freeze || out && s.Out || !out && s.In })
}

func (f *Faults) callersCut() bool {
	state, _ := f.get()
	return state.Callers
}

func (f *Faults) lagging() time.Duration {
	state, _ := f.get()
	return state.Lag
}

func (f *Faults) slowness() time.Duration {
	state, _ := f.get()
	return state.Slow
}

// ServeHTTP returns the faults, after a POST has changed those that its form names: lag and slow as durations; stall,
// freeze, in, out and callers as booleans.
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
