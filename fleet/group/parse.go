package group

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/ident"
)

// Statements that read the state of an upstream and, on a primary, the positions of its replicas.
const (
	StateStatement       = "SELECT tamarack_state()"
	ReplicationStatement = "SELECT application_name, term, flush_lsn, replay_lsn, age_ms FROM pg_stat_replication"
)

// stateFields is the number of fields of tamarack_state: role, term, term of the last record, and its position.
const stateFields = 4

// rowFields is the number of columns of ReplicationStatement.
const rowFields = 5

// maxAgeMs is the highest accepted age in milliseconds; it fits a time.Duration.
const maxAgeMs = 1 << 40

// ParseState parses the result of tamarack_state, for example "(replica,3,2,0/1A2B)". The roles are primary, draining,
// replica (with a running replication stream) and detached.
func ParseState(text string) (State, error) {
	inner, open := strings.CutPrefix(text, "(")
	inner, closed := strings.CutSuffix(inner, ")")
	fields := strings.Split(inner, ",")
	if !open || !closed || len(fields) != stateFields {
		return State{}, trace.BadParameter("state %q is not of the form (role,term,term,lsn)", text)
	}
	var s State
	switch fields[0] {
	case "primary", "draining":
		s.Primary = true
	case "replica":
		s.Following = true
	case "detached":
	default:
		return State{}, trace.BadParameter("state %q has an unknown role", text)
	}
	term, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return State{}, trace.BadParameter("state %q has no term", text)
	}
	last, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return State{}, trace.BadParameter("state %q has no term of the last record", text)
	}
	lsn, err := ParseLSN(fields[3])
	if err != nil {
		return State{}, trace.Wrap(err)
	}
	s.Term, s.Last = ident.Term(term), ident.Position{Term: ident.Term(last), LSN: lsn}
	return s, nil
}

// ParseLSN parses a position in the format of pg_lsn: two hexadecimal numbers of 32 bits, separated by a slash.
func ParseLSN(text string) (ident.LSN, error) {
	high, low, found := strings.Cut(text, "/")
	h, err := strconv.ParseUint(high, 16, 32)
	if err != nil || !found {
		return 0, trace.BadParameter("position %q is not of the form of pg_lsn", text)
	}
	l, err := strconv.ParseUint(low, 16, 32)
	if err != nil {
		return 0, trace.BadParameter("position %q is not of the form of pg_lsn", text)
	}
	return ident.LSN(h<<32 | l), nil
}

// ParseRow parses a row of the result of ReplicationStatement.
func ParseRow(values [][]byte) (Row, error) {
	if len(values) != rowFields {
		return Row{}, trace.BadParameter("row of pg_stat_replication has %d columns instead of %d", len(values), rowFields)
	}
	r := Row{Upstream: ident.Upstream(values[0])}
	term, err := strconv.ParseUint(string(values[1]), 10, 64)
	if err != nil {
		return Row{}, trace.BadParameter("row of pg_stat_replication has no term")
	}
	r.Term = ident.Term(term)
	if r.Flush, err = ParseLSN(string(values[2])); err != nil {
		return Row{}, trace.Wrap(err)
	}
	if r.Replay, err = ParseLSN(string(values[3])); err != nil {
		return Row{}, trace.Wrap(err)
	}
	age, err := strconv.ParseUint(string(values[4]), 10, 64)
	if err != nil || age > maxAgeMs {
		return Row{}, trace.BadParameter("row of pg_stat_replication has no age")
	}
	r.Age = time.Duration(age) * time.Millisecond
	return r, nil
}
