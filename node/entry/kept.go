package entry

import (
	"strings"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/statement"
)

const (
	// copiesOfRequest is the number of copies that are made of a request and the session's values on the way to an upstream: one in a call
	// to a gateway or in the message to the upstream, and two while they are made.
	copiesOfRequest = 3
	// smallRequest is the size in bytes up to which these copies are part of what each session costs.
	smallRequest = 4 << 10
	// maxLogged bounds what a caller or an upstream has sent in a field of a log line, in bytes.
	maxLogged = 200
	// reasonMessageUnfinished and reasonState count sessions that are closed at a limit.
	reasonMessageUnfinished = "message_unfinished"
	reasonState             = "values_and_prepared"
)

// shortened returns the beginning of a text for a field of a log line.
func shortened(text string) string {
	if len(text) <= maxLogged {
		return text
	}
	return text[:maxLogged] + "..."
}

// takeCopies reserves the copies of a request and of what is sent with it. It returns the bytes to give back after the request, or the
// failure of a request that must not run.
func (s *session) takeCopies(query *statement.Query) (int, *statement.Failure) {
	size := len(query.ID) + len(query.Text) + int(s.kept.Bytes())
	if size <= smallRequest {
		return 0, nil
	}
	if err := s.raw.Take(size * copiesOfRequest); err != nil {
		return 0, &statement.Failure{Code: statement.CodeBusy, Text: err.Error()}
	}
	return size * copiesOfRequest, nil
}

// handleSet keeps a value for the session.
func (s *session) handleSet(query *statement.Query, request statement.Set) error {
	old := s.costOfValue(request.Name)
	if !s.keep(query, old, budget.Cost(request.Name, request.Value)) {
		return errDisconnected
	}
	// Only the name and the value are kept of the message.
	s.values[strings.Clone(request.Name)] = strings.Clone(request.Value)
	return s.caller.Done(s.state)
}

func (s *session) costOfValue(name string) budget.Bytes {
	value, found := s.values[name]
	if !found {
		return 0
	}
	return budget.Cost(name, value)
}

// handlePrepare keeps a prepared statement for the session.
func (s *session) handlePrepare(query *statement.Query, request statement.Prepare) error {
	old := s.costOfPrepared(request.Name)
	if !s.keep(query, old, budget.Cost(request.Name, request.Prepared.Shape)) {
		return errDisconnected
	}
	request.Prepared.Shape = strings.Clone(request.Prepared.Shape)
	s.prepared[strings.Clone(request.Name)] = request.Prepared
	return s.caller.Done(s.state)
}

func (s *session) costOfPrepared(name string) budget.Bytes {
	prepared, found := s.prepared[name]
	if !found {
		return 0
	}
	return budget.Cost(name, prepared.Shape)
}

// forgetPrepared gives back a prepared statement.
func (s *session) forgetPrepared(name string) {
	if old := s.costOfPrepared(name); old > 0 {
		s.kept.Replace(old, 0)
		s.raw.Give(int(old))
		delete(s.prepared, name)
	}
}

// keep reserves the cost of an entry that replaces one of the old cost. If it is over a limit, the request fails and the session must
// end, since its caller counts on the entry; nothing is kept of it then.
func (s *session) keep(query *statement.Query, old, cost budget.Bytes) bool {
	admitted := s.kept.Admits(old, cost)
	if !admitted {
		s.raw.CountClosed(reasonState)
	}
	if !admitted || s.raw.Take(int(cost)) != nil {
		s.fail(query, &statement.Failure{Code: statement.CodeBusy, Text: "the session's values and prepared statements are at their limit"})
		return false
	}
	s.kept.Replace(old, cost)
	s.raw.Give(int(old))
	return true
}
