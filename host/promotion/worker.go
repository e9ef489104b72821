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
	// idleLimit is the time for which a connection without requests stays open.
	idleLimit = 2 * time.Second
	// closeLimit bounds the polite end of a connection.
	closeLimit = 100 * time.Millisecond
	// codeTerm is the SQLSTATE of an upstream that knows a later term.
	codeTerm = "55000"
)

// identity tells requests apart that may wait at the same time.
type identity struct {
	kind failover.Kind
	term ident.Term
}

// worker sends the requests to one upstream, one after the other.
type worker struct {
	runner *Runner
	target target
	queue  chan request
	// pending is guarded by the lock of the runner.
	pending map[identity]bool
	conn    *pgconn.PgConn
}

func newWorker(r *Runner, t target) *worker {
	return &worker{runner: r, target: t, queue: make(chan request, queueLength), pending: map[identity]bool{}}
}

func (w *worker) run(ctx context.Context) {
	defer w.runner.wait.Done()
	defer w.hangUp()
	idle := time.NewTimer(idleLimit)
	defer idle.Stop()
	for {
		idle.Reset(idleLimit)
		select {
		case q := <-w.queue:
			answer := w.carryOut(ctx, q)
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

func (w *worker) hangUp() {
	if w.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	_ = w.conn.Close(ctx)
	w.conn = nil
}

// carryOut sends one request. A request is not sent twice, but a stale idle connection is replaced first.
func (w *worker) carryOut(ctx context.Context, q request) failover.Answer {
	answer := failover.Answer{Kind: q.kind, Term: q.term}
	ctx, cancel := context.WithDeadline(ctx, q.expires)
	defer cancel()
	if ctx.Err() != nil {
		answer.Failure = errExpired.Error()
		return answer
	}
	state, err := w.ask(ctx, q.statement)
	if err == nil {
		answer.State = state
		return answer
	}
	answer.Failure = trace.UserMessage(err)
	var failure *pgconn.PgError
	if !errors.As(err, &failure) {
		w.hangUp()
		return answer
	}
	answer.Failure = failure.Message
	if failure.Code != codeTerm {
		return answer
	}
	// The upstream knows a later term; its state says which one.
	if state, err := w.ask(ctx, ""); err == nil {
		answer.State = state
	}
	return answer
}

// ask runs a statement that returns the state, or asks for the state alone.
func (w *worker) ask(ctx context.Context, statement string) (failover.State, error) {
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

func (w *worker) connect(ctx context.Context) error {
	if w.conn != nil && !w.conn.IsClosed() && w.conn.Ping(ctx) == nil {
		return nil
	}
	w.hangUp()
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
		config.TLSConfig = store.Client(host)
	}
	config.User, config.Password, config.Database = w.runner.options.User, w.runner.options.Password, "tamarack"
	w.conn, err = pgconn.ConnectConfig(ctx, config)
	return err
}

// quote returns a text as an SQL literal.
func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
