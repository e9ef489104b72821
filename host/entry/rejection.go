package entry

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Rejection is an answer of the host itself in place of an upstream's.
type Rejection struct {
	Code    string
	Message string
	// Fatal rejections close the caller's connection.
	Fatal bool
}

func (r *Rejection) Error() string {
	return fmt.Sprintf("%s (%s)", r.Message, r.Code)
}

func (r *Rejection) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if r.Fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: r.Code, Message: r.Message}
}

// notRun makes a rejection of a statement that was never sent.
func notRun(code, format string, args ...any) *Rejection {
	return &Rejection{Code: code, Message: fmt.Sprintf(format, args...) + "; the statement was not run"}
}

// unknownOutcome makes the answer to a statement that was sent and whose effect is not known.
func unknownOutcome(cause error) *Rejection {
	return &Rejection{Code: "08007", Message: fmt.Sprintf("the outcome of the statement is unknown: %v", cause)}
}
