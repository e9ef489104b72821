package entry

import (
	"fmt"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/fleet/sqlstate"
)

// response converts a rejection to the error that callers get. It omits the cause and says whether the statement ran.
func response(r *sqlstate.Rejection) *pgproto3.ErrorResponse {
	row := r.Row()
	return &pgproto3.ErrorResponse{
		Severity:            string(row.Severity),
		SeverityUnlocalized: string(row.Severity),
		Code:                row.Code,
		Message:             row.Message,
		Detail:              detail(row.Ran),
	}
}

func detail(ran sqlstate.Ran) string {
	switch ran {
	case sqlstate.NotRun:
		return "The statement was not run."
	case sqlstate.Unknown:
		return "The statement may have taken effect; look before repeating it."
	default:
		return "The statement has no lasting effect."
	}
}

func fatal(r *sqlstate.Rejection) bool {
	return r.Row().Severity == sqlstate.Fatal
}

// reject returns a rejection whose cause is a text for operators.
func reject(reason sqlstate.Reason, format string, args ...any) error {
	return trace.Wrap(sqlstate.New(reason, &causeError{fmt.Sprintf(format, args...)}))
}

// causeError is the cause of a rejection as a text.
type causeError struct {
	text string
}

func (e *causeError) Error() string { return e.text }
