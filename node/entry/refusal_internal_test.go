package entry

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"tamarackshunt.dev/fleet/catalog"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/upstream"
)

// Guards against refusals that don't say when to come back, or name a time that is none, beyond the route's timeout, or the same for all
// who would come back later than that.
func TestRefusals(t *testing.T) {
	var out bytes.Buffer
	o := &operation{route: &catalog.Route{Objective: 400 * time.Millisecond, Timeout: 800 * time.Millisecond}}
	busy := func(retry time.Duration) error {
		return &statement.Failure{Code: statement.CodeBusy, Text: "full", Retry: retry}
	}
	for _, err := range []error{
		busy(0), busy(time.Millisecond), busy(300 * time.Millisecond), busy(900 * time.Millisecond), busy(1100 * time.Millisecond),
		withEarlierRetry(busy(300*time.Millisecond), busy(200*time.Millisecond)), withEarlierRetry(nil, busy(200*time.Millisecond)),
		&statement.Failure{Code: statement.CodeReadOnly, Text: "i-1"}, &statement.Failure{Code: statement.CodeLagging, Text: "i-1"},
		&upstream.UnreachableError{Upstream: "i-1", Cause: errors.New("stalled")}, errNoPrimary,
	} {
		fmt.Fprintf(&out, "%s: %s\n", causeOf(err), withRetryText(busyFailure(o, err)).Text)
	}
	tx := &transaction{operation: *o}
	for _, retry := range []time.Duration{0, 200 * time.Millisecond, 1100 * time.Millisecond} {
		fmt.Fprintf(&out, "in a transaction: %s\n", withRetryText(tx.failure(busy(retry), upstream.Use{Keep: true}, true)).Text)
	}
	goldie.New(t).Assert(t, "refusals", out.Bytes())
}
