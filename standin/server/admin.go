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

// call runs a function of the catalogue. These take no slot, so that a busy upstream can still be fenced.
func (s *Server) call(st statement.Call, args []string) (*result, error) {
	switch st.Name {
	case "pg_current_wal_lsn":
		if !s.ledger.State().Primary {
			return nil, &statement.Error{Code: "55000", Message: "recovery is in progress"}
		}
		return one(lsn(s.ledger.State().Last.LSN)), nil
	case "pg_last_wal_replay_lsn":
		return one(lsn(s.ledger.State().Last.LSN)), nil
	case "pg_is_in_recovery":
		if s.ledger.State().Primary {
			return one("f"), nil
		}
		return one("t"), nil
	case "pg_stat_replication":
		rows := s.replication()
		return &result{rows: rows, tag: "SELECT " + strconv.Itoa(len(rows))}, nil
	case "tamarack_state":
		return one(s.state(s.ledger.State())), nil
	}
	term, err := strconv.ParseUint(text(st.Args[len(st.Args)-1], args), 10, 63)
	if err != nil || term == 0 {
		return nil, &statement.Error{Code: "22P02", Message: "invalid term"}
	}
	return s.change(st.Name, ident.Term(term), text(st.Args[0], args))
}

// change runs a function that changes the role under a term.
func (s *Server) change(name string, term ident.Term, address string) (*result, error) {
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
	s.passGate()
	return one(s.state(state)), nil
}

// passGate waits until every answer of a commit that was being sent has been sent.
func (s *Server) passGate() {
	s.gate.Lock()
	defer s.gate.Unlock()
}

// drain refuses new write transactions, and waits for the running ones to finish, or aborts them at the limit.
func (s *Server) drain(term ident.Term) error {
	if err := s.ledger.Drain(term); err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(context.Background(), drainLimit)
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

// state returns the text of tamarack_state: role, term, term of the last record and its position.
func (s *Server) state(state ledger.State) string {
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

// replication returns the rows of pg_stat_replication, by name of the replica.
func (s *Server) replication() [][]string {
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

func one(value string) *result {
	return &result{rows: [][]string{{value}}, tag: "SELECT 1"}
}

// lsn returns a position in the form of pg_lsn.
func lsn(l ident.LSN) string {
	return fmt.Sprintf("%X/%X", uint64(l)>>32, uint32(l))
}
