package server

import (
	"context"
	"math"
	"strconv"
	"time"

	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/statement"
)

// maxSleep is the longest duration of pg_sleep in seconds.
const maxSleep = 3600

// result holds the rows and the command tag of a statement that ran.
type result struct {
	rows [][]string
	tag  string
}

func (ss *session) runStatement(st statement.Statement, args []string) (*result, error) {
	if ss.failed {
		switch st.(type) {
		case statement.Commit, statement.Rollback:
			ss.rollback()
			return &result{tag: "ROLLBACK"}, nil
		}
		return nil, &statement.Error{Code: "25P02", Message: "current transaction is aborted, commands ignored until end of transaction block"}
	}
	switch st := st.(type) {
	case statement.Empty:
		return &result{}, nil
	case statement.Begin:
		return ss.begin(st)
	case statement.Commit:
		return ss.commit()
	case statement.Rollback:
		ss.rollback()
		return &result{tag: "ROLLBACK"}, nil
	case statement.Set:
		ss.settings[st.Name] = st.Value
		return &result{tag: "SET"}, nil
	case statement.Show:
		return ss.show(st.Name)
	case statement.Discard:
		if ss.tx != nil {
			return nil, &statement.Error{Code: "25001", Message: "DISCARD ALL cannot run inside a transaction block"}
		}
		clear(ss.settings)
		clear(ss.statements)
		clear(ss.portals)
		return &result{tag: "DISCARD ALL"}, nil
	case statement.Deallocate:
		return ss.deallocate(st.Name)
	case statement.Call:
		if st.Name != "pg_sleep" {
			return ss.server.call(st, args)
		}
	}
	return ss.runInSlot(st, args)
}

// runInSlot runs a statement once a slot is free.
func (ss *session) runInSlot(st statement.Statement, args []string) (*result, error) {
	if err := ss.checkWritable(st); err != nil {
		return nil, err
	}
	ctx, end := ss.interruptible()
	defer end()
	ss.server.running.Add(1)
	defer ss.server.running.Add(-1)
	release, err := ss.server.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	ss.server.faults.waitFreeze(ss.server.done)
	switch st := st.(type) {
	case statement.Call:
		return ss.sleep(ctx, st, args)
	case statement.Literal:
		row := []string{}
		for _, v := range st.Values {
			row = append(row, text(v, args))
		}
		return &result{rows: [][]string{row}, tag: "SELECT 1"}, nil
	}
	if ss.tx != nil {
		r, err := ss.tx.Run(st, args)
		return &result{r.Rows, r.Tag}, err
	}
	r, done, err := ss.server.ledger.Run(st, args)
	if err != nil {
		return nil, err
	}
	ss.recordCommit(done)
	return &result{r.Rows, r.Tag}, nil
}

// checkWritable refuses a write on an upstream that is not primary, before the statement waits for a slot. For a read it sets
// hasRead.
func (ss *session) checkWritable(st statement.Statement) error {
	switch st.(type) {
	case statement.Insert, statement.Update, statement.Delete:
		if !ss.server.ledger.State().Primary {
			return &statement.Error{Code: "25006", Message: "cannot execute a write in a read-only transaction"}
		}
	case statement.Select:
		ss.hasRead = true
	}
	return nil
}

func (ss *session) recordCommit(done ledger.Done) {
	if !done.Wrote {
		return
	}
	if ss.unsentCommit != nil {
		// The answers to several commits are sent together, and only if the oldest of their terms is still current.
		done.Term = min(done.Term, ss.unsentCommit.Term)
	}
	ss.unsentCommit = &done
}

func (ss *session) begin(st statement.Begin) (*result, error) {
	if ss.tx != nil {
		return &result{tag: "BEGIN"}, nil
	}
	tx, err := ss.server.ledger.Begin(st)
	if err != nil {
		return nil, err
	}
	ss.setTransaction(tx)
	return &result{tag: "BEGIN"}, nil
}

func (ss *session) commit() (*result, error) {
	if ss.tx == nil {
		return &result{tag: "COMMIT"}, nil
	}
	tx := ss.tx
	ss.setTransaction(nil)
	done, err := tx.Commit()
	if err != nil {
		return nil, err
	}
	ss.recordCommit(done)
	return &result{tag: "COMMIT"}, nil
}

func (ss *session) show(name string) (*result, error) {
	value, known := ss.settings[name]
	if !known {
		switch name {
		case "transaction_read_only", "in_hot_standby":
			value = "on"
			if ss.server.ledger.State().Primary {
				value = "off"
			}
		case "server_version":
			value = "17.0"
		case "standard_conforming_strings":
			value = "on"
		case "client_encoding", "server_encoding":
			value = "UTF8"
		default:
			return nil, &statement.Error{Code: "42704", Message: "unrecognized configuration parameter \"" + name + "\""}
		}
	}
	return &result{rows: [][]string{{value}}, tag: "SHOW"}, nil
}

func (ss *session) deallocate(name string) (*result, error) {
	if name == "" {
		clear(ss.statements)
		return &result{tag: "DEALLOCATE ALL"}, nil
	}
	if _, known := ss.statements[name]; !known {
		return nil, unknownStatementError(name)
	}
	delete(ss.statements, name)
	return &result{tag: "DEALLOCATE"}, nil
}

func (ss *session) sleep(ctx context.Context, st statement.Call, args []string) (*result, error) {
	seconds, err := strconv.ParseFloat(text(st.Args[0], args), 64)
	if err != nil || math.IsNaN(seconds) {
		return nil, &statement.Error{Code: "22P02", Message: "invalid input syntax for type double precision"}
	}
	if err := ss.server.sleep(ctx, time.Duration(min(seconds, maxSleep)*float64(time.Second))); err != nil {
		return nil, err
	}
	return &result{rows: [][]string{{""}}, tag: "SELECT 1"}, nil
}

func text(v statement.Value, args []string) string {
	if v.Param > 0 && v.Param <= len(args) {
		return args[v.Param-1]
	}
	return v.Literal
}
