package tracker

import (
	"context"
	"sync"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// follower holds what is known of one group and what callers wait for.
type follower struct {
	service ident.Service
	mutex   sync.Mutex
	report  Report
	changed chan struct{}
	wanted  map[ident.Position]int
	asked   ident.Time
	// interrupt ends a long poll that began before somebody wanted a position.
	interrupt   context.CancelFunc
	interrupted bool
}

func newFollower(service ident.Service) *follower {
	return &follower{service: service, changed: make(chan struct{}), wanted: make(map[ident.Position]int)}
}

func (f *follower) latest() (Report, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.report, f.changed
}

func (f *follower) record(report Report) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.report = report
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *follower) touch(now ident.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if now.Sub(f.asked) > busyFor {
		f.interruptPoll()
	}
	f.asked = now
}

func (f *follower) want(position ident.Position) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.wanted) == 0 {
		f.interruptPoll()
	}
	f.wanted[position]++
}

func (f *follower) unwant(position ident.Position) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.wanted[position]--
	if f.wanted[position] == 0 {
		delete(f.wanted, position)
	}
}

// lowestWanted returns the position that the next write waits for, or nil.
func (f *follower) lowestWanted() *fleetpb.Position {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var lowest *fleetpb.Position
	for position := range f.wanted {
		if lowest == nil || uint64(position.LSN) < lowest.GetLsn() {
			lowest = &fleetpb.Position{Term: uint64(position.Term), Lsn: uint64(position.LSN)}
		}
	}
	return lowest
}

func (f *follower) busy(now ident.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.wanted) > 0 || now.Sub(f.asked) < busyFor
}

func (f *follower) unused(now ident.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.wanted) == 0 && now.Sub(f.asked) > quietFor
}

// begin notes the running poll and returns a function that tells whether it was interrupted.
func (f *follower) begin(stop context.CancelFunc) func() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.interrupt = stop
	f.interrupted = false
	return func() bool {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.interrupt = nil
		return f.interrupted
	}
}

// interruptPoll runs under the follower's lock.
func (f *follower) interruptPoll() {
	if f.interrupt != nil {
		f.interrupted = true
		f.interrupt()
		f.interrupt = nil
	}
}
