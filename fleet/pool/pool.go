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
	// ahead is the number of idle connections that are opened ahead of need; opening takes about 10 ms.
	ahead = 1
	// DefaultMaxAge bounds the age of a connection, so that memory of upstream sessions is returned.
	DefaultMaxAge = 30 * time.Minute
	// DefaultIdle is the time after which an idle connection beyond those ahead of need is closed.
	DefaultIdle = 10 * time.Second
	// firstPause and lastPause bound the pause after a failure to open; it doubles with each one.
	firstPause = 50 * time.Millisecond
	lastPause  = time.Second
	// peakHalfLife is the time in which a past peak of use loses half of its weight in the reported demand.
	peakHalfLife = 2 * time.Second
)

// State is the state of one pooled connection.
type State int

// States.
const (
	// StateOpening is a connection that is not usable yet.
	StateOpening State = iota
	// StateIdle is clean and free.
	StateIdle
	// StateBusy runs a statement outside of a transaction, or is pinned by a caller.
	StateBusy
	// StateTransaction is inside a caller's transaction.
	StateTransaction
	// StateDirty must be cleaned before another caller gets it.
	StateDirty
	// StateCleaning runs DISCARD ALL.
	StateCleaning
	// StateClosing is being closed and still counts as open.
	StateClosing
)

//go:generate enumer -type=State -trimprefix=State -transform=snake

// ConnID names a pooled connection.
type ConnID uint64

// Action is a step for the caller: Open, Assign, Clean or Close.
type Action interface{ action() }

// Open opens a connection; it ends in a call of Opened or Closed.
type Open struct{ ID ConnID }

// Assign gives the connection to the next queued work; without any, the caller calls Released.
type Assign struct{ ID ConnID }

// Clean runs DISCARD ALL on the connection; it ends in a call of Cleaned or Closed.
type Clean struct{ ID ConnID }

// Close closes the connection; it ends in a call of Closed.
type Close struct{ ID ConnID }

func (Open) action()   {}
func (Assign) action() {}
func (Clean) action()  {}
func (Close) action()  {}

// Options configure a pool.
type Options struct {
	// MaxAge and Idle are as DefaultMaxAge and DefaultIdle; 0 means the default.
	MaxAge time.Duration
	Idle   time.Duration
}

// Pool is the state of one host's connections to one upstream. Its methods may be called from several goroutines.
type Pool struct {
	mu       sync.Mutex
	opts     Options
	last     ConnID
	conns    map[ConnID]*conn
	allotted int
	seq      uint64
	// pause is the time without attempts after a failure, and retry its end.
	pause time.Duration
	retry ident.Time
	// peak is the decaying maximum of connections in use or wanted, as of peakAt.
	peak   float64
	peakAt ident.Time
	// leaving is set when the upstream or the host gets no new work.
	leaving bool
}

type conn struct {
	id     ConnID
	state  State
	opened ident.Time
	since  ident.Time
}

// New returns a pool that may open nothing yet.
func New(opts Options) *Pool {
	if opts.MaxAge == 0 {
		opts.MaxAge = DefaultMaxAge
	}
	if opts.Idle == 0 {
		opts.Idle = DefaultIdle
	}
	return &Pool{opts: opts, conns: map[ConnID]*conn{}}
}

// Allot sets the number of connections that the host may have open: from the response to the latest Demand, or 0 when the
// host's lease has ended.
func (p *Pool) Allot(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allotted = n
}

// Leave stops the opening and assigning of connections; idle ones are closed, those in use as soon as they are released.
func (p *Pool) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// Next returns the actions to take at now, with waiting work in the queue. The caller takes all of them.
func (p *Pool) Next(now ident.Time, waiting int) []Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(now, p.used()+waiting)
	actions := p.closeExcess(now)
	for _, c := range p.sorted() {
		switch {
		case c.state == StateDirty:
			p.set(now, c, StateCleaning)
			actions = append(actions, Clean{c.id})
		case c.state == StateIdle && waiting > 0 && !p.leaving:
			p.set(now, c, StateBusy)
			actions = append(actions, Assign{c.id})
			waiting--
		}
	}
	return append(actions, p.open(now, waiting)...)
}

// sorted returns the connections, the one that was used last first: the others stay idle and can be closed.
func (p *Pool) sorted() []*conn {
	list := make([]*conn, 0, len(p.conns))
	for _, c := range p.conns {
		list = append(list, c)
	}
	slices.SortFunc(list, func(x, y *conn) int {
		return cmp.Or(cmp.Compare(y.since, x.since), cmp.Compare(x.id, y.id))
	})
	return list
}

func (p *Pool) set(now ident.Time, c *conn, state State) {
	c.state, c.since = state, now
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

// used returns the connections that callers have.
func (p *Pool) used() int {
	return p.count(StateBusy, StateTransaction)
}

// closeExcess closes idle and dirty connections that exceed the allotment, are too old or are not needed.
func (p *Pool) closeExcess(now ident.Time) []Action {
	excess := len(p.conns) - p.count(StateClosing) - p.allotted
	spare := p.count(StateIdle) - ahead
	list := p.sorted()
	slices.Reverse(list)
	var actions []Action
	for _, c := range list {
		if c.state != StateIdle && c.state != StateDirty {
			continue
		}
		unneeded := c.state == StateIdle && spare > 0 && now.Sub(c.since) >= p.opts.Idle
		if excess <= 0 && !p.leaving && !unneeded && now.Sub(c.opened) < p.opts.MaxAge {
			continue
		}
		if c.state == StateIdle {
			spare--
		}
		excess--
		p.set(now, c, StateClosing)
		actions = append(actions, Close{c.id})
	}
	return actions
}

// open opens connections for waiting work and ahead of need, within the allotment.
func (p *Pool) open(now ident.Time, waiting int) []Action {
	if p.leaving || now < p.retry {
		return nil
	}
	want := waiting + ahead - p.count(StateOpening, StateIdle, StateCleaning)
	room := p.allotted - len(p.conns)
	if p.pause > 0 {
		// After a failure one attempt is enough to find out whether the upstream is back.
		room = min(room, 1-p.count(StateOpening))
	}
	var actions []Action
	for range min(want, room) {
		p.last++
		p.conns[p.last] = &conn{id: p.last, state: StateOpening, since: now}
		actions = append(actions, Open{p.last})
	}
	return actions
}

// Opened takes a connection that is ready.
func (p *Pool) Opened(now ident.Time, id ConnID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[id]; c != nil && c.state == StateOpening {
		c.opened = now
		p.set(now, c, StateIdle)
		p.pause = 0
	}
}

// Closed takes a connection that is closed or could not be opened.
func (p *Pool) Closed(now ident.Time, id ConnID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[id]
	if c == nil {
		return
	}
	delete(p.conns, id)
	if c.state == StateOpening {
		p.pause = min(max(2*p.pause, firstPause), lastPause)
		p.retry = now.Add(p.pause)
	}
}

// Began takes the start of a transaction on a connection in use.
func (p *Pool) Began(now ident.Time, id ConnID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[id]; c != nil && c.state == StateBusy {
		p.set(now, c, StateTransaction)
	}
}

// Released takes a connection back from its caller, outside of a transaction; dirty says that session state was set.
func (p *Pool) Released(now ident.Time, id ConnID, dirty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[id]
	if c == nil || (c.state != StateBusy && c.state != StateTransaction) {
		return
	}
	if dirty {
		p.set(now, c, StateDirty)
		return
	}
	p.set(now, c, StateIdle)
}

// Cleaned takes a connection whose session state was discarded.
func (p *Pool) Cleaned(now ident.Time, id ConnID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[id]; c != nil && c.state == StateCleaning {
		p.set(now, c, StateIdle)
	}
}

// Demand returns the report to the control leader; every call is a new report.
func (p *Pool) Demand(now ident.Time, waiting int) *fleetpb.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(now, p.used()+waiting)
	p.seq++
	return &fleetpb.Demand{
		Wanted:   uint32(math.Ceil(p.peak)) + ahead,
		Open:     uint32(len(p.conns)),
		Allotted: uint32(p.allotted),
		Seq:      p.seq,
	}
}

// note keeps the decaying peak of demand, so that an allotment does not follow every gap between two requests.
func (p *Pool) note(now ident.Time, demand int) {
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

// Due returns the time at which an idle pool needs another Next without any event: the end of a pause, or the earliest
// end of an age.
func (p *Pool) Due(now ident.Time) ident.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := ident.Time(math.MaxInt64)
	if p.retry > now {
		due = p.retry
	}
	spare := p.count(StateIdle) - ahead
	list := p.sorted()
	slices.Reverse(list)
	for _, c := range list {
		if c.state != StateIdle {
			continue
		}
		due = min(due, c.opened.Add(p.opts.MaxAge))
		if spare > 0 {
			due = min(due, c.since.Add(p.opts.Idle))
			spare--
		}
	}
	return max(due, now+1)
}
