package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/limit"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
)

const (
	// quotaWaitDivisor is the part of an operation's objective for which it may wait for a token of a team that is above its rate. While
	// no owner lends, which passes, it waits for all of it.
	quotaWaitDivisor = 4
	// defaultIdleTransaction bounds the rest of a transaction where the configuration does not.
	defaultIdleTransaction = 10 * time.Second
)

// activity tells a shutdown what a session is doing.
type activity int32

const (
	activityBusy activity = iota
	activityIdle
	activityInTransaction
)

// session is one caller's connection; it belongs to the goroutine of serve.
type session struct {
	server *Server
	raw    net.Conn
	caller Caller
	// activity is read by a shutdown.
	activity atomic.Int32
	ending   atomic.Bool

	start    statement.Start
	state    statement.State
	values   map[string]string
	prepared map[string]statement.Prepared
	// lastCommits is, for each service, the position of the session's own last commit.
	lastCommits map[ident.Service]ident.Position
	tx          *transaction
	// abortReason is why the host has rolled a transaction back while the caller rested; its next request is told so.
	abortReason string

	// began is when the request under way was read, and trail what was tried for it.
	began      ident.Time
	attemptLog []string
}

// transaction is an open transaction of the caller; it has an executor from its first statement on.
type transaction struct {
	operation
	readOnly bool
	executor upstream.Executor
	// onPrimary is set when the upstream has to be the primary.
	onPrimary bool
	wrote     bool
}

// operation is what was decided when a statement or transaction began.
type operation struct {
	id string
	// began is when its first byte was read.
	began ident.Time
	route *catalog.Route
	// team is nil on routes that are open to all.
	team *catalog.Team
}

func (o *operation) teamName() ident.Team {
	if o.team == nil {
		return ""
	}
	return o.team.Name
}

// priority orders the operations that wait; 0 goes first.
func (o *operation) priority() int {
	return o.route.Priority
}

func newSession(server *Server, raw net.Conn) *session {
	return &session{
		server:      server,
		raw:         raw,
		caller:      server.options.Protocol(raw),
		values:      map[string]string{},
		prepared:    map[string]statement.Prepared{},
		lastCommits: map[ident.Service]ident.Position{},
	}
}

// endIfWaiting asks a session that waits for its caller to close; with resting set also one inside a transaction.
func (s *session) endIfWaiting(includeTransactions bool) {
	now := activity(s.activity.Load())
	if now == activityIdle || (includeTransactions && now == activityInTransaction) {
		s.ending.Store(true)
		_ = s.raw.SetReadDeadline(time.Now())
	}
}

func (s *session) serve() {
	defer s.raw.Close()
	defer s.dropTransaction()
	_ = s.raw.SetReadDeadline(time.Now().Add(startTimeout))
	start, err := s.caller.ReadStart()
	if err != nil {
		return
	}
	_ = s.raw.SetReadDeadline(time.Time{})
	s.start = start
	if _, failure := s.authorize(); failure != nil {
		countFailure(failure)
		klog.V(1).InfoS("Session refused", "database", start.Database, "code", failure.Code, "reason", failure.Text)
		_ = s.caller.Refuse(failure)
		return
	}
	if s.caller.Ready() != nil {
		return
	}
	for s.serveRequest() {
	}
}

// serveRequest reads and answers one request; it returns false at the end of the session.
func (s *session) serveRequest() bool {
	query, err := s.read()
	if err != nil {
		return s.handleReadError(err)
	}
	s.began, s.attemptLog = steady.Now(), s.attemptLog[:0]
	if query.Request == nil {
		return s.fail(&query, malformed("this is not a request"))
	}
	if s.handle(&query) != nil {
		return false
	}
	return s.state != statement.StateIdle || !s.server.closing.Load()
}

// read waits for the next request, inside a transaction for as long as it may rest.
func (s *session) read() (statement.Query, error) {
	waiting := activityIdle
	var deadline time.Time
	if s.state != statement.StateIdle {
		waiting = activityInTransaction
	}
	if s.tx != nil && s.tx.executor != nil {
		deadline = time.Now().Add(s.idleTransactionLimit())
	}
	_ = s.raw.SetReadDeadline(deadline)
	s.activity.Store(int32(waiting))
	defer s.activity.Store(int32(activityBusy))
	return s.caller.ReadQuery()
}

func (s *session) idleTransactionLimit() time.Duration {
	if limit := s.server.options.Table.Catalog().IdleTransaction; limit > 0 {
		return limit
	}
	return defaultIdleTransaction
}

// handleReadError handles the end of a wait for a request.
func (s *session) handleReadError(err error) bool {
	if s.ending.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		if !errors.Is(err, io.EOF) && !s.ending.Load() {
			klog.V(1).InfoS("Session ended", "database", s.start.Database, "reason", err)
		}
		return false
	}
	klog.InfoS("Transaction rolled back", "id", s.tx.id, "service", s.tx.route.Service, "upstream", s.tx.executor.Target().Upstream,
		"reason", "it rested for too long", "limit", s.idleTransactionLimit())
	idleTransactionsEnded.Inc()
	s.dropTransaction()
	s.state, s.abortReason = statement.StateFailed, "the transaction rested for too long and was rolled back"
	return true
}

// dropTransaction gives up an open transaction.
func (s *session) dropTransaction() {
	if s.tx != nil && s.tx.executor != nil {
		s.tx.executor.Close()
	}
	s.tx = nil
}

// authorize finds the route and the team for the session as the configuration is now.
func (s *session) authorize() (*operation, *statement.Failure) {
	c := s.server.options.Table.Catalog()
	if c == nil {
		return nil, &statement.Failure{Code: statement.CodeBusy, Text: "this host has no configuration yet"}
	}
	route := c.Route(s.start.Database)
	if route == nil {
		return nil, &statement.Failure{Code: statement.CodeNoDatabase, Text: "no route has this name"}
	}
	team := c.TeamOf(s.start.Key)
	if team == nil && !route.Public {
		return nil, &statement.Failure{Code: statement.CodeDenied, Text: "no team holds this key"}
	}
	return &operation{route: route, team: team}, nil
}

// begin admits an operation and spends a token of its team.
func (s *session) begin(id string) (*operation, *statement.Failure) {
	o, failure := s.authorize()
	if failure != nil {
		return nil, failure
	}
	o.id, o.began = id, s.began
	if o.team == nil {
		return o, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.route.Objective)
	defer cancel()
	request := limit.Request{Team: o.team.Name, Priority: o.priority(), MaxWait: o.route.Objective / quotaWaitDivisor}
	if err := s.server.options.Quota.Take(ctx, request); err != nil {
		var exceeded *limit.Exceeded
		reason := "no token of the team in time"
		if errors.As(err, &exceeded) {
			reason = exceeded.Error()
		}
		return nil, &statement.Failure{Code: statement.CodeBusy, Text: reason + retryText(o.route)}
	}
	return o, nil
}

// retryText tells a caller when to come back.
func retryText(route *catalog.Route) string {
	return fmt.Sprintf("; retry after %d ms", (route.Objective / 2).Milliseconds())
}

var (
	operationsAnswered    = metrics.NewCounter("tamarack_entry_answered_total")
	idleTransactionsEnded = metrics.NewCounter("tamarack_entry_rested_transactions_total")
)

// latencies are the times to answer statements and commits, by the kind of their route.
var latencies = func() map[catalog.Kind]*metrics.Histogram {
	list := map[catalog.Kind]*metrics.Histogram{}
	for _, kind := range catalog.KindValues() {
		list[kind] = metrics.NewHistogram(fmt.Sprintf("tamarack_entry_answer_seconds{kind=%q}", kind))
	}
	return list
}()

func countFailure(f *statement.Failure) {
	metrics.GetOrCreateCounter(fmt.Sprintf("tamarack_entry_failures_total{code=%q}", f.Code)).Inc()
}

// fail answers a request with a failure; a transaction has failed with it. It returns false when the caller is gone.
func (s *session) fail(query *statement.Query, failure *statement.Failure) bool {
	countFailure(failure)
	tx := s.tx
	if s.state != statement.StateIdle {
		s.dropTransaction()
		s.state = statement.StateFailed
	}
	s.logFailure(query, failure, tx)
	return s.caller.Fail(failure, s.state) == nil
}

// logFailure writes the line from which a failed request can be explained: what decided it, how old and how new that was, and
// what was tried.
func (s *session) logFailure(query *statement.Query, failure *statement.Failure, tx *transaction) {
	transaction := ""
	if tx != nil {
		transaction = tx.id
	}
	var version ident.Version
	if c := s.server.options.Table.Catalog(); c != nil {
		version = c.Version
	}
	klog.InfoS("Request failed", "id", query.ID, "code", failure.Code, "reason", failure.Text, "database", s.start.Database,
		"transaction", transaction, "state", s.state, "took", steady.Now().Sub(s.began), "tried", s.attemptLog, "configuration", version)
}

// maxAttemptLog bounds what is remembered of the tries of one request.
const maxAttemptLog = 12

// recordTry remembers a try of the request under way on an upstream.
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
	s.attemptLog = append(s.attemptLog, string(id)+":"+result)
}

// recordNeededPosition remembers the position that the read under way needs.
func (s *session) recordNeededPosition(since ident.Position) {
	if len(s.attemptLog) < maxAttemptLog {
		s.attemptLog = append(s.attemptLog, "needs:"+since.String())
	}
}
