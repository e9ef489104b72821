package upstream

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

const (
	// maxIdleTime is the time after which an idle connection is closed.
	maxIdleTime = 10 * time.Second
	// refusalLogInterval bounds the log lines about connections that the upstream refuses.
	refusalLogInterval = 5 * time.Second
	// lagValidity is how long an upstream that lacked a position is assumed to lack it still. The lag of a healthy replica is
	// shorter; a read on one that lags longer costs a round trip without a result.
	lagValidity = 250 * time.Millisecond
	// failurePenalty is how long an upstream that could not be reached or did not answer is the last choice.
	failurePenalty = time.Second
)

var (
	connectionsOpened     = metrics.NewCounter("tamarack_upstream_connections_opened_total")
	openFailures          = metrics.NewCounter("tamarack_upstream_open_failures_total")
	connectionsRefused    = metrics.NewCounter("tamarack_upstream_connections_refused_total")
	connectionsEvicted    = metrics.NewCounter("tamarack_upstream_connections_evicted_total")
	connectionsHandedOver = metrics.NewCounter("tamarack_upstream_connections_handed_over_total")
	statementsHeldBack    = metrics.NewCounter("tamarack_upstream_statements_held_back_total")
)

// Pool holds one host's connections to one upstream. It is safe for concurrent use.
type Pool struct {
	target   Target
	protocol Protocol
	limiter  *limiter
	mu       sync.Mutex
	// account divides the connections; conns are those that are open, and waiting the statements that wait for one.
	account *connections.Allocator
	conns   map[connections.ConnID]*Conn
	waiting map[connections.WaiterID]chan grant
	closed  bool
	// wake is the timer for the account's next decision, which is due at wakeAt.
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

// grant ends the wait of a statement with a connection, with the right to open one, or with an error.
type grant struct {
	conn *Conn
	// reserved is the id of the connection to open; 0 if there is none.
	reserved connections.ConnID
	err      error
}

// errPoolClosed is the cause when the upstream has left the directory.
var errPoolClosed = errors.New("the upstream is no longer listed")

// NewPool returns a pool without connections.
func NewPool(target Target, protocol Protocol, limit int) *Pool {
	p := &Pool{
		target: target, protocol: protocol, limiter: newLimiter(), account: connections.NewAllocator(),
		conns: map[connections.ConnID]*Conn{}, waiting: map[connections.WaiterID]chan grant{},
	}
	p.account.Account.Resize(steady.Now(), max(0, limit), false)
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
	p.account.SetSlots(capacity)
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
	p.account.Account.Resize(now, max(0, limit), slowly)
	p.carryOut(p.account.Tick(now, maxIdleTime))
	p.mu.Unlock()
}

// SetTeams sets the number of teams that may need a connection.
func (p *Pool) SetTeams(teams int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account.SetTeams(teams)
}

// Limit returns the maximum number of connections.
func (p *Pool) Limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account.Account.Limit(steady.Now())
}

// Connections returns the number of connections that are open or being opened.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account.Total()
}

// Waiting returns the number of statements that wait for a connection.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account.Waiting()
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

// errNoAccount refuses a statement on a host that holds no connections to the upstream.
var errNoAccount = &statement.Failure{Code: statement.CodeConnections, Text: "this host holds no connections to the upstream"}

// errHeldBack refuses a statement while only the connections that are left to the most urgent route are free.
var errHeldBack = &statement.Failure{Code: statement.CodeConnections, Text: "the upstream's connections are held by transactions"}

// Get returns a connection for a team, opening one if none is free. It returns the error of ctx, an UnreachableError or a
// statement.Failure; no statement has run in any of these cases.
func (p *Pool) Get(ctx context.Context, team ident.Team, priority int) (*Conn, error) {
	began := steady.Now()
	id, granted, err := p.request(began, team, priority)
	var refused error
	for err == nil {
		select {
		case g := <-granted:
			switch {
			case g.err != nil:
				return nil, g.err
			case g.conn != nil && g.conn.alive():
				return g.conn, nil
			case g.conn != nil:
				if id, err = p.replaceLost(g.conn, began, granted); err != nil {
					return nil, err
				}
				continue
			}
			var conn *Conn
			conn, refused = p.open(ctx, g.reserved, team)
			if refused == nil {
				return conn, nil
			}
			if id, err = p.openFailed(ctx, g.reserved, refused, began, granted); err != nil {
				return nil, err
			}
		case <-ctx.Done():
			p.cancel(id, granted)
			return nil, cmp.Or(refused, ctx.Err())
		}
	}
	return nil, err
}

// request asks the account for a connection. The channel receives the outcome.
func (p *Pool) request(now ident.Time, team ident.Team, priority int) (connections.WaiterID, chan grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return 0, nil, p.closedError()
	case p.account.Account.Limit(now) == 0 && priority >= 0:
		return 0, nil, errNoAccount
	}
	granted := make(chan grant, 1)
	id, actions := p.account.Request(now, team, priority)
	p.waiting[id] = granted
	p.carryOut(actions)
	return id, granted, nil
}

// open opens the connection of a reserved id.
func (p *Pool) open(ctx context.Context, id connections.ConnID, team ident.Team) (*Conn, error) {
	conn, err := open(ctx, p.protocol, p.target, team)
	if err != nil {
		return nil, err
	}
	connectionsOpened.Inc()
	now := steady.Now()
	p.RecordAnswer(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.pool, conn.id = p, id
	p.conns[id] = conn
	p.carryOut(p.account.Opened(now, id))
	return conn, nil
}

// openFailed gives a reserved id back. It returns the error, unless the upstream refused the connection as over its cap: the statement
// then waits again, under the new id.
func (p *Pool) openFailed(
	ctx context.Context, id connections.ConnID, failed error, began ident.Time, granted chan grant,
) (connections.WaiterID, error) {
	openFailures.Inc()
	now := steady.Now()
	var unreachable *UnreachableError
	if errors.As(failed, &unreachable) && ctx.Err() == nil {
		p.RecordFailure(now)
	}
	var refused *statement.Failure
	atCap := errors.As(failed, &refused) && refused.Code == statement.CodeConnections
	p.mu.Lock()
	defer p.mu.Unlock()
	waiter, actions := p.account.OpenFailed(now, id, began, atCap && !p.closed)
	if waiter != 0 {
		p.waiting[waiter] = granted
	}
	p.carryOut(actions)
	if !atCap {
		return 0, failed
	}
	connectionsRefused.Inc()
	if p.refusalLogged == 0 || now.Sub(p.refusalLogged) >= refusalLogInterval {
		p.refusalLogged = now
		klog.InfoS("Connections refused at the upstream's limit", "upstream", p.target.Upstream, "open", len(p.conns),
			"account", p.account.Account.Limit(now))
	}
	if p.closed {
		return 0, p.closedError()
	}
	return waiter, nil
}

// replaceLost gives up a connection that was found closed when it was handed over, and waits again.
func (p *Pool) replaceLost(conn *Conn, began ident.Time, granted chan grant) (connections.WaiterID, error) {
	conn.close()
	now := steady.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn.id)
	if p.closed {
		p.carryOut(p.account.Release(now, conn.id, false))
		return 0, p.closedError()
	}
	id, actions := p.account.Lost(now, conn.id, began)
	p.waiting[id] = granted
	p.carryOut(actions)
	return id, nil
}

// cancel ends a wait. What was granted at the same time is passed on.
func (p *Pool) cancel(id connections.WaiterID, granted chan grant) {
	p.mu.Lock()
	waiting := p.account.Cancel(id)
	delete(p.waiting, id)
	p.mu.Unlock()
	if waiting {
		return
	}
	select {
	case g := <-granted:
		switch {
		case g.conn != nil:
			p.put(g.conn)
		case g.reserved != 0:
			p.mu.Lock()
			_, actions := p.account.OpenFailed(steady.Now(), g.reserved, 0, false)
			p.carryOut(actions)
			p.mu.Unlock()
		}
	default:
	}
}

func (p *Pool) closedError() error {
	return &UnreachableError{p.target.Upstream, errPoolClosed}
}

// put takes a connection back. One that is broken or belongs to a closed pool is closed.
func (p *Pool) put(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTeam = conn.Team
	reusable := !conn.broken && !p.closed
	if !reusable {
		conn.close()
		delete(p.conns, conn.id)
	}
	p.carryOut(p.account.Release(steady.Now(), conn.id, reusable))
}

// setResting records whether the transaction that holds a connection runs no statement.
func (p *Pool) setResting(conn *Conn, resting bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account.SetResting(conn.id, resting)
}

// carryOut carries out the account's decisions and sets the timer for the next one. The caller must hold mu. Connections are closed
// before others are opened in their place.
func (p *Pool) carryOut(actions []connections.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case *connections.Close:
			connectionsEvicted.Inc()
			p.conns[action.Conn].close()
			delete(p.conns, action.Conn)
		case *connections.HandOver:
			connectionsHandedOver.Inc()
			p.answer(action.Waiter, grant{conn: p.conns[action.Conn]})
		case *connections.Open:
			p.answer(action.Waiter, grant{reserved: action.Conn})
		case *connections.Refuse:
			statementsHeldBack.Inc()
			p.answer(action.Waiter, grant{err: errHeldBack})
		}
	}
	p.setTimer()
}

// answer ends the wait of a statement. The caller must hold mu.
func (p *Pool) answer(id connections.WaiterID, g grant) {
	p.waiting[id] <- g
	delete(p.waiting, id)
}

// setTimer arranges for the account's next decision. The caller must hold mu.
func (p *Pool) setTimer() {
	at := p.account.Wake()
	if at == 0 || at == p.wakeAt {
		return
	}
	if p.wake != nil {
		p.wake.Stop()
	}
	p.wakeAt = at
	p.wake = time.AfterFunc(max(0, at.Sub(steady.Now())), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.wakeAt = 0
		p.carryOut(p.account.Tick(steady.Now(), maxIdleTime))
	})
}

// Trim closes idle connections that have not been used for maxIdleTime or that exceed the limit.
func (p *Pool) Trim(now ident.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carryOut(p.account.Tick(now, maxIdleTime))
}

// Close closes idle connections now, and the others when they are released. Statements that wait for a connection get an
// UnreachableError at once, so that they can run elsewhere.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.carryOut(p.account.Clear())
	for id := range p.waiting {
		p.answer(id, grant{err: p.closedError()})
	}
	if p.wake != nil {
		p.wake.Stop()
	}
}
