package entry

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/access"
)

var lostTransactions = metrics.NewCounter("tamarack_entry_transactions_ended_with_key_total")

// access returns the register that the operations of the session are checked against.
func (s *session) access() *access.Register {
	return s.server.options.Table.Access()
}

// openTransaction makes a transaction the session's open one. If it loses its key while the caller rests, the wait for the next request ends.
func (s *session) openTransaction(tx *transaction) {
	s.mu.Lock()
	s.open = tx
	s.mu.Unlock()
	s.tx, s.state = tx, statement.StateTransaction
	cancelInterrupt := context.AfterFunc(tx.ctx, func() { s.interrupt(tx) })
	stop := tx.stop
	tx.stop = func() {
		cancelInterrupt()
		stop()
	}
}

// interrupt ends the wait for the next request of a transaction.
func (s *session) interrupt(tx *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == tx && activity(s.activity.Load()) == activityInTransaction {
		_ = s.raw.SetReadDeadline(time.Now())
	}
}

// closeTransaction forgets the open transaction, which has ended.
func (s *session) closeTransaction() {
	s.tx.stop()
	s.mu.Lock()
	s.open = nil
	s.mu.Unlock()
	s.tx = nil
}

// endLostTransaction rolls back a transaction that has lost its key while its caller rests. The next request hears of it; its answer does not
// wait for the upstream.
func (s *session) endLostTransaction() {
	tx := s.tx
	_, err := s.access().Check(tx.permit, 0, true)
	failure := accessFailure(err)
	if failure == nil {
		// A later configuration has given the key back.
		failure = &statement.Failure{Code: statement.CodeAborted, Text: "the key was withdrawn for a time during the transaction"}
	}
	klog.InfoS("Transaction rolled back", "id", tx.id, "service", tx.route.Service, "team", tx.team.ID(), "reason", failure.Text,
		"configuration", s.access().Catalog().Version)
	lostTransactions.Inc()
	if tx.executor != nil {
		go tx.executor.Close()
		tx.executor = nil
	}
	s.dropTransaction()
	s.state, s.abortReason = statement.StateFailed, failure.Text
}

// explain replaces a failure after which nothing is kept by the loss of the operation's key, if that is why it failed.
func (s *session) explain(o *operation, failure *statement.Failure, inTransaction bool) *statement.Failure {
	if failure == nil || (!failure.Code.NoEffect() && failure.Code != statement.CodeDenied) {
		return failure
	}
	if _, err := s.access().Check(o.permit, 0, inTransaction); err != nil {
		return accessFailure(err)
	}
	return failure
}

// accessFailure returns the failure of an operation that has lost its key, or nil.
func accessFailure(err error) *statement.Failure {
	var failure *statement.Failure
	if !errors.As(err, &failure) {
		return nil
	}
	if failure.Code == statement.CodeBusy {
		// The key's new team may use it at once.
		failure.Retry = minRetry
	}
	return failure
}

// deniedFailure returns the failure of a statement whose key no team holds, as this host or one with a newer configuration knows, or nil.
func deniedFailure(err error) *statement.Failure {
	var failure *statement.Failure
	if errors.As(err, &failure) && failure.Code == statement.CodeDenied {
		return failure
	}
	return nil
}
