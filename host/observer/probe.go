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
	// idlePoll and busyPoll are the times between queries without and with waiting requests.
	idlePoll = 100 * time.Millisecond
	busyPoll = 5 * time.Millisecond
	// answerLimit is the time after which a connection without an answer is given up.
	answerLimit = time.Second
)

// Names of the prepared statements. Sending these instead of the text, without a description of the rows, keeps the
// traffic of an idle observer low.
const (
	stateName       = "s"
	replicationName = "r"
)

// connection is a connection with its prepared statements.
type connection struct {
	*pgconn.PgConn
	state, replication *pgconn.StatementDescription
}

// probe is the one connection to an upstream.
type probe struct {
	watch    *watch
	upstream ident.Upstream
	address  string
	wake     chan struct{}
	cancel   context.CancelFunc
	done     chan struct{}
	// primary is set while the upstream says that it is primary; only then its replicas are asked for.
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
			hangUp(conn)
			conn = nil
		}
		p.pause(ctx, err != nil)
	}
	if conn != nil {
		hangUp(conn)
	}
}

// hangUp closes a connection without waiting for an upstream that may not answer.
func hangUp(conn *connection) {
	ctx, cancel := context.WithTimeout(context.Background(), idlePoll)
	defer cancel()
	_ = conn.Close(ctx)
}

func (p *probe) pause(ctx context.Context, failed bool) {
	wait := idlePoll
	if !failed && p.watch.hurry(p.upstream) {
		wait = busyPoll
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
		config.TLSConfig = options.TLS.Client(config.Host)
	}
	config.User, config.Password, config.Database = options.User, options.Password, "tamarack"
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	conn := &connection{}
	if conn.PgConn, err = pgconn.ConnectConfig(ctx, config); err != nil {
		return nil, err
	}
	if conn.state, err = conn.Prepare(ctx, stateName, group.StateStatement, nil); err == nil {
		conn.replication, err = conn.Prepare(ctx, replicationName, group.ReplicationStatement, nil)
	}
	if err != nil {
		hangUp(conn)
		return nil, err
	}
	return conn, nil
}

// poll reads the state of the upstream, and the replicas of a primary, in one round trip.
func (p *probe) poll(ctx context.Context, conn *connection) error {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
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
