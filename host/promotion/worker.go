package promotion

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgconn"

	"tamarackshunt.dev/fleet/failover"
	"tamarackshunt.dev/fleet/group"
	"tamarackshunt.dev/fleet/ident"
)

const (
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 2 * time.Second
	// closeTimeout is the timeout for closing a connection gracefully.
	closeTimeout = 100 * time.Millisecond
	// codeLaterTerm is the SQLSTATE with which an upstream rejects a request because it knows a later term.
	codeLaterTerm = "55000"
)

// requestKey identifies a pending request of one upstream, of which there is at most one per kind and term.
type requestKey struct {
	kind failover.Kind
	term ident.Term
}

// worker sends the requests to one target, one at a time.
type worker struct {
	runner *Runner
	target target
	queue  chan request
	// pending holds the requests that are queued or running. It is guarded by Runner.mu.
	pending map[requestKey]bool
	conn    *pgconn.PgConn
}

func newWorker(r *Runner, t target) *worker {
	return &worker{runner: r, target: t, queue: make(chan request, queueLength), pending: map[requestKey]bool{}}
}

// run executes requests until the context ends or the worker retires after idleTimeout without requests.
func (w *worker) run(ctx context.Context) {
	defer w.runner.running.Done()
	defer w.disconnect()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		idle.Reset(idleTimeout)
		select {
		case q := <-w.queue:
			answer := w.execute(ctx, q)
			w.runner.finished(w, q)
			if ctx.Err() != nil {
				return
			}
			w.runner.deliver(w.target, answer)
		case <-idle.C:
			if w.runner.retire(w) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// disconnect closes the connection, if there is one.
func (w *worker) disconnect() {
	if w.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = w.conn.Close(ctx)
	w.conn = nil
}

// execute executes one request. It never sends a request twice, but first replaces an idle connection that was lost.
func (w *worker) execute(ctx context.Context, q request) failover.Answer {
	answer := failover.Answer{Kind: q.kind, Term: q.term}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	if ctx.Err() != nil {
		answer.Failure = errExpired.Error()
		return answer
	}
	state, err := w.query(ctx, q.statement)
	if err == nil {
		answer.State = state
		return answer
	}
	answer.Failure = trace.UserMessage(err)
	var failure *pgconn.PgError
	if !errors.As(err, &failure) {
		w.disconnect()
		return answer
	}
	answer.Failure = failure.Message
	if failure.Code != codeLaterTerm {
		return answer
	}
	// The upstream knows a later term; read its state to find out which one.
	if state, err := w.query(ctx, ""); err == nil {
		answer.State = state
	}
	return answer
}

// query runs a statement that returns the upstream's state; an empty statement only reads the state.
func (w *worker) query(ctx context.Context, statement string) (failover.State, error) {
	if statement == "" {
		statement = group.StateStatement
	}
	if err := w.connect(ctx); err != nil {
		return failover.State{}, err
	}
	results, err := w.conn.Exec(ctx, statement).ReadAll()
	if err != nil {
		return failover.State{}, err
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return failover.State{}, trace.BadParameter("the upstream answered with an unknown state")
	}
	s, err := group.ParseState(string(results[0].Rows[0][0]))
	if err != nil {
		return failover.State{}, trace.Wrap(err)
	}
	return failover.State{Primary: s.Primary, Following: s.Following, Term: s.Term, Last: s.Last}, nil
}

// connect opens a connection unless the current one answers a ping.
func (w *worker) connect(ctx context.Context) error {
	if w.conn != nil && !w.conn.IsClosed() && w.conn.Ping(ctx) == nil {
		return nil
	}
	w.disconnect()
	host, port, err := net.SplitHostPort(w.target.address)
	if err != nil {
		return trace.BadParameter("address %q: %v", w.target.address, err)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return trace.BadParameter("address %q has no port", w.target.address)
	}
	config, err := pgconn.ParseConfig("sslmode=disable application_name=tamarack-control")
	if err != nil {
		return trace.Wrap(err)
	}
	config.Host, config.Port, config.Fallbacks = host, uint16(n), nil
	if store := w.runner.options.TLS; store != nil {
		config.TLSConfig = store.ClientConfig(host)
	}
	config.User, config.Password, config.Database = w.runner.options.User, w.runner.options.Password, "tamarack"
	w.conn, err = pgconn.ConnectConfig(ctx, config)
	return err
}

// quote returns the text as an SQL string literal.
func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
