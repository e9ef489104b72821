package workload

import (
	"errors"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"tamarackshunt.dev/load/history"
)

// CodeNone is the code of failures without an SQLSTATE: refused or broken connections and timeouts.
const CodeNone = "-----"

// codeDuplicate is the SQLSTATE unique_violation.
const codeDuplicate = "23505"

// ambiguousCodes are the SQLSTATE values after which a statement may or may not have run.
var ambiguousCodes = map[string]bool{
	"08000": true, "08003": true, "08006": true, "08007": true, "08P01": true,
	"57P01": true, "57P02": true, "XX000": true,
}

// Code returns the SQLSTATE of an error, "" for nil, or CodeNone.
func Code(err error) string {
	if err == nil {
		return ""
	}
	var answer *pgconn.PgError
	if errors.As(err, &answer) {
		return answer.Code
	}
	return CodeNone
}

// Classify returns the outcome of a write that returned err. It is Unknown for ambiguousCodes, and for errors without an
// SQLSTATE unless the driver reports that the statement can't have run.
func Classify(err error) history.Outcome {
	code := Code(err)
	switch {
	case err == nil:
		return history.Acknowledged
	case code == codeDuplicate:
		return history.Duplicate
	case errors.Is(err, pgx.ErrTxCommitRollback):
		return history.NotRun
	case code == CodeNone && pgconn.SafeToRetry(err):
		return history.NotRun
	case code == CodeNone || ambiguousCodes[code]:
		return history.Unknown
	}
	return history.NotRun
}
