package server

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"time"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/statement"
)

// call runs an administrative function. These functions take no slot, so that a busy upstream can still be fenced.
func (s *Server) call(st statement.Call, args []string) (*result, error) {
	switch st.Name {
	case "pg_current_wal_lsn":
		if !s.ledger.State().Primary {
			return nil, &statement.Error{Code: "55000", Message: "recovery is in progress"}
		}
		return singleValue(lsn(s.ledger.State().Last.LSN)), nil
	case "pg_last_wal_replay_lsn":
		return singleValue(lsn(s.ledger.State().Last.LSN)), nil
	case "pg_is_in_recovery":
		if s.ledger.State().Primary {
			return singleValue("f"), nil
		}
		return singleValue("t"), nil
	case "pg_stat_replication":
		rows := s.replicationRows()
		return &result{rows: rows, tag: "SELECT " + strconv.Itoa(len(rows))}, nil
	case "tamarack_state":
		return singleValue(s.stateText(s.ledger.State())), nil
	}
	term, err := strconv.ParseUint(text(st.Args[len(st.Args)-1], args), 10, 63)
	if err != nil || term == 0 {
		return nil, &statement.Error{Code: "22P02", Message: "invalid term"}
	}
	return s.changeRole(st.Name, ident.Term(term), text(st.Args[0], args))
}

// changeRole runs a function that changes the upstream's role under a term.
func (s *Server) changeRole(name string, term ident.Term, address string) (*result, error) {
	var state ledger.State
	var err error
	switch name {
	case "tamarack_fence":
		state, err = s.ledger.Fence(term)
	case "pg_promote":
		state, err = s.ledger.Promote(term)
	case "tamarack_drain":
		err = s.drain(term)
		state = s.ledger.State()
	case "tamarack_follow":
		if err = s.ledger.Follow(term); err == nil {
			s.follow(address, term)
		}
		state = s.ledger.State()
	}
	if err != nil {
		return nil, err
	}
	s.waitForAnswers()
	return singleValue(s.stateText(state)), nil
}

// waitForAnswers waits until all answers to commits that are being sent have been sent.
func (s *Server) waitForAnswers() {
	s.answerLock.Lock()
	defer s.answerLock.Unlock()
}

// drain makes the upstream refuse new write transactions and waits for the open ones to finish. It aborts those that are
// still open after drainTimeout.
func (s *Server) drain(term ident.Term) error {
	if err := s.ledger.Drain(term); err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	for {
		changed := s.ledger.Changed()
		if s.ledger.Writers() == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-limit.Done():
			s.ledger.AbortWriters()
			return nil
		case <-s.done:
			return nil
		}
	}
}

// stateText returns the result of tamarack_state: the role, the term, and the term and the position of the last record.
func (s *Server) stateText(state ledger.State) string {
	role := "detached"
	switch {
	case state.Primary && state.Draining:
		role = "draining"
	case state.Primary:
		role = "primary"
	case s.following(state.Term):
		role = "replica"
	}
	return fmt.Sprintf("(%s,%d,%d,%s)", role, state.Term, state.Last.Term, lsn(state.Last.LSN))
}

// replicationRows returns the rows of pg_stat_replication, sorted by the replica's name.
func (s *Server) replicationRows() [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows [][]string
	for _, r := range s.replicas {
		if r.term == s.ledger.State().Term {
			rows = append(rows, r.row(time.Now()))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0] < rows[j][0] })
	return rows
}

func singleValue(value string) *result {
	return &result{rows: [][]string{{value}}, tag: "SELECT 1"}
}

// lsn formats an LSN as PostgreSQL's type pg_lsn.
func lsn(l ident.LSN) string {
	return fmt.Sprintf("%X/%X", uint64(l)>>32, uint32(l))
}
