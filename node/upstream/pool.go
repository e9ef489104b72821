package upstream

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

const (
	// maxIdleTime is the time after which an idle connection is closed.
	maxIdleTime = 10 * time.Second
	// minRetryPause and maxRetryPause bound the time between attempts to connect to an upstream that is at its connection limit.
	// An upstream drops the opening packets of hosts that retry without a pause.
	minRetryPause = 40 * time.Millisecond
	maxRetryPause = 160 * time.Millisecond
	// lagValidity is how long an upstream that lacked a position is assumed to lack it still. The lag of a healthy replica is
	// shorter; a read on one that lags longer costs a round trip without a result.
	lagValidity = 250 * time.Millisecond
	// failurePenalty is how long an upstream that could not be reached or did not answer is the last choice.
	failurePenalty = time.Second
)

var (
	connectionsOpened  = metrics.NewCounter("tamarack_upstream_connections_opened_total")
	openFailures       = metrics.NewCounter("tamarack_upstream_open_failures_total")
	connectionsRefused = metrics.NewCounter("tamarack_upstream_connections_refused_total")
	connectionsEvicted = metrics.NewCounter("tamarack_upstream_connections_evicted_total")
)

// Pool holds one host's connections to one upstream. It is safe for concurrent use.
type Pool struct {
	target   Target
	protocol Protocol
	limiter  *limiter
	meter    meter
	mu       sync.Mutex
	// limit is the maximum number of connections; total counts those that are open or being opened.
	limit   int
	total   int
	idle    []*idleConn
	waiting []*waiter
	closed  bool
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

// idleConn is an idle connection; since is when it became idle.
type idleConn struct {
	conn  *Conn
	since ident.Time
}

// waiter waits for a connection, or for a reservation: the right to open one, which counts in the pool's total.
type waiter struct {
	team     ident.Team
	priority int
	// grant receives a connection of the team, or nil for a reservation. It is closed without a value when the pool is closed.
	grant chan *Conn
}

// errPoolClosed is the cause when the upstream has left the directory.
var errPoolClosed = errors.New("the upstream is no longer listed")

// NewPool returns a pool without connections.
func NewPool(target Target, protocol Protocol, limit int) *Pool {
	return &Pool{target: target, protocol: protocol, limiter: newLimiter(), limit: max(1, limit)}
}

// Target returns the upstream that the pool connects to.
func (p *Pool) Target() Target {
	return p.target
}

// SetCapacity sets how many statements the upstream runs at a time; 0 if unknown.
func (p *Pool) SetCapacity(capacity int) {
	p.limiter.setCapacity(capacity)
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

// SetLimit changes the maximum number of connections.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, limit)
}

// Limit returns the maximum number of connections.
func (p *Pool) Limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit
}

// Waiting returns the number of statements that wait for a connection.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting)
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

// Get returns a connection for a team, opening one if none is free. It returns the error of ctx, an UnreachableError or a
// statement.Failure; no statement has run in any of these cases.
func (p *Pool) Get(ctx context.Context, team ident.Team, priority int) (*Conn, error) {
	pause := minRetryPause
	for {
		conn, err := p.acquire(ctx, team, priority)
		if err != nil || conn != nil {
			return conn, err
		}
		conn, err = p.open(ctx, team)
		if err == nil {
			return conn, nil
		}
		var refused *statement.Failure
		if !errors.As(err, &refused) || refused.Code != statement.CodeConnections {
			return nil, err
		}
		connectionsRefused.Inc()
		if steady.Wait(ctx, pause/2+rand.N(pause/2)) != nil {
			return nil, err
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// open opens a connection under the reservation that acquire has made, and releases the reservation if that fails.
func (p *Pool) open(ctx context.Context, team ident.Team) (*Conn, error) {
	conn, err := open(ctx, p.protocol, p.target, team)
	if err == nil {
		conn.pool = p
		connectionsOpened.Inc()
		p.RecordAnswer(steady.Now())
		return conn, nil
	}
	openFailures.Inc()
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) && ctx.Err() == nil {
		p.RecordFailure(steady.Now())
	}
	p.releaseReservation()
	return nil, err
}

// acquire returns a free connection, or nil with a reservation to open one. The reservation is counted in total.
func (p *Pool) acquire(ctx context.Context, team ident.Team, priority int) (*Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, p.closedError()
	}
	if conn := p.takeIdle(team); conn != nil {
		p.mu.Unlock()
		return conn, nil
	}
	if p.total < p.limit {
		p.total++
		p.mu.Unlock()
		return nil, nil
	}
	if len(p.idle) > 0 {
		// Close the least recently used connection, which belongs to another team, and open one in its place.
		old := p.idle[0].conn
		p.idle = slices.Delete(p.idle, 0, 1)
		p.mu.Unlock()
		connectionsEvicted.Inc()
		old.close()
		return nil, nil
	}
	w := &waiter{team: team, priority: priority, grant: make(chan *Conn, 1)}
	at, _ := slices.BinarySearchFunc(p.waiting, priority+1, func(w *waiter, priority int) int { return w.priority - priority })
	p.waiting = slices.Insert(p.waiting, at, w)
	p.mu.Unlock()
	select {
	case conn, open := <-w.grant:
		if !open {
			return nil, p.closedError()
		}
		return conn, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.mu.Unlock()
		return nil, ctx.Err()
	}
	p.mu.Unlock()
	// The grant was made at the same time as ctx ended: pass it on.
	switch conn, open := <-w.grant; {
	case !open:
	case conn != nil:
		p.put(conn)
	default:
		p.releaseReservation()
	}
	return nil, ctx.Err()
}

func (p *Pool) closedError() error {
	return &UnreachableError{p.target.Upstream, errPoolClosed}
}

// takeIdle returns a live idle connection of the team, the most recently used one first, or nil. The caller must hold mu.
func (p *Pool) takeIdle(team ident.Team) *Conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].conn.Team != team {
			continue
		}
		conn := p.idle[i].conn
		p.idle = slices.Delete(p.idle, i, i+1)
		if conn.alive() {
			return conn
		}
		conn.close()
		p.total--
	}
	return nil
}

// put takes a connection back. It passes the connection to a waiter of the same team that has the first waiter's priority, or
// closes it and passes its reservation to the first waiter. Without waiters it keeps the connection as idle. A connection that
// is broken, exceeds the limit or belongs to a closed pool is closed.
func (p *Pool) put(conn *Conn) {
	p.mu.Lock()
	p.lastTeam = conn.Team
	if conn.broken || p.closed || p.total > p.limit {
		p.mu.Unlock()
		conn.close()
		p.releaseReservation()
		return
	}
	for i, w := range p.waiting {
		if w.team == conn.Team && w.priority == p.waiting[0].priority {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			p.mu.Unlock()
			w.grant <- conn
			return
		}
	}
	if len(p.waiting) > 0 {
		p.mu.Unlock()
		connectionsEvicted.Inc()
		conn.close()
		p.releaseReservation()
		return
	}
	p.idle = append(p.idle, &idleConn{conn, steady.Now()})
	p.mu.Unlock()
}

// releaseReservation passes the reservation of a closed connection to the first waiter, or drops it.
func (p *Pool) releaseReservation() {
	p.mu.Lock()
	if len(p.waiting) > 0 && p.total <= p.limit && !p.closed {
		w := p.waiting[0]
		p.waiting = slices.Delete(p.waiting, 0, 1)
		p.mu.Unlock()
		w.grant <- nil
		return
	}
	p.total--
	p.mu.Unlock()
}

// Trim closes idle connections that have not been used for maxIdleTime or that exceed the limit.
func (p *Pool) Trim(now ident.Time) {
	p.mu.Lock()
	var old []*Conn
	p.idle = slices.DeleteFunc(p.idle, func(i *idleConn) bool {
		if now.Sub(i.since) < maxIdleTime && p.total-len(old) <= p.limit {
			return false
		}
		old = append(old, i.conn)
		return true
	})
	p.total -= len(old)
	p.mu.Unlock()
	for _, conn := range old {
		conn.close()
	}
}

// Close closes idle connections now, and the others when they are released. Statements that wait for a connection get an
// UnreachableError at once, so that they can run elsewhere.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle, waiting := p.idle, p.waiting
	p.idle, p.waiting = nil, nil
	p.total -= len(idle)
	p.mu.Unlock()
	for _, w := range waiting {
		close(w.grant)
	}
	for _, i := range idle {
		i.conn.close()
	}
}
