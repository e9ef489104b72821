package entry

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/host/gate"
	"tamarackshunt.dev/node/upstream"
)

const (
	// defaultIdleTransaction bounds the idle time of a transaction if the configuration does not.
	defaultIdleTransaction = 10 * time.Second
	// lastReadTimeout is how long a session that a shutdown ends still reads. A request that had arrived by then is answered.
	lastReadTimeout = 20 * time.Millisecond
)

// activity is what a session is doing, as far as a shutdown needs to know.
type activity int32

const (
	activityBusy activity = iota
	activityIdle
	activityInTransaction
)

// session is the session of one caller. Only the goroutine of serve uses it, except for raw, activity and ending, which a
// shutdown uses as well, and open, which a lost key does.
type session struct {
	server *Server
	raw    *gate.Session
	caller Caller
	// activity is read and ending is set by a shutdown.
	activity atomic.Int32
	ending   atomic.Bool

	start statement.Start
	// key identifies the key of start.
	key   catalog.KeyID
	state statement.State
	// values are the settings that the caller has made, and prepared its prepared statements, by name.
	values   map[string]string
	prepared map[string]statement.Prepared
	// kept counts values and prepared against the session's limits.
	kept budget.State
	// lastCommits holds the position of the session's own last commit on each service.
	lastCommits map[ident.Service]ident.Position
	tx          *transaction
	// open is the open transaction, as far as a lost key needs to know. Guarded by mu.
	mu   sync.Mutex
	open *transaction
	// abortReason is set if the host has rolled back an idle transaction; it is the text of the failure of the next request.
	abortReason string

	// sent is set once a statement of the current operation may have reached an upstream.
	sent bool
	// began is when the current request was read; attemptLog lists the attempts to run it.
	began      ident.Time
	attemptLog []string
}

// transaction is an open transaction of the caller. Its executor is nil until the first statement.
type transaction struct {
	operation
	readOnly bool
	executor upstream.Executor
	// onPrimary is set when the upstream has to be the primary.
	onPrimary bool
	wrote     bool
}

func newSession(server *Server, raw *gate.Session) *session {
	return &session{
		server:      server,
		raw:         raw,
		caller:      server.options.Protocol(raw),
		values:      map[string]string{},
		prepared:    map[string]statement.Prepared{},
		kept:        budget.NewState(server.options.Limits),
		lastCommits: map[ident.Service]ident.Position{},
	}
}

// endIfWaiting makes a session end if it waits for a request outside a transaction, or also inside one if includeTransactions
// is set. A shutdown calls it.
func (s *session) endIfWaiting(includeTransactions bool) {
	now := activity(s.activity.Load())
	if now == activityIdle || (includeTransactions && now == activityInTransaction) {
		s.ending.Store(true)
		_ = s.raw.SetReadDeadline(time.Now())
	}
}

// serve serves the session until its end.
func (s *session) serve() {
	defer func() { _ = s.raw.Close() }()
	defer s.dropTransaction()
	_ = s.raw.SetReadDeadline(time.Now().Add(s.server.options.Limits.Start))
	start, err := s.caller.ReadStart()
	if err != nil {
		return
	}
	_ = s.raw.SetReadDeadline(time.Time{})
	s.start, s.key = start, catalog.NewKeyID(start.Key)
	o, failure := s.authorize()
	if failure != nil {
		countFailure(failure)
		klog.V(1).InfoS("Session refused", "database", shortened(string(start.Database)), "code", failure.Code, "reason", failure.Text)
		_ = s.caller.Refuse(failure)
		return
	}
	s.raw.SetTeam(o.team.ID())
	if s.caller.Ready() != nil {
		return
	}
	for s.serveRequest() {
	}
}

// serveRequest reads and answers one request; it returns false at the end of the session.
func (s *session) serveRequest() bool {
	query, err := s.read()
	if s.ending.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		query, err = s.readLast()
	}
	if err != nil {
		return s.handleReadError(err)
	}
	s.began, s.attemptLog = steady.Now(), s.attemptLog[:0]
	if query.Request == nil {
		return s.fail(&query, malformed("this is not a request"))
	}
	copies, failure := s.takeCopies(&query)
	if failure != nil {
		return s.fail(&query, failure)
	}
	defer s.raw.Give(copies)
	if s.handle(&query) != nil {
		return false
	}
	return s.state != statement.StateIdle || !s.server.closing.Load()
}

// read waits for the next request. If a transaction holds an executor, the wait is bounded by idleTransactionLimit.
func (s *session) read() (statement.Query, error) {
	waiting := activityIdle
	var deadline time.Time
	if s.state != statement.StateIdle {
		waiting = activityInTransaction
	}
	if s.tx != nil && s.tx.executor != nil {
		deadline = time.Now().Add(s.idleTransactionLimit())
	}
	s.raw.Waiting(s.state != statement.StateIdle)
	_ = s.raw.SetReadDeadline(deadline)
	s.activity.Store(int32(waiting))
	if s.tx != nil && s.tx.lost() {
		// interrupt may have come before the session was seen to wait.
		_ = s.raw.SetReadDeadline(time.Now())
	}
	defer s.activity.Store(int32(activityBusy))
	return s.readQuery()
}

// readQuery reads the next request, of which a part may have arrived before.
func (s *session) readQuery() (statement.Query, error) {
	query, err := s.caller.ReadQuery()
	if err == nil {
		s.raw.Received()
	}
	return query, err
}

// readLast reads a request that arrived just before a shutdown interrupted the wait for it.
func (s *session) readLast() (statement.Query, error) {
	_ = s.raw.SetReadDeadline(time.Now().Add(lastReadTimeout))
	return s.readQuery()
}

// idleTransactionLimit returns how long a transaction may be idle.
func (s *session) idleTransactionLimit() time.Duration {
	if limit := s.server.options.Table.Catalog().IdleTransaction; limit > 0 {
		return limit
	}
	return defaultIdleTransaction
}

// handleReadError handles a failed read of a request. It rolls back a transaction that was idle for too long and returns true;
// otherwise the session ends and it returns false.
func (s *session) handleReadError(err error) bool {
	if s.raw.Overdue() {
		s.raw.CountClosed(reasonMessageUnfinished)
		return false
	}
	if s.ending.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		if !errors.Is(err, io.EOF) && !s.ending.Load() {
			klog.V(1).InfoS("Session ended", "database", shortened(string(s.start.Database)), "reason", err)
		}
		return false
	}
	if s.tx.lost() {
		s.endLostTransaction()
		return true
	}
	klog.InfoS("Transaction rolled back", "id", s.tx.id, "service", s.tx.route.Service, "upstream", s.tx.executor.Target().Upstream,
		"reason", "it was idle for too long", "limit", s.idleTransactionLimit())
	idleTransactionsEnded.Inc()
	s.dropTransaction()
	s.state, s.abortReason = statement.StateFailed, "the transaction rested for too long and was rolled back"
	return true
}

// dropTransaction ends an open transaction, if there is one; closing its executor rolls it back.
func (s *session) dropTransaction() {
	if s.tx == nil {
		return
	}
	if s.tx.executor != nil {
		s.tx.executor.Close()
	}
	s.refundUnsent(&s.tx.operation)
	s.closeTransaction()
}

var (
	operationsAnswered    = metrics.NewCounter("tamarack_entry_answered_total")
	idleTransactionsEnded = metrics.NewCounter("tamarack_entry_rested_transactions_total")
)

// latencies holds the histograms of the time to answer statements and commits, by the kind of their route.
var latencies = func() map[catalog.Kind]*metrics.Histogram {
	list := map[catalog.Kind]*metrics.Histogram{}
	for _, kind := range catalog.KindValues() {
		list[kind] = metrics.NewHistogram(fmt.Sprintf("tamarack_entry_answer_seconds{kind=%q}", kind))
	}
	return list
}()

// countFailure counts a failure by its code.
func countFailure(f *statement.Failure) {
	metrics.GetOrCreateCounter(fmt.Sprintf("tamarack_entry_failures_total{code=%q}", f.Code)).Inc()
}

// fail answers a request with a failure. It rolls back an open transaction, which the caller can then only end. It returns
// false if the caller can't be answered.
func (s *session) fail(query *statement.Query, failure *statement.Failure) bool {
	tx := s.tx
	if s.state != statement.StateIdle {
		s.dropTransaction()
		s.state = statement.StateFailed
	}
	return s.answerFailure(query, failure, tx)
}

// answerFailure answers a request of a transaction, which may be nil, with a failure, in the session's state. It returns false if the
// caller can't be answered.
func (s *session) answerFailure(query *statement.Query, failure *statement.Failure, tx *transaction) bool {
	failure = withRetryText(failure)
	countFailure(failure)
	s.logFailure(query, failure, tx)
	return s.caller.Fail(failure, s.state) == nil
}

// logFailure logs what is needed to explain a failed request: its failure, the state and configuration that applied, its
// duration and the attempts to run it.
func (s *session) logFailure(query *statement.Query, failure *statement.Failure, tx *transaction) {
	var transaction string
	var team ident.Team
	var version ident.Version
	if c := s.server.options.Table.Catalog(); c != nil {
		version = c.Version
		if t := c.TeamOf(s.start.Key); t != nil {
			team = t.Name
		}
	}
	if tx != nil {
		transaction, team = tx.id, tx.team.ID()
	}
	klog.InfoS("Request failed", "id", shortened(query.ID), "code", failure.Code, "reason", shortened(failure.Text),
		"database", shortened(string(s.start.Database)),
		"team", team, "transaction", transaction, "state", s.state, "took", steady.Now().Sub(s.began), "tried", s.attemptLog,
		"configuration", version)
}

// maxAttemptLog bounds the entries of a request's attemptLog.
const maxAttemptLog = 12

// recordTry records an attempt to run the current request on an upstream.
func (s *session) recordTry(id ident.Upstream, outcome upstream.Outcome, err error) {
	if len(s.attemptLog) >= maxAttemptLog {
		return
	}
	result := "answered"
	var failure *statement.Failure
	switch {
	case errors.As(err, &failure):
		result = failure.Code.String()
	case err != nil && outcome.Ran:
		result = "lost"
	case err != nil:
		result = "unreachable"
	case outcome.Result.Failure != nil:
		result = outcome.Result.Failure.Code.String()
	}
	if outcome.Gateway != "" {
		result += "@" + outcome.Gateway
	}
	if outcome.Lease != "" {
		result += "/" + outcome.Lease
	}
	s.attemptLog = append(s.attemptLog, string(id)+":"+result)
}

// recordNeededPosition records the position that the current read needs.
func (s *session) recordNeededPosition(since ident.Position) {
	if len(s.attemptLog) < maxAttemptLog {
		s.attemptLog = append(s.attemptLog, "needs:"+since.String())
	}
}
