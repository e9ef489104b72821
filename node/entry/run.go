package entry

import (
	"context"
	"errors"
	"time"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/wire"
)

const (
	// retryPause is the time before upstreams that had no room, lagged or were not the primary are asked again.
	retryPause = 25 * time.Millisecond
	// readTimeout bounds one try of a read that can be repeated on another upstream.
	readTimeout = 500 * time.Millisecond
)

// work is a statement to run on an upstream.
type work struct {
	id string
	// text is the statement as the caller sent it, empty for a prepared one.
	text string
	// definition and arguments are those of a prepared statement.
	definition *statement.Prepared
	arguments  string
	writes     bool
}

// textOn returns the statement for a connection, on which the session's state has been prepared.
func (w *work) textOn(name string, since ident.Position) string {
	if w.definition != nil {
		return wire.TextSince(since, wire.TextExecute(name, w.arguments))
	}
	return wire.TextSince(since, w.text)
}

func (s *session) context(route *catalog.Route) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), route.Timeout)
}

// pauseOrEnd waits before the next round of tries; false says that the time is up.
func pauseOrEnd(ctx context.Context) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// left returns the time until the end of ctx, at most limit.
func left(ctx context.Context, limit time.Duration) time.Duration {
	if end, found := ctx.Deadline(); found {
		return min(limit, time.Until(end))
	}
	return limit
}

// refusal is the answer to a statement that did not run in time.
func refusal(o *operation, last error) *statement.Failure {
	reason := "no upstream had room in time"
	if last != nil {
		reason = last.Error()
	}
	return &statement.Failure{Code: statement.CodeBusy, Text: reason + retryText(o.route)}
}

// try runs a statement on a connection after the session's state. Ran says that the upstream may have run it.
func (s *session) try(conn *upstream.Conn, w *work, since ident.Position, timeout time.Duration) (result statement.Result, ran bool, err error) {
	name, err := conn.Prepare(upstream.Session{Values: s.values}, w.definition)
	if err != nil {
		return result, false, err
	}
	result, err = conn.Run(w.id, w.textOn(name, since), timeout)
	return result, true, err
}

// readOnce runs a single read wherever the data is fresh enough.
func (s *session) readOnce(o *operation, w work) (statement.Result, *statement.Failure) {
	ctx, cancel := s.context(o.route)
	defer cancel()
	if o.route.Kind == catalog.KindPrimary {
		return s.readPrimary(ctx, o, w)
	}
	var last error
	for {
		since, err := s.since(ctx, o)
		if err != nil {
			last = err
		} else {
			for _, candidate := range s.server.options.Table.Candidates(o.route, o.team) {
				result, err := s.readOn(ctx, candidate.Pool, o, w, since)
				if err == nil {
					return result, nil
				}
				var failure *statement.Failure
				if errors.As(err, &failure) && (failure.Code == statement.CodeFailed || failure.Code == statement.CodeTimeout) {
					return result, failure
				}
				last = err
				if ctx.Err() != nil {
					return result, refusal(o, last)
				}
			}
		}
		if lagsEverywhere(last) {
			// A position of the session may have been rolled back by a promotion; the primary holds all that counts.
			return s.readPrimary(ctx, o, w)
		}
		if !pauseOrEnd(ctx) {
			return statement.Result{}, refusal(o, last)
		}
	}
}

func lagsEverywhere(last error) bool {
	var failure *statement.Failure
	return errors.As(last, &failure) && failure.Code == statement.CodeLagging
}

// since returns the position that a read of a bounded or session route needs.
func (s *session) since(ctx context.Context, o *operation) (ident.Position, error) {
	since, err := s.server.options.Table.Since(ctx, o.route, o.team, o.began.Add(-o.route.Staleness))
	if err != nil {
		return since, err
	}
	if o.route.Kind == catalog.KindSession {
		if own := s.seen[o.route.Service]; since.Less(own) {
			return own, nil
		}
	}
	return since, nil
}

// readOn tries a read on one upstream; every failure leaves it free to be tried elsewhere.
func (s *session) readOn(ctx context.Context, pool *upstream.Pool, o *operation, w work, since ident.Position) (statement.Result, error) {
	conn, err := pool.Get(ctx, o.teamName(), o.priority())
	if err != nil {
		return statement.Result{}, err
	}
	result, _, err := s.try(conn, &w, since, left(ctx, readTimeout))
	if err != nil {
		s.give(conn, err)
		return result, err
	}
	pool.Answered(steady.Now())
	conn.Release()
	if result.Failure != nil {
		return result, result.Failure
	}
	return result, nil
}

// give returns a connection after an error.
func (s *session) give(conn *upstream.Conn, err error) {
	var broken *upstream.BrokenError
	if errors.As(err, &broken) {
		s.server.options.Table.Broken(conn)
		conn.Break()
		return
	}
	conn.Release()
}

// readPrimary runs a single read inside a transaction: only an upstream that still leads opens one, and a read after its
// lead has ended fails there, so that the read sees everything acknowledged before.
func (s *session) readPrimary(ctx context.Context, o *operation, w work) (statement.Result, *statement.Failure) {
	var last error
	for {
		result, err := s.readInside(ctx, o, w)
		if err == nil {
			return result, nil
		}
		var failure *statement.Failure
		if errors.As(err, &failure) && (failure.Code == statement.CodeFailed || failure.Code == statement.CodeTimeout) {
			return result, failure
		}
		last = err
		s.server.options.Table.Suspect()
		if !pauseOrEnd(ctx) {
			return result, refusal(o, last)
		}
	}
}

func (s *session) readInside(ctx context.Context, o *operation, w work) (statement.Result, error) {
	conn, err := s.beginPrimary(ctx, o)
	if err != nil {
		return statement.Result{}, err
	}
	result, _, err := s.try(conn, &w, ident.Position{}, left(ctx, readTimeout))
	if err != nil {
		s.give(conn, err)
		return result, err
	}
	if result.Failure != nil {
		conn.Release()
		return result, result.Failure
	}
	conn.ReleaseLater()
	return result, nil
}

// errNoPrimary reports a service without a primary to use.
var errNoPrimary = errors.New("the service has no primary at the moment")

// beginPrimary opens a transaction on the primary and learns its position.
func (s *session) beginPrimary(ctx context.Context, o *operation) (*upstream.Conn, error) {
	table := s.server.options.Table
	pool := table.Primary(o.route, o.team)
	if pool == nil {
		return nil, errNoPrimary
	}
	conn, err := pool.Get(ctx, o.teamName(), o.priority())
	if err != nil {
		return nil, err
	}
	if _, err := conn.Prepare(upstream.Session{Values: s.values}, nil); err != nil {
		s.give(conn, err)
		return nil, err
	}
	asOf := steady.Now()
	result, err := conn.Begin()
	if err != nil {
		s.give(conn, err)
		return nil, err
	}
	pool.Answered(steady.Now())
	table.Learn(o.route.Service, result.Position, asOf)
	return conn, nil
}

// write runs a single write on the primary, at most once.
func (s *session) write(o *operation, w work) (statement.Result, *statement.Failure) {
	ctx, cancel := s.context(o.route)
	defer cancel()
	table := s.server.options.Table
	var last error
	for {
		result, ran, err := s.writeOnce(ctx, o, w)
		var failure *statement.Failure
		switch {
		case err == nil:
			return result, nil
		case errors.As(err, &failure) && failure.Code.Promises():
			// It has not run; another try may.
		case errors.As(err, &failure) && ran:
			return result, failure
		case ran:
			return result, &statement.Failure{Code: statement.CodeInDoubt, Text: err.Error()}
		}
		last = err
		table.Suspect()
		if !pauseOrEnd(ctx) {
			return result, refusal(o, last)
		}
	}
}

func (s *session) writeOnce(ctx context.Context, o *operation, w work) (statement.Result, bool, error) {
	table := s.server.options.Table
	pool := table.Primary(o.route, o.team)
	if pool == nil {
		return statement.Result{}, false, errNoPrimary
	}
	conn, err := pool.Get(ctx, o.teamName(), o.priority())
	if err != nil {
		return statement.Result{}, false, err
	}
	asOf := steady.Now()
	result, ran, err := s.try(conn, &w, ident.Position{}, o.route.Timeout)
	if err != nil {
		s.give(conn, err)
		return result, ran, err
	}
	pool.Answered(steady.Now())
	conn.Release()
	if result.Failure != nil {
		return result, true, result.Failure
	}
	table.Learn(o.route.Service, result.Position, asOf)
	s.commitSeen(o.route.Service, result.Position)
	return result, true, nil
}

// inside runs a statement of an open transaction, which gets its upstream with the first one.
func (s *session) inside(w work) (statement.Result, *statement.Failure) {
	ctx, cancel := s.context(s.tx.route)
	defer cancel()
	if s.tx.conn == nil {
		if failure := s.open(ctx, w.writes); failure != nil {
			return statement.Result{}, failure
		}
	}
	for {
		asOf := steady.Now()
		result, _, err := s.try(s.tx.conn, &w, ident.Position{}, s.tx.route.Timeout)
		if err != nil {
			return result, s.lost(err)
		}
		s.tx.contact(s, asOf, result)
		if result.Failure == nil {
			return result, nil
		}
		if result.Failure.Code == statement.CodeBusy && result.State == statement.StateTransaction && pauseOrEnd(ctx) {
			continue
		}
		return result, s.failed(result.Failure)
	}
}

// contact notes what an answer inside a transaction tells about its upstream.
func (tx *transaction) contact(s *session, asOf ident.Time, result statement.Result) {
	table := s.server.options.Table
	table.Answered(tx.conn)
	if tx.onPrimary && result.Failure == nil {
		table.Learn(tx.route.Service, result.Position, asOf)
	}
}

// lost is the answer when the connection of a transaction broke before its commit was sent: the upstream rolls it back.
func (s *session) lost(err error) *statement.Failure {
	s.give(s.tx.conn, err)
	s.tx.conn = nil
	var failure *statement.Failure
	if errors.As(err, &failure) && failure.Code.Promises() {
		return failure
	}
	return &statement.Failure{Code: statement.CodeAborted, Text: err.Error()}
}

// failed is the answer to a statement that its upstream refused inside a transaction, which is rolled back. A failure that
// is not known here is told as the end of the transaction.
func (s *session) failed(failure *statement.Failure) *statement.Failure {
	if failure.Code == statement.CodeNone {
		return &statement.Failure{Code: statement.CodeAborted, Text: failure.Text}
	}
	return failure
}

// open gives a transaction its upstream.
func (s *session) open(ctx context.Context, writes bool) *statement.Failure {
	tx := s.tx
	tx.onPrimary = !tx.readOnly || writes || tx.route.Kind == catalog.KindPrimary
	var last error
	for {
		var err error
		if tx.onPrimary {
			tx.conn, err = s.beginPrimary(ctx, &tx.operation)
			if err != nil {
				s.server.options.Table.Suspect()
			}
		} else {
			tx.conn, err = s.beginReplica(ctx)
		}
		if err == nil {
			return nil
		}
		last = err
		if lagsEverywhere(err) {
			tx.onPrimary = true
		}
		if !pauseOrEnd(ctx) {
			return refusal(&tx.operation, last)
		}
	}
}

// beginReplica opens a transaction without writes wherever the data is fresh enough.
func (s *session) beginReplica(ctx context.Context) (*upstream.Conn, error) {
	tx := s.tx
	since, err := s.since(ctx, &tx.operation)
	if err != nil {
		return nil, err
	}
	last := error(errNoPrimary)
	for _, candidate := range s.server.options.Table.Candidates(tx.route, tx.team) {
		conn, err := candidate.Pool.Get(ctx, tx.teamName(), tx.priority())
		if err != nil {
			last = err
			continue
		}
		if _, err = conn.Prepare(upstream.Session{Values: s.values}, nil); err == nil {
			_, err = conn.BeginRead(since)
		}
		if err == nil {
			candidate.Pool.Answered(steady.Now())
			return conn, nil
		}
		s.give(conn, err)
		last = err
	}
	return nil, last
}

// commit passes the caller's commit on; its outcome is unknown when the answer is lost and something was written.
func (s *session) commit(query *wire.Query) (statement.Result, *statement.Failure) {
	tx := s.tx
	ctx, cancel := s.context(tx.route)
	defer cancel()
	if tx.conn == nil {
		if failure := s.open(ctx, false); failure != nil {
			return statement.Result{}, failure
		}
	}
	for {
		asOf := steady.Now()
		result, err := tx.conn.Run(query.ID, query.Text, tx.route.Timeout)
		if err != nil {
			failure := s.lost(err)
			if tx.wrote {
				failure = &statement.Failure{Code: statement.CodeInDoubt, Text: err.Error()}
			}
			return result, failure
		}
		tx.contact(s, asOf, result)
		if result.Failure == nil {
			return result, nil
		}
		if result.Failure.Code == statement.CodeBusy && result.State == statement.StateTransaction && pauseOrEnd(ctx) {
			continue
		}
		if result.Failure.Code == statement.CodeNone && tx.wrote {
			return result, &statement.Failure{Code: statement.CodeInDoubt, Text: result.Failure.Text}
		}
		return result, s.failed(result.Failure)
	}
}
