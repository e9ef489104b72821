package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/routing"
	"tamarackshunt.dev/node/upstream"
)

// readTimeout bounds one attempt of a read that can be repeated on another upstream, without its wait for its turn.
const readTimeout = 400 * time.Millisecond

// work is a statement to run on an upstream.
type work struct {
	id string
	// text is the statement as the caller sent it, or the arguments of a prepared one.
	text string
	// definition is the definition of a prepared statement, or nil if the statement is not a prepared one.
	definition *statement.Prepared
	writes     bool
}

// newUse returns the upstream.Use of a statement. The zero work has no statement and only opens a transaction.
func (s *session) newUse(o *operation, w *work, timeout time.Duration) upstream.Use {
	use := upstream.Use{Key: o.permit.Key, Values: s.values, Prepared: w.definition, ID: w.id, Text: w.text, Timeout: timeout}
	use.Within, use.Late = o.within()
	return use
}

// timeLeft returns the time until the deadline of ctx, but at most limit.
func timeLeft(ctx context.Context, limit time.Duration) time.Duration {
	if end, found := ctx.Deadline(); found {
		return min(limit, time.Until(end))
	}
	return limit
}

// execute runs a use on an executor and records the attempt.
func (s *session) execute(ctx context.Context, executor upstream.Executor, use upstream.Use) (upstream.Outcome, error) {
	outcome, err := executor.Execute(ctx, use)
	s.sent = s.sent || outcome.Ran
	s.recordTry(executor.Target().Upstream, outcome, err)
	return outcome, err
}

// resultOf returns the result of an attempt, and a failure of the statement as the error.
func resultOf(outcome upstream.Outcome, err error) (statement.Result, error) {
	if err == nil && outcome.Result.Failure != nil {
		err = outcome.Result.Failure
	}
	return outcome.Result, err
}

// singleRead runs a read outside a transaction, on any upstream whose data is fresh enough for the route.
func (s *session) singleRead(o *operation, w work) (statement.Result, *statement.Failure) {
	ctx, cancel := o.requestContext()
	defer cancel()
	tries := s.newAttempts(o)
	if o.route.Kind == catalog.KindPrimary {
		return s.readPrimary(ctx, o, w, tries)
	}
	outcome, _, err := s.onReplica(ctx, o, replicaUse{Use: s.newUse(o, &w, readTimeout)}, tries)
	if isLagging(err) {
		// A promotion may have rolled back a position of the session. The primary holds every write that still counts.
		return s.readPrimary(ctx, o, w, tries)
	}
	if err == nil {
		return outcome.Result, nil
	}
	if failure := executionFailure(err); failure != nil {
		return outcome.Result, failure
	}
	return outcome.Result, busyFailure(o, err)
}

// errNoCandidate reports a read that no known upstream may run.
var errNoCandidate = errors.New("no upstream that may run the read is known to hold what it needs")

// replicaUse is a use that any upstream whose data is fresh enough may run.
type replicaUse struct {
	upstream.Use
	// opens is set if the use opens a transaction. Otherwise it is a single read, which can be repeated if its outcome is unknown.
	opens bool
}

// isFinal reports whether a failed attempt must not be repeated on another upstream.
func (u *replicaUse) isFinal(outcome upstream.Outcome, err error) bool {
	if u.opens {
		return outcome.Ran
	}
	return executionFailure(err) != nil
}

// replica is an upstream that was chosen for a read.
type replica struct {
	pool *upstream.Pool
	// others is set if there are further ones.
	others bool
	// since is the position that the read needs.
	since ident.Position
}

// onReplica tries a use on one upstream after the other until one has run it, and returns the executor. The error has CodeLagging if the
// use is left to the primary.
func (s *session) onReplica(
	ctx context.Context, o *operation, use replicaUse, tries *attempts,
) (upstream.Outcome, upstream.Executor, error) {
	var refusedBy *upstream.Pool
	var refusal error
	for {
		tries.begin()
		var outcome upstream.Outcome
		chosen, err := s.chooseReplica(ctx, o, refusedBy)
		if err == nil {
			executor := s.server.options.Table.Executor(chosen.pool, o.route, o.team)
			outcome, err = s.tryReplica(ctx, o, use, executor, chosen.since)
			if err == nil || use.isFinal(outcome, err) {
				return outcome, executor, err
			}
		}
		err = withEarlierRetry(refusal, err)
		move, again := tries.next(ctx, err, chosen.others && refusedBy == nil)
		if !again {
			return outcome, nil, err
		}
		refusedBy, refusal = nil, nil
		if move {
			refusedBy, refusal = chosen.pool, err
		}
	}
}

// tryReplica tries a use once. A failure of a single read is the error.
func (s *session) tryReplica(
	ctx context.Context, o *operation, use replicaUse, executor upstream.Executor, since ident.Position,
) (upstream.Outcome, error) {
	use.Since = since
	use.Within, use.Late = o.within()
	if use.opens {
		return s.execute(ctx, executor, use.Use)
	}
	use.Timeout = timeLeft(ctx, use.Timeout)
	outcome, err := s.execute(ctx, executor, use.Use)
	_, err = resultOf(outcome, err)
	return outcome, err
}

// chooseReplica returns the first upstream that may run a read, but not the one that has refused it just now.
func (s *session) chooseReplica(ctx context.Context, o *operation, refusedBy *upstream.Pool) (replica, error) {
	since, err := s.since(ctx, o)
	if err != nil {
		return replica{}, err
	}
	candidates := s.server.options.Table.Candidates(o.route, o.team, since)
	candidates = slices.DeleteFunc(candidates, func(c routing.Candidate) bool { return c.Pool == refusedBy })
	if len(candidates) == 0 {
		return replica{}, errNoCandidate
	}
	return replica{pool: candidates[0].Pool, others: len(candidates) > 1, since: since}, nil
}

// executionFailure returns the failure of a statement that ran and would fail the same way on another upstream, or nil.
func executionFailure(err error) *statement.Failure {
	var failure *statement.Failure
	if errors.As(err, &failure) && (failure.Code == statement.CodeFailed || failure.Code == statement.CodeTimeout) {
		return failure
	}
	return nil
}

// isLagging reports whether an upstream lacked the position that a read needs.
func isLagging(last error) bool {
	var failure *statement.Failure
	return errors.As(last, &failure) && failure.Code == statement.CodeLagging
}

// since returns the position that a read of a bounded or session route needs.
func (s *session) since(ctx context.Context, o *operation) (ident.Position, error) {
	since, err := s.server.options.Table.Since(ctx, o.route, o.team, o.began.Add(-o.route.Staleness))
	if err != nil {
		return since, err
	}
	if own := s.lastCommits[o.route.Service]; o.route.Kind == catalog.KindSession && since.Less(own) {
		since = own
	}
	s.recordNeededPosition(since)
	return since, nil
}

// readPrimary runs a read inside a transaction on the primary. Only an upstream that is still the primary opens a transaction,
// and the read fails if it is demoted before the read. The read therefore sees every write acknowledged before it.
func (s *session) readPrimary(ctx context.Context, o *operation, w work, tries *attempts) (statement.Result, *statement.Failure) {
	for {
		tries.begin()
		result, err := s.readInTransaction(ctx, o, w)
		if err == nil {
			return result, nil
		}
		if failure := executionFailure(err); failure != nil {
			return result, failure
		}
		s.server.options.Table.RequestRefresh()
		if _, again := tries.next(ctx, err, false); !again {
			return result, busyFailure(o, err)
		}
	}
}

// readInTransaction tries a read once on the primary, inside a transaction.
func (s *session) readInTransaction(ctx context.Context, o *operation, w work) (statement.Result, error) {
	use := s.newUse(o, &w, timeLeft(ctx, readTimeout))
	executor, err := s.primary(o)
	if err != nil {
		return statement.Result{}, err
	}
	return resultOf(s.openOnPrimary(ctx, executor, o, use))
}

// errNoPrimary reports a service without a usable primary.
var errNoPrimary = errors.New("the service has no primary at the moment")

// primary returns an executor for the primary.
func (s *session) primary(o *operation) (upstream.Executor, error) {
	table := s.server.options.Table
	pool := table.Primary(o.route, o.team)
	if pool == nil {
		return nil, errNoPrimary
	}
	return table.Executor(pool, o.route, o.team), nil
}

// openOnPrimary opens a transaction on the primary, records the primary's position, and runs the use's statement inside.
func (s *session) openOnPrimary(
	ctx context.Context, executor upstream.Executor, o *operation, use upstream.Use,
) (upstream.Outcome, error) {
	use.Opening = upstream.OpenPrimary
	asOf := steady.Now()
	outcome, err := s.execute(ctx, executor, use)
	s.server.options.Table.RecordPosition(o.route.Service, outcome.Opened, asOf)
	return outcome, err
}

// singleWrite runs a write outside a transaction on the primary, at most once.
func (s *session) singleWrite(o *operation, w work) (statement.Result, *statement.Failure) {
	ctx, cancel := o.requestContext()
	defer cancel()
	tries := s.newAttempts(o)
	for {
		tries.begin()
		result, ran, err := s.tryWrite(ctx, o, w)
		var failure *statement.Failure
		switch {
		case err == nil:
			return result, nil
		case errors.As(err, &failure) && failure.Code.NoEffect():
			// The write has not run, so it may be tried again.
		case errors.As(err, &failure) && ran:
			return result, failure
		case ran:
			return result, &statement.Failure{Code: statement.CodeInDoubt, Text: err.Error()}
		}
		s.server.options.Table.RequestRefresh()
		if _, again := tries.next(ctx, err, false); !again {
			return result, busyFailure(o, err)
		}
	}
}

// tryWrite tries a write once. It also returns whether the write may have run.
func (s *session) tryWrite(ctx context.Context, o *operation, w work) (statement.Result, bool, error) {
	executor, err := s.primary(o)
	if err != nil {
		return statement.Result{}, false, err
	}
	asOf := steady.Now()
	outcome, err := s.execute(ctx, executor, s.newUse(o, &w, o.route.Timeout))
	if err != nil {
		return outcome.Result, outcome.Ran, err
	}
	if outcome.Result.Failure != nil {
		return outcome.Result, true, outcome.Result.Failure
	}
	s.server.options.Table.RecordPosition(o.route.Service, outcome.Result.Position, asOf)
	s.recordCommit(o.route.Service, outcome.Result.Position)
	return outcome.Result, true, nil
}

// runInTransaction runs a statement of an open transaction. The first statement selects the transaction's upstream.
func (s *session) runInTransaction(w work) (statement.Result, *statement.Failure) {
	ctx, cancel := s.tx.requestContext()
	defer cancel()
	use := s.newUse(&s.tx.operation, &w, s.tx.route.Timeout)
	use.Keep = true
	return s.runStep(ctx, use, w.writes)
}

// commit sends the caller's commit to the transaction's upstream.
func (s *session) commit(query *statement.Query) (statement.Result, *statement.Failure) {
	ctx, cancel := s.tx.requestContext()
	defer cancel()
	use := s.newUse(&s.tx.operation, &work{id: query.ID, text: query.Text}, s.tx.route.Timeout)
	return s.runStep(ctx, use, false)
}

// runStep runs one statement or the commit of a transaction. After a failure the transaction is rolled back.
func (s *session) runStep(ctx context.Context, use upstream.Use, writes bool) (statement.Result, *statement.Failure) {
	tx := s.tx
	tries := s.newAttempts(&tx.operation)
	for {
		tries.begin()
		asOf := steady.Now()
		outcome, err := s.tryStep(ctx, use, writes, tries)
		if err != nil {
			s.tx.executor = nil
			return outcome.Result, tx.failure(err, use, outcome.Ran)
		}
		failure := outcome.Result.Failure
		if failure == nil {
			if tx.provesPrimary(use.Keep) {
				s.server.options.Table.RecordPosition(tx.route.Service, outcome.Result.Position, asOf)
			}
			return outcome.Result, nil
		}
		if failure.Code == statement.CodeBusy && use.Keep && outcome.Result.State == statement.StateTransaction {
			if _, again := tries.next(ctx, failure, false); again {
				continue
			}
		}
		return outcome.Result, tx.failure(failure, use, true)
	}
}

// provesPrimary reports whether the success of a step proves that its upstream was the primary when it ran the step. A deposed primary
// refuses each statement of a transaction that may write, and its commit, unless the transaction has written nothing.
func (t *transaction) provesPrimary(isStatement bool) bool {
	return t.onPrimary && (isStatement || t.wrote)
}

// tryStep runs a statement on the transaction's executor. The first statement selects the executor and opens the transaction.
func (s *session) tryStep(ctx context.Context, use upstream.Use, writes bool, tries *attempts) (upstream.Outcome, error) {
	if s.tx.executor != nil {
		return s.execute(ctx, s.tx.executor, use)
	}
	return s.runFirst(ctx, use, writes, tries)
}

// failure returns the failure of a statement inside a transaction. The upstream rolls the transaction back and keeps
// none of its writes, unless the statement was a commit of writes that may have run. The upstream's own message is passed on if
// there is one.
func (t *transaction) failure(err error, use upstream.Use, ran bool) *statement.Failure {
	text := err.Error()
	var failure *statement.Failure
	if errors.As(err, &failure) && ran {
		text = failure.Text
	}
	commits := !use.Keep
	switch {
	case failure != nil && failure.Code == statement.CodeBusy:
		return &statement.Failure{Code: statement.CodeBusy, Text: failure.Text, Retry: returnTime(&t.operation, failure)}
	case failure != nil && failure.Code.NoEffect():
		return failure
	case commits && ran && t.wrote:
		return &statement.Failure{Code: statement.CodeInDoubt, Text: text}
	case failure != nil && ran && failure.Code != statement.CodeNone:
		return failure
	}
	return &statement.Failure{Code: statement.CodeAborted, Text: text}
}

// runFirst selects the upstream of a transaction and runs the first statement there. As long as the statement can't have run,
// it is tried again, also on other upstreams.
func (s *session) runFirst(ctx context.Context, use upstream.Use, writes bool, tries *attempts) (upstream.Outcome, error) {
	tx := s.tx
	tx.onPrimary = !tx.readOnly || writes || tx.route.Kind == catalog.KindPrimary
	if !tx.onPrimary {
		outcome, err := s.runFirstOnReplica(ctx, use, tries)
		if err == nil || outcome.Ran {
			return outcome, err
		}
		if !isLagging(err) {
			return outcome, busyFailure(&tx.operation, err)
		}
		tx.onPrimary = true
	}
	for {
		tries.begin()
		outcome, err := s.runFirstOnPrimary(ctx, use)
		if err == nil || outcome.Ran {
			return outcome, err
		}
		s.server.options.Table.RequestRefresh()
		if _, again := tries.next(ctx, err, false); !again {
			return outcome, busyFailure(&tx.operation, err)
		}
	}
}

// runFirstOnPrimary opens the transaction on the primary and runs the first statement there.
func (s *session) runFirstOnPrimary(ctx context.Context, use upstream.Use) (upstream.Outcome, error) {
	executor, err := s.primary(&s.tx.operation)
	if err != nil {
		return upstream.Outcome{}, err
	}
	use.Within, use.Late = s.tx.within()
	outcome, err := s.openOnPrimary(ctx, executor, &s.tx.operation, use)
	if err == nil {
		s.tx.executor = executor
	}
	return outcome, err
}

// runFirstOnReplica opens a read-only transaction on an upstream whose data is fresh enough and runs the first statement there.
func (s *session) runFirstOnReplica(ctx context.Context, use upstream.Use, tries *attempts) (upstream.Outcome, error) {
	use.Opening = upstream.OpenRead
	outcome, executor, err := s.onReplica(ctx, &s.tx.operation, replicaUse{Use: use, opens: true}, tries)
	if err == nil {
		s.tx.executor = executor
	}
	return outcome, err
}
