package observer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgconn"

	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// idleInterval and busyInterval are the intervals between polls without and with waiting requests.
	idleInterval = 100 * time.Millisecond
	busyInterval = 5 * time.Millisecond
	// answerTimeout is the timeout of a connection attempt and of a poll; the connection is closed when a poll times out.
	answerTimeout = time.Second
)

// Names of the prepared statements. Polls send these instead of the SQL text and request no row descriptions, to keep the
// traffic of an idle observer low.
const (
	stateName       = "s"
	replicationName = "r"
)

// connection is a connection to an upstream with its prepared statements.
type connection struct {
	*pgconn.PgConn
	state, replication *pgconn.StatementDescription
}

// probe polls one upstream over a single connection.
type probe struct {
	watch    *watch
	upstream ident.Upstream
	address  string
	wake     chan struct{}
	cancel   context.CancelFunc
	done     chan struct{}
	// primary is set while the upstream reports that it is primary; only then is the replication state of its replicas queried.
	primary bool
}

func startProbe(ctx context.Context, w *watch, m Member) *probe {
	ctx, cancel := context.WithCancel(ctx)
	p := &probe{
		watch: w, upstream: m.Upstream, address: m.Address,
		wake: make(chan struct{}, 1), cancel: cancel, done: make(chan struct{}),
	}
	go p.run(ctx)
	return p
}

func (p *probe) close() {
	p.cancel()
	<-p.done
}

// run polls the upstream, and reconnects after errors, until the context ends.
func (p *probe) run(ctx context.Context) {
	defer close(p.done)
	var conn *connection
	refused := false
	for ctx.Err() == nil {
		var err error
		if conn == nil {
			conn, err = p.connect(ctx)
		}
		if err == nil {
			err = p.poll(ctx, conn)
		}
		before := refused
		refused = errors.Is(err, syscall.ECONNREFUSED)
		if err != nil && ctx.Err() == nil {
			p.watch.report(group.Failed{Upstream: p.upstream, Refused: refused})
		}
		if refused && !before {
			select {
			case p.watch.observer.syncNeeded <- struct{}{}:
			default:
			}
		}
		if err != nil && conn != nil {
			closeConnection(conn)
			conn = nil
		}
		p.pause(ctx, err != nil)
	}
	if conn != nil {
		closeConnection(conn)
	}
}

// closeConnection closes a connection. It waits only briefly, since the upstream may not answer.
func closeConnection(conn *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), idleInterval)
	defer cancel()
	_ = conn.Close(ctx)
}

// pause waits for the time of the next poll or until the probe is woken.
func (p *probe) pause(ctx context.Context, failed bool) {
	wait := idleInterval
	if !failed && p.watch.pollFast(p.upstream) {
		wait = busyInterval
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.wake:
	case <-ctx.Done():
	}
}

func (p *probe) connect(ctx context.Context) (*connection, error) {
	options := p.watch.observer.options
	config, err := pgconn.ParseConfig("sslmode=disable application_name=tamarack-observer")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := setAddress(config, p.address); err != nil {
		return nil, trace.Wrap(err)
	}
	if options.TLS != nil {
		config.TLSConfig = options.TLS.ClientConfig(config.Host)
	}
	config.User, config.Password, config.Database = options.User, options.Password, "tamarack"
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	conn := &connection{}
	if conn.PgConn, err = pgconn.ConnectConfig(ctx, config); err != nil {
		return nil, err
	}
	if conn.state, err = conn.Prepare(ctx, stateName, group.StateStatement, nil); err == nil {
		conn.replication, err = conn.Prepare(ctx, replicationName, group.ReplicationStatement, nil)
	}
	if err != nil {
		closeConnection(conn)
		return nil, err
	}
	return conn, nil
}

// poll reads the state of the upstream, and for a primary the state of its replicas, in one round trip.
func (p *probe) poll(ctx context.Context, conn *connection) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	sent := p.watch.observer.now()
	batch := &pgconn.Batch{}
	batch.ExecStatement(conn.state, nil, nil, nil)
	if p.primary {
		batch.ExecStatement(conn.replication, nil, nil, nil)
	}
	results, err := conn.ExecBatch(ctx, batch).ReadAll()
	if err != nil {
		return trace.Wrap(err)
	}
	if len(results) == 0 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return trace.BadParameter("upstream %s answered with an unknown state", p.upstream)
	}
	state, err := group.ParseState(string(results[0].Rows[0][0]))
	if err != nil {
		return trace.Wrap(err)
	}
	for _, result := range results[1:] {
		for _, values := range result.Rows {
			row, err := group.ParseRow(values)
			if err != nil {
				return trace.Wrap(err)
			}
			state.Rows = append(state.Rows, row)
		}
	}
	p.primary = state.Primary
	state.Upstream, state.Sent = p.upstream, sent
	p.watch.report(state)
	return nil
}
