package upstream

import (
	"cmp"
	"context"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/connections"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

// refusalLogInterval bounds the log lines about connections that the upstream refuses.
const refusalLogInterval = 5 * time.Second

// openingTime is the time in which an upstream that runs answers the opening of a connection.
const openingTime = 200 * time.Millisecond

var (
	connectionsOpened     = metrics.NewCounter("tamarack_upstream_connections_opened_total")
	openFailures          = metrics.NewCounter("tamarack_upstream_open_failures_total")
	connectionsRefused    = metrics.NewCounter("tamarack_upstream_connections_refused_total")
	connectionsEvicted    = metrics.NewCounter("tamarack_upstream_connections_evicted_total")
	connectionsHandedOver = metrics.NewCounter("tamarack_upstream_connections_handed_over_total")
	statementsHeldBack    = metrics.NewCounter("tamarack_upstream_statements_held_back_total")
)

// grant ends the wait of a statement with a connection, with the right to open one, or with an error.
type grant struct {
	conn *Conn
	// reserved is the id of the connection to open; 0 if there is none.
	reserved connections.ConnID
	err      error
}

// NotHolderError reports a host that may hold no connections to an upstream; no statement ran. Another host is to be asked.
type NotHolderError struct{ Upstream ident.Upstream }

// Error implements error.
func (e *NotHolderError) Error() string { return e.failure().Error() }

// Unwrap returns the failure for a caller that asks no other host.
func (e *NotHolderError) Unwrap() error { return e.failure() }

func (e *NotHolderError) failure() *statement.Failure {
	return &statement.Failure{Code: statement.CodeConnections, Text: "the host holds no connections to " + string(e.Upstream)}
}

// refused returns the error of a statement that the allocator refuses.
func (p *Pool) refused(refusal *connections.Refuse) error {
	if refusal.NotHolder {
		return &NotHolderError{p.target.Upstream}
	}
	statementsHeldBack.Inc()
	return &statement.Failure{
		Code: statement.CodeConnections, Text: "the upstream's other connections are left to more urgent requests",
	}
}

// Get returns a connection for a team, opening one if none is free. It returns the error of ctx, an UnreachableError, a NotHolderError
// or a statement.Failure; no statement has run in any of these cases.
func (p *Pool) Get(ctx context.Context, team ident.Team, priority int) (*Conn, error) {
	began := steady.Now()
	id, granted, err := p.request(began, team, priority)
	var refused error
	for err == nil {
		var g grant
		select {
		case g = <-granted:
		case <-ctx.Done():
			p.cancel(id, granted)
			return nil, cmp.Or(refused, ctx.Err())
		}
		switch {
		case g.err != nil:
			return nil, g.err
		case g.conn != nil && g.conn.alive():
			return g.conn, nil
		case g.conn != nil:
			id, err = p.replaceLost(g.conn, began, granted)
		default:
			var conn *Conn
			opening := steady.Now()
			if conn, refused = p.open(ctx, g.reserved, team); refused == nil {
				return conn, nil
			}
			if cutShort(ctx, opening, refused) {
				refused = context.DeadlineExceeded
			}
			id, err = p.openFailed(ctx, g.reserved, refused, began, granted)
		}
	}
	return nil, err
}

// request asks the allocator for a connection. The channel receives the outcome.
func (p *Pool) request(now ident.Time, team ident.Team, priority int) (connections.WaiterID, chan grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, nil, p.closedError()
	}
	granted := make(chan grant, 1)
	id, actions := p.allocator.Request(now, team, priority)
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
	p.carryOut(p.allocator.Opened(now, id))
	return conn, nil
}

// cutShort reports whether an opening failed only because ctx ended, too early to say anything of the upstream.
func cutShort(ctx context.Context, began ident.Time, failed error) bool {
	var timeout net.Error
	if !errors.As(failed, &timeout) || !timeout.Timeout() {
		return false
	}
	end, bounded := ctx.Deadline()
	return bounded && !time.Now().Before(end) && steady.Now().Sub(began) < openingTime
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
	waiter, actions := p.allocator.OpenFailed(now, id, began, atCap && !p.closed)
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
			"account", p.allocator.Limit(now))
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
		p.carryOut(p.allocator.Release(now, conn.id, false))
		return 0, p.closedError()
	}
	id, actions := p.allocator.Lost(now, conn.id, began)
	p.waiting[id] = granted
	p.carryOut(actions)
	return id, nil
}

// cancel ends a wait. What was granted at the same time is passed on.
func (p *Pool) cancel(id connections.WaiterID, granted chan grant) {
	p.mu.Lock()
	waiting := p.allocator.Cancel(id)
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
			_, actions := p.allocator.OpenFailed(steady.Now(), g.reserved, 0, false)
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
	p.carryOut(p.allocator.Release(steady.Now(), conn.id, reusable))
}

// setIdleInTransaction records whether the transaction that holds a connection runs no statement.
func (p *Pool) setIdleInTransaction(conn *Conn, idle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.SetIdleInTransaction(conn.id, idle)
}

// carryOut carries out the allocator's decisions and sets the timer for the next one. The caller must hold mu. Connections are closed
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
			p.answer(action.Waiter, grant{err: p.refused(action)})
		}
	}
	p.setTimer()
}

// answer ends the wait of a statement. The caller must hold mu.
func (p *Pool) answer(id connections.WaiterID, g grant) {
	p.waiting[id] <- g
	delete(p.waiting, id)
}

// setTimer arranges for the allocator's next decision. The caller must hold mu.
func (p *Pool) setTimer() {
	at := p.allocator.Wake()
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
		p.carryOut(p.allocator.Tick(steady.Now(), maxIdleTime))
	})
}
