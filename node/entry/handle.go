package entry

import (
	"cmp"
	"errors"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
)

// errDisconnected reports a caller that can't be answered because its connection has failed.
var errDisconnected = errors.New("the caller has disconnected")

// answerError returns nil if the caller was answered, and errDisconnected otherwise.
func answerError(ok bool) error {
	if ok {
		return nil
	}
	return errDisconnected
}

// malformed returns the failure of a request that is not valid in the session's state.
func malformed(text string) *statement.Failure {
	return &statement.Failure{Code: statement.CodeMalformed, Text: text}
}

// handle answers a request; an error ends the session.
func (s *session) handle(query *statement.Query) error {
	if s.state == statement.StateFailed {
		return s.handleFailed(query)
	}
	switch request := query.Request.(type) {
	case statement.Begin:
		return s.handleBegin(query, request)
	case statement.Commit:
		return s.handleCommit(query)
	case statement.Rollback:
		if s.state == statement.StateIdle {
			return answerError(s.fail(query, malformed("there is no transaction")))
		}
		s.state = statement.StateIdle
		err := s.caller.Done(s.state)
		s.dropTransaction()
		return err
	case statement.Set:
		return s.handleSet(query, request)
	case statement.Prepare:
		return s.handlePrepare(query, request)
	case statement.Deallocate:
		s.forgetPrepared(request.Name)
		return s.caller.Done(s.state)
	case statement.Read:
		return s.handleStatement(query, work{text: request.Text})
	case statement.Write:
		return s.handleStatement(query, work{text: request.Text, writes: true})
	case statement.Execute:
		definition, found := s.prepared[request.Name]
		if !found {
			return answerError(s.fail(query, &statement.Failure{Code: statement.CodeUnknown, Text: "no statement has this name"}))
		}
		return s.handleStatement(query, work{text: request.Arguments, definition: &definition, writes: definition.Writes})
	}
	return answerError(s.fail(query, malformed("this is not a request")))
}

// handleFailed handles a request in a failed transaction: it accepts the end of the transaction and rejects everything else.
func (s *session) handleFailed(query *statement.Query) error {
	reason := s.abortReason
	s.abortReason = ""
	switch query.Request.(type) {
	case statement.Rollback:
		s.state = statement.StateIdle
		return s.caller.Done(s.state)
	case statement.Commit:
		s.state = statement.StateIdle
		text := cmp.Or(reason, "the transaction was rolled back")
		return answerError(s.fail(query, &statement.Failure{Code: statement.CodeAborted, Text: text}))
	}
	if reason != "" {
		return answerError(s.fail(query, &statement.Failure{Code: statement.CodeAborted, Text: reason}))
	}
	return answerError(s.fail(query, malformed("the transaction has failed and can only be ended")))
}

func (s *session) handleBegin(query *statement.Query, request statement.Begin) error {
	if s.state != statement.StateIdle {
		return answerError(s.fail(query, malformed("there is a transaction already")))
	}
	o, failure := s.begin(query.ID)
	if failure != nil {
		return answerError(s.fail(query, failure))
	}
	s.openTransaction(&transaction{operation: *o, readOnly: request.ReadOnly})
	return s.caller.Done(s.state)
}

// handleStatement runs a statement, in the open transaction if there is one and on its own otherwise.
func (s *session) handleStatement(query *statement.Query, w work) error {
	w.id = query.ID
	if s.state == statement.StateTransaction {
		return s.handleInTransaction(query, w)
	}
	o, failure := s.begin(query.ID)
	if failure != nil {
		return answerError(s.fail(query, failure))
	}
	defer o.stop()
	run := s.singleRead
	if w.writes {
		run = s.singleWrite
	}
	result, failure := run(o, w)
	if failure != nil {
		s.refundUnsent(o)
		return answerError(s.fail(query, s.explain(o, failure, false)))
	}
	s.recordLatency(o)
	return s.caller.SendResult(result, s.state)
}

// handleInTransaction runs a statement of an open transaction.
func (s *session) handleInTransaction(query *statement.Query, w work) error {
	result, failure := s.runInTransaction(w)
	if failure != nil {
		return answerError(s.fail(query, s.explain(&s.tx.operation, failure, true)))
	}
	if w.writes {
		s.tx.wrote = true
	}
	return s.caller.SendResult(result, s.state)
}

func (s *session) handleCommit(query *statement.Query) error {
	if s.state == statement.StateIdle {
		return answerError(s.fail(query, malformed("there is no transaction")))
	}
	result, failure := s.commit(query)
	if failure != nil {
		tx := s.tx
		failure = s.explain(&tx.operation, failure, true)
		s.dropTransaction()
		s.state = statement.StateIdle
		return answerError(s.answerFailure(query, failure, tx))
	}
	s.recordLatency(&s.tx.operation)
	if s.tx.wrote {
		s.recordCommit(s.tx.route.Service, result.Position)
	}
	s.closeTransaction()
	s.state = statement.StateIdle
	return s.caller.SendResult(result, s.state)
}

// recordCommit records the position of the session's own commit.
func (s *session) recordCommit(service ident.Service, position ident.Position) {
	if s.lastCommits[service].Less(position) {
		s.lastCommits[service] = position
	}
}

// recordLatency counts an answered operation and records the time since its last request was read.
func (s *session) recordLatency(o *operation) {
	operationsAnswered.Inc()
	latencies[o.route.Kind].Update(steady.Now().Sub(s.began).Seconds())
}
