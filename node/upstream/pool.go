package upstream

import (
	"errors"
	"sync"
	"time"

	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/access"
)

const (
	// maxIdleTime is the time after which an idle connection is closed.
	maxIdleTime = 10 * time.Second
	// lagValidity is how long an upstream that lacked a position is assumed to lack it still. The lag of a healthy replica is
	// shorter; a read on one that lags longer costs a round trip without a result.
	lagValidity = 250 * time.Millisecond
	// failurePenalty is how long an upstream that could not be reached or did not answer is the last choice.
	failurePenalty = time.Second
)

// Pool holds one host's connections to one upstream. It is safe for concurrent use.
type Pool struct {
	target   Target
	protocol Protocol
	limiter  *limiter
	loads    loadMeter
	// access is nil if the keys of callers are not checked.
	access *access.Register
	mu     sync.Mutex
	// meter counts the operations, nil if usage is not reported.
	meter Meter
	// allocator divides the connections; conns are those that are open, and waiting the statements that wait for one.
	allocator  *connections.Allocator
	conns      map[connections.ConnID]*Conn
	waiting    map[connections.WaiterID]chan grant
	closed     bool
	evacuation connections.Evacuation
	// wake is the timer for the allocator's next decision, which is due at wakeAt.
	wake   *time.Timer
	wakeAt ident.Time
	// refusalLogged is the time of the last log line about a refused connection.
	refusalLogged ident.Time
	// inFlight counts the statements that executors of this host wait for or run.
	inFlight int
	// avoidUntil is the time until which the upstream is the last choice, after a failure; lastAnswer is the time of its last
	// answer on a connection of this pool, or 0.
	avoidUntil ident.Time
	lastAnswer ident.Time
	// lastTeam is the team of the connection that was last released.
	lastTeam ident.Team
	// position is the last observed position of the upstream's log, as of positionAt.
	position   ident.Position
	positionAt ident.Time
}

// errPoolClosed is the cause when the upstream has left the directory.
var errPoolClosed = errors.New("the upstream is no longer listed")

// NewPool returns a pool without connections.
func NewPool(target Target, protocol Protocol, limit int) *Pool {
	p := &Pool{
		target: target, protocol: protocol, limiter: newLimiter(target.Upstream), allocator: connections.NewAllocator(),
		conns: map[connections.ConnID]*Conn{}, waiting: map[connections.WaiterID]chan grant{},
	}
	p.allocator.Resize(steady.Now(), max(0, limit), false)
	return p
}

// Target returns the upstream that the pool connects to.
func (p *Pool) Target() Target {
	return p.target
}

// SetCapacity sets how many statements the upstream runs at a time; 0 if unknown.
func (p *Pool) SetCapacity(capacity int) {
	p.limiter.setCapacity(capacity)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.SetSlots(capacity)
}

// SetWarmup limits the statements per second until a time, while the upstream warms up. A rate of 0 refuses all statements.
func (p *Pool) SetWarmup(until ident.Time, rate float64) {
	p.limiter.setWarmup(until, rate)
}

// RecordPosition records the position that the upstream's log had reached at a time.
func (p *Pool) RecordPosition(at ident.Time, position ident.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position, p.positionAt = position, at
}

// Lacks reports whether the upstream's log was observed, within lagValidity, to be behind a position.
func (p *Pool) Lacks(at ident.Time, position ident.Position) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.positionAt != 0 && at.Sub(p.positionAt) < lagValidity && p.position.Less(position)
}

// SetLimit changes the maximum number of connections; 0 leaves room for status requests only. If slowly is set, a larger limit is reached
// by degrees, since other hosts may still hold connections. Idle connections above a smaller limit are closed at once.
func (p *Pool) SetLimit(limit int, slowly bool) {
	now := steady.Now()
	p.mu.Lock()
	p.allocator.Resize(now, max(0, limit), slowly)
	p.carryOut(p.allocator.Tick(now, maxIdleTime))
	p.mu.Unlock()
}

// SetTeams sets the number of teams that have to share the upstream's connections; 0 if there are enough.
func (p *Pool) SetTeams(teams int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.SetTeams(teams)
}

// Limit returns the maximum number of connections.
func (p *Pool) Limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allocator.Limit(steady.Now())
}

// Connections returns the number of connections that are open or being opened.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allocator.Total()
}

// Waiting returns the number of statements that wait for a connection.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allocator.Waiting()
}

// Closed reports whether Close was called.
func (p *Pool) Closed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// Load describes how busy and how healthy an upstream is, as seen by one host.
type Load struct {
	// InFlight counts the statements of this host that wait or run.
	InFlight int
	// Avoid is set while the upstream is the last choice.
	Avoid bool
}

// Load returns the load of the upstream as seen by this host.
func (p *Pool) Load(now ident.Time) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Load{InFlight: p.inFlight, Avoid: now < p.avoidUntil}
}

// BeginStatement counts a statement as in flight until EndStatement.
func (p *Pool) BeginStatement() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight++
}

// EndStatement ends the count of a statement as in flight.
func (p *Pool) EndStatement() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
}

// LastAnswer returns when the upstream last answered on a connection of this pool, or 0 if it never did.
func (p *Pool) LastAnswer() ident.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastAnswer
}

// RecordAnswer records a complete answer of the upstream on a connection of this pool; the upstream is no longer the last choice.
func (p *Pool) RecordAnswer(now ident.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswer, p.avoidUntil = now, 0
}

// RecordReachable records an answer that the upstream gave to another host; the upstream is no longer the last choice.
func (p *Pool) RecordReachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidUntil = 0
}

// RecordFailure records a connection that broke or could not be opened; the upstream is the last choice for failurePenalty.
func (p *Pool) RecordFailure(now ident.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidUntil = now.Add(failurePenalty)
}

// Trim closes idle connections that have not been used for maxIdleTime or that exceed the limit.
func (p *Pool) Trim(now ident.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carryOut(p.allocator.Tick(now, maxIdleTime))
}

// Close closes idle connections now, and the others when they are released. Statements that wait for a connection get an
// UnreachableError at once, so that they can run elsewhere.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.carryOut(p.allocator.Clear())
	for id := range p.waiting {
		p.answer(id, grant{err: p.closedError()})
	}
	if p.wake != nil {
		p.wake.Stop()
	}
}
