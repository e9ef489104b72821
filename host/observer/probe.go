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

// probe is the one connection to an upstream.
type probe struct {
	watch    *watch
	upstream ident.Upstream
	address  string
	wake     chan struct{}
	cancel   context.CancelFunc
	done     chan struct{}
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
	var conn *pgconn.PgConn
	for ctx.Err() == nil {
		var err error
		if conn == nil {
			conn, err = p.connect(ctx)
		}
		if err == nil {
			err = p.poll(ctx, conn)
		}
		if err != nil && ctx.Err() == nil {
			p.watch.report(group.Failed{Upstream: p.upstream, Refused: errors.Is(err, syscall.ECONNREFUSED)})
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
func hangUp(conn *pgconn.PgConn) {
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

func (p *probe) connect(ctx context.Context) (*pgconn.PgConn, error) {
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
	return pgconn.ConnectConfig(ctx, config)
}

// poll reads the state of the upstream and its replicas in one round trip.
func (p *probe) poll(ctx context.Context, conn *pgconn.PgConn) error {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	sent := p.watch.observer.now()
	results, err := conn.Exec(ctx, group.StateStatement+";"+group.ReplicationStatement).ReadAll()
	if err != nil {
		return trace.Wrap(err)
	}
	if len(results) != 2 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return trace.BadParameter("upstream %s answered with an unknown state", p.upstream)
	}
	state, err := group.ParseState(string(results[0].Rows[0][0]))
	if err != nil {
		return trace.Wrap(err)
	}
	for _, values := range results[1].Rows {
		row, err := group.ParseRow(values)
		if err != nil {
			return trace.Wrap(err)
		}
		state.Rows = append(state.Rows, row)
	}
	state.Upstream, state.Sent = p.upstream, sent
	p.watch.report(state)
	return nil
}
