package workload

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/history"
	"tamarackshunt.dev/load/relay"
)

const (
	// dialTimeout bounds opening a connection to a host, as the host may be frozen.
	dialTimeout = 2 * time.Second
	// requestTimeout exceeds the deadline of services, so that the host's error arrives before the client gives up.
	requestTimeout = 7 * time.Second
)

// Statements of the workload.
const (
	sqlInsert        = `INSERT INTO orders (id, team, "user", note) VALUES ($1, $2, $3, $4)`
	sqlLookup        = `SELECT id FROM orders WHERE id = $1`
	sqlCount         = `SELECT count(*) FROM orders WHERE team = $1 AND "user" = $2`
	sqlCreateCounter = `INSERT INTO accounts (id, balance) VALUES ($1, 0) ON CONFLICT DO NOTHING`
	sqlAddToCounter  = `UPDATE accounts SET balance = balance + $1 WHERE id = $2`
)

// client runs the requests of one session and holds its connections by host address.
type client struct {
	runner   *Runner
	session  ident.Session
	key      string
	schedule *Schedule
	index    int
	conns    map[string]*pgx.Conn
}

func newClient(r *Runner, index int, s Session) *client {
	return &client{
		runner: r, index: index, session: s.Session, key: s.Key, conns: make(map[string]*pgx.Conn),
		schedule: NewSchedule(r.opts.Seed, index, s.Session, r.opts.Mix),
	}
}

// counterID returns the id of a session's counter.
func counterID(s ident.Session) string {
	return fmt.Sprintf("%s/%s", s.Team, s.User)
}

// Connect opens a connection for a session to the host at an address.
func Connect(ctx context.Context, address string, session ident.Session, key string, simple bool) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	host, port, err := splitAddress(address)
	if err != nil {
		return nil, err
	}
	config.Host, config.Port = host, port
	config.Database, config.User, config.Password = string(session.Service), string(session.User), key
	config.ConnectTimeout = dialTimeout
	config.Fallbacks = nil
	if simple {
		config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: relay.CallerIP}}
	config.DialFunc = dialer.DialContext
	return pgx.ConnectConfig(ctx, config)
}

// conn returns the connection to a host. It replaces a connection that the host has closed, as a driver's pool does.
func (c *client) conn(ctx context.Context, address string) (*pgx.Conn, error) {
	if conn := c.conns[address]; conn != nil {
		//nolint:staticcheck // Ping runs a statement, which the host would count against the team's rate.
		if !conn.IsClosed() && conn.PgConn().CheckConn() == nil {
			return conn, nil
		}
		c.closeConn(ctx, address)
	}
	conn, err := Connect(ctx, address, c.session, c.key, c.runner.opts.Simple)
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *client) closeConn(ctx context.Context, address string) {
	if conn := c.conns[address]; conn != nil {
		conn.Close(ctx)
		delete(c.conns, address)
	}
}

func (c *client) close() {
	ctx, stop := context.WithTimeout(context.Background(), dialTimeout)
	defer stop()
	for address := range c.conns {
		c.closeConn(ctx, address)
	}
}

// pickArgument returns the argument for Options.Pick: the session's index if sessions are sticky, else random.
func (c *client) pickArgument(random int) int {
	if c.runner.opts.Sticky {
		return c.index
	}
	return random
}

// createCounter creates the session's counter; it retries at hosts that Options.Pick returns until ctx ends.
func (c *client) createCounter(ctx context.Context) error {
	var last error
	for ctx.Err() == nil {
		address := c.runner.opts.Pick(c.pickArgument(c.schedule.random.IntN(1 << 16)))
		conn, err := c.conn(ctx, address)
		if err == nil {
			_, err = conn.Exec(ctx, sqlCreateCounter, counterID(c.session))
		}
		if err == nil {
			return nil
		}
		last = err
		c.closeConn(ctx, address)
		time.Sleep(retryPause)
	}
	return fmt.Errorf("session %s could not create its counter: %w", c.session, last)
}

// do runs one request and adds its result to the history.
func (c *client) do(r Request) Sample {
	ctx, stop := context.WithTimeout(context.Background(), requestTimeout)
	defer stop()
	address := c.runner.opts.Pick(c.pickArgument(r.Host))
	started := time.Now()
	span := history.Span{Start: c.runner.log.NextSequence()}
	conn, err := c.conn(ctx, address)
	sent := err == nil
	found := 0
	outcome := history.NotRun
	if sent {
		switch r.Kind {
		case Insert:
			err = c.insert(ctx, conn, r.IDs[0])
			outcome = Classify(err)
		case Transaction:
			outcome, err = c.transaction(ctx, conn, r.IDs)
		case Lookup:
			found, err = c.lookup(ctx, conn, r.IDs[0])
		case Count:
			err = conn.QueryRow(ctx, sqlCount, string(c.session.Team), string(c.session.User)).Scan(&found)
		}
	}
	span.End = c.runner.log.NextSequence()
	elapsed := time.Since(started)
	c.record(r, span, found, outcome, err)
	// A connection that is closed or within a transaction can't be used for the next request.
	if err != nil && conn != nil && (conn.IsClosed() || conn.PgConn().TxStatus() != 'I') {
		c.closeConn(ctx, address)
	}
	return Sample{Session: c.session, Address: address, Kind: r.Kind, At: c.runner.now(), Elapsed: elapsed, Code: Code(err), Err: err}
}

func (c *client) insert(ctx context.Context, conn *pgx.Conn, id string) error {
	_, err := conn.Exec(ctx, sqlInsert, id, string(c.session.Team), string(c.session.User), "insert")
	return err
}

// transaction returns NotRun for failures before COMMIT is sent, other than duplicates, since an uncommitted transaction has
// no effect.
func (c *client) transaction(ctx context.Context, conn *pgx.Conn, ids []string) (history.Outcome, error) {
	tx, err := conn.Begin(ctx)
	if err != nil {
		return history.NotRun, err
	}
	for _, id := range ids {
		if _, err = tx.Exec(ctx, sqlInsert, id, string(c.session.Team), string(c.session.User), "transaction"); err != nil {
			return notCommitted(err), err
		}
	}
	if _, err = tx.Exec(ctx, sqlAddToCounter, len(ids), counterID(c.session)); err != nil {
		return notCommitted(err), err
	}
	err = tx.Commit(ctx)
	return Classify(err), err
}

func notCommitted(err error) history.Outcome {
	if Classify(err) == history.Duplicate {
		return history.Duplicate
	}
	return history.NotRun
}

func (c *client) lookup(ctx context.Context, conn *pgx.Conn, id string) (int, error) {
	rows, err := conn.Query(ctx, sqlLookup, id)
	if err != nil {
		return 0, err
	}
	defer rows.Close()
	found := 0
	for rows.Next() {
		var got string
		if err := rows.Scan(&got); err != nil {
			return 0, err
		}
		if got != id {
			return 0, &WrongAnswerError{Wanted: id, Got: got}
		}
		found++
	}
	return found, rows.Err()
}

// WrongAnswerError reports that a session received the answer to another request.
type WrongAnswerError struct {
	Wanted, Got string
}

func (e *WrongAnswerError) Error() string {
	return fmt.Sprintf("asked for record %s and got %s", e.Wanted, e.Got)
}

func (c *client) record(r Request, span history.Span, found int, outcome history.Outcome, err error) {
	log := c.runner.log
	switch r.Kind {
	case Insert, Transaction:
		w := history.Write{
			Span: span, Session: c.session, IDs: r.IDs, Counted: r.Kind == Transaction, Outcome: outcome, At: c.runner.now(),
		}
		if err != nil {
			w.Cause = err.Error()
		}
		log.Add(w)
	case Lookup:
		if err == nil {
			log.Add(history.Read{Span: span, Session: c.session, ID: r.IDs[0], Found: found, At: c.runner.now()})
		}
	case Count:
		if err == nil {
			log.Add(history.Count{Span: span, Session: c.session, Found: found})
		}
	}
}
