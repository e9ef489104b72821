package tracker

import (
	"context"
	"sync"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// follower holds the last report of one group and the positions that callers wait for.
type follower struct {
	service  ident.Service
	mutex    sync.Mutex
	report   Report
	changed  chan struct{}
	wanted   map[ident.Position]int
	lastUsed ident.Time
	// interrupt cancels the running long poll, which began before a position was wanted or the service was used again.
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

// markUsed records a use of the service, and interrupts a poll that began at the idle rate.
func (f *follower) markUsed(now ident.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if now.Sub(f.lastUsed) > busyPeriod {
		f.interruptPoll()
	}
	f.lastUsed = now
}

// addWanted adds a position that a caller waits for. The first one interrupts the running poll, whose request does not name it.
func (f *follower) addWanted(position ident.Position) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.wanted) == 0 {
		f.interruptPoll()
	}
	f.wanted[position]++
}

func (f *follower) removeWanted(position ident.Position) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.wanted[position]--
	if f.wanted[position] == 0 {
		delete(f.wanted, position)
	}
}

// lowestWanted returns the wanted position with the lowest LSN, or nil if none is wanted.
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

// busy reports whether polls must be short.
func (f *follower) busy(now ident.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.wanted) > 0 || now.Sub(f.lastUsed) < busyPeriod
}

// unused reports whether the follower can be retired.
func (f *follower) unused(now ident.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.wanted) == 0 && now.Sub(f.lastUsed) > retireAfter
}

// startPoll records the running poll. The returned function ends it and reports whether it was interrupted.
func (f *follower) startPoll(stop context.CancelFunc) func() bool {
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

// interruptPoll cancels the running poll, if any. The lock is held.
func (f *follower) interruptPoll() {
	if f.interrupt != nil {
		f.interrupted = true
		f.interrupt()
		f.interrupt = nil
	}
}
