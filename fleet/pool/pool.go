package pool

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
)

// Timing of pooled connections.
const (
	// minIdle is the number of idle connections that are opened before they are needed; opening takes about 10 ms.
	minIdle = 1
	// DefaultMaxAge limits the age of a connection, so that the memory of the upstream's session is released.
	DefaultMaxAge = 30 * time.Minute
	// DefaultIdle is the time after which an idle connection in excess of minIdle is closed.
	DefaultIdle = 10 * time.Second
	// minRetryPause and maxRetryPause bound the pause after a failure to open a connection; it doubles with each
	// failure.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = time.Second
	// peakHalfLife is the time in which a past peak of use loses half of its weight in the reported demand.
	peakHalfLife = 2 * time.Second
)

// State is the state of one pooled connection.
type State int

// States of a connection.
const (
	// StateOpening means that the connection is not usable yet.
	StateOpening State = iota
	// StateIdle means that the connection is clean and free.
	StateIdle
	// StateBusy means that a statement runs outside of a transaction, or that the connection is pinned: its caller keeps it
	// because of session state.
	StateBusy
	// StateTransaction means that the connection is inside a caller's transaction.
	StateTransaction
	// StateDirty means that the connection must be cleaned before another caller gets it.
	StateDirty
	// StateCleaning means that DISCARD ALL runs.
	StateCleaning
	// StateClosing means that the connection is being closed and still counts as open.
	StateClosing
)

//go:generate enumer -type=State -trimprefix=State -transform=snake

// ConnID identifies a pooled connection.
type ConnID uint64

// Action is a step that the pool's user must take: Open, Assign, Clean or Close.
type Action interface{ action() }

// Open opens a connection. The user then calls Opened or Closed.
type Open struct{ ID ConnID }

// Assign gives the connection to the next queued work. If none is queued any more, the user calls Released.
type Assign struct{ ID ConnID }

// Clean runs DISCARD ALL on the connection. The user then calls Cleaned or Closed.
type Clean struct{ ID ConnID }

// Close closes the connection. The user then calls Closed.
type Close struct{ ID ConnID }

func (Open) action()   {}
func (Assign) action() {}
func (Clean) action()  {}
func (Close) action()  {}

// Options configure a pool.
type Options struct {
	// MaxAge and Idle replace DefaultMaxAge and DefaultIdle; 0 means the default.
	MaxAge time.Duration
	Idle   time.Duration
}

// Pool is the state of one host's connections to one upstream. Its methods are safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	opts     Options
	lastID   ConnID
	conns    map[ConnID]*conn
	allotted int
	seq      uint64
	// retryPause is the time without attempts after a failure to open, and retryAt the end of that time.
	retryPause time.Duration
	retryAt    ident.Time
	// peak is the decaying maximum of the connections in use or wanted, as of peakAt.
	peak   float64
	peakAt ident.Time
	// leaving is set when the upstream or the host gets no new work.
	leaving bool
}

type conn struct {
	id         ConnID
	state      State
	opened     ident.Time
	stateSince ident.Time
}

// New returns a pool that may not open any connection until Allot is called.
func New(opts Options) *Pool {
	if opts.MaxAge == 0 {
		opts.MaxAge = DefaultMaxAge
	}
	if opts.Idle == 0 {
		opts.Idle = DefaultIdle
	}
	return &Pool{opts: opts, conns: map[ConnID]*conn{}}
}

// Allot sets the number of connections that the host may have open. It comes from the response to the latest Demand,
// or is 0 when the host's lease has ended.
func (p *Pool) Allot(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allotted = n
}

// Leave stops opening and assigning connections. Idle connections are closed, those in use as soon as they are
// released.
func (p *Pool) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// Next returns the actions to take at now, where waiting is the amount of queued work. The user must take all of
// them.
func (p *Pool) Next(now ident.Time, waiting int) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updatePeak(now, p.used()+waiting)
	actions := p.closeExcess(now)
	for _, c := range p.sorted() {
		switch {
		case c.state == StateDirty:
			p.setState(now, c, StateCleaning)
			actions = append(actions, Clean{c.id})
		case c.state == StateIdle && waiting > 0 && !p.leaving:
			p.setState(now, c, StateBusy)
			actions = append(actions, Assign{c.id})
			waiting--
		}
	}
	return append(actions, p.open(now, waiting)...)
}

// sorted returns the connections, the most recently used first, so that the others stay idle and can be closed.
func (p *Pool) sorted() []*conn {
	list := make([]*conn, 0, len(p.conns))
	for _, c := range p.conns {
		list = append(list, c)
	}
	slices.SortFunc(list, func(x, y *conn) int {
		return cmp.Or(cmp.Compare(y.stateSince, x.stateSince), cmp.Compare(x.id, y.id))
	})
	return list
}

func (p *Pool) setState(now ident.Time, c *conn, state State) {
	c.state, c.stateSince = state, now
}

func (p *Pool) count(states ...State) int {
	n := 0
	for _, c := range p.conns {
		if slices.Contains(states, c.state) {
			n++
		}
	}
	return n
}

// used returns the number of connections in use by callers.
func (p *Pool) used() int {
	return p.count(StateBusy, StateTransaction)
}

// closeExcess closes idle and dirty connections that exceed the allotment or are too old, idle ones that are not
// needed, and all idle and dirty ones after Leave.
func (p *Pool) closeExcess(now ident.Time) []Action {
	excess := len(p.conns) - p.count(StateClosing) - p.allotted
	spare := p.count(StateIdle) - minIdle
	list := p.sorted()
	slices.Reverse(list)
	var actions []Action
	for _, c := range list {
		if c.state != StateIdle && c.state != StateDirty {
			continue
		}
		unneeded := c.state == StateIdle && spare > 0 && now.Sub(c.stateSince) >= p.opts.Idle
		if excess <= 0 && !p.leaving && !unneeded && now.Sub(c.opened) < p.opts.MaxAge {
			continue
		}
		if c.state == StateIdle {
			spare--
		}
		excess--
		p.setState(now, c, StateClosing)
		actions = append(actions, Close{c.id})
	}
	return actions
}

// open opens connections for waiting work and to reach minIdle, within the allotment.
func (p *Pool) open(now ident.Time, waiting int) []Action {
	if p.leaving || now < p.retryAt {
		return nil
	}
	needed := waiting + minIdle - p.count(StateOpening, StateIdle, StateCleaning)
	available := p.allotted - len(p.conns)
	if p.retryPause > 0 {
		// After a failure one attempt is enough to find out whether the upstream is available again.
		available = min(available, 1-p.count(StateOpening))
	}
	var actions []Action
	for range min(needed, available) {
		p.lastID++
		p.conns[p.lastID] = &conn{id: p.lastID, state: StateOpening, stateSince: now}
		actions = append(actions, Open{p.lastID})
	}
	return actions
}

// Opened records that a connection is ready.
func (p *Pool) Opened(now ident.Time, id ConnID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[id]; c != nil && c.state == StateOpening {
		c.opened = now
		p.setState(now, c, StateIdle)
		p.retryPause = 0
	}
}

// Closed records that a connection is closed or could not be opened.
func (p *Pool) Closed(now ident.Time, id ConnID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[id]
	if c == nil {
		return
	}
	delete(p.conns, id)
	if c.state == StateOpening {
		p.retryPause = min(max(2*p.retryPause, minRetryPause), maxRetryPause)
		p.retryAt = now.Add(p.retryPause)
	}
}

// Began records the start of a transaction on a connection in use.
func (p *Pool) Began(now ident.Time, id ConnID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[id]; c != nil && c.state == StateBusy {
		p.setState(now, c, StateTransaction)
	}
}

// Released returns a connection from its caller, outside of a transaction. Dirty means that session state was set.
func (p *Pool) Released(now ident.Time, id ConnID, dirty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[id]
	if c == nil || (c.state != StateBusy && c.state != StateTransaction) {
		return
	}
	if dirty {
		p.setState(now, c, StateDirty)
		return
	}
	p.setState(now, c, StateIdle)
}

// Cleaned records that the session state of a connection was discarded.
func (p *Pool) Cleaned(now ident.Time, id ConnID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[id]; c != nil && c.state == StateCleaning {
		p.setState(now, c, StateIdle)
	}
}

// Demand returns the report to the control leader; every call makes a new report.
func (p *Pool) Demand(now ident.Time, waiting int) *fleetpb.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updatePeak(now, p.used()+waiting)
	p.seq++
	return &fleetpb.Demand{
		Wanted:   uint32(math.Ceil(p.peak)) + minIdle,
		Open:     uint32(len(p.conns)),
		Allotted: uint32(p.allotted),
		Seq:      p.seq,
	}
}

// updatePeak updates the decaying peak of demand, so that the allotment does not follow every gap between two
// requests.
func (p *Pool) updatePeak(now ident.Time, demand int) {
	if elapsed := now.Sub(p.peakAt); elapsed > 0 {
		p.peak *= math.Exp2(-float64(elapsed) / float64(peakHalfLife))
		p.peakAt = now
	}
	if p.peak < 0.1 {
		p.peak = 0
	}
	p.peak = max(p.peak, float64(demand))
}

// Count returns the number of connections in each state.
func (p *Pool) Count() map[State]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[State]int{}
	for _, c := range p.conns {
		counts[c.state]++
	}
	return counts
}

// Due returns the time at which an idle pool needs another call of Next without any event: the end of a retry pause,
// or the earliest time at which an idle connection reaches its maximum age or is no longer needed.
func (p *Pool) Due(now ident.Time) ident.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := ident.Time(math.MaxInt64)
	if p.retryAt > now {
		due = p.retryAt
	}
	spare := p.count(StateIdle) - minIdle
	list := p.sorted()
	slices.Reverse(list)
	for _, c := range list {
		if c.state != StateIdle {
			continue
		}
		due = min(due, c.opened.Add(p.opts.MaxAge))
		if spare > 0 {
			due = min(due, c.stateSince.Add(p.opts.Idle))
			spare--
		}
	}
	return max(due, now+1)
}
