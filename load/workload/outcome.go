package workload

import (
	"errors"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"tamarackshunt.dev/load/history"
)

// CodeNone stands for failures without an SQLSTATE: refused or broken connections and timeouts.
const CodeNone = "-----"

const codeDuplicate = "23505"

// open are the SQLSTATE values that leave the outcome of a statement open.
var open = map[string]bool{
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

// Classify tells what a client knows of a write after err; any error that does not say otherwise leaves it unknown.
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
	case code == CodeNone || open[code]:
		return history.Unknown
	}
	return history.NotRun
}
