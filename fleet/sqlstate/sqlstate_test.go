package sqlstate_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/sqlstate"
)

// Guards against reasons without a row, and against rows that state "not run" with the code for an unknown outcome
// (invariant 10).
func TestRows(t *testing.T) {
	require.Len(t, sqlstate.Rows(), len(sqlstate.ReasonValues()))
	for _, row := range sqlstate.Rows() {
		require.Len(t, row.Code, 5, row.Reason)
		require.NotEmpty(t, row.Message, row.Reason)
		require.NotEmpty(t, row.Advice, row.Reason)
		require.Contains(t, []sqlstate.Severity{sqlstate.Error, sqlstate.Fatal}, row.Severity, row.Reason)
		require.Equal(t, row.Code == "08007", row.Ran == sqlstate.Unknown, row.Reason)
		require.Equal(t, row.Code == "08006", row.Ran == sqlstate.Failed, row.Reason)
	}
}

// Guards against an operations page whose codes differ from those that callers receive.
func TestOperationsPageHoldsTheTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(page), "<!-- sqlstate: start -->\n")
	require.True(t, found)
	table, _, found := strings.Cut(rest, "<!-- sqlstate: end -->")
	require.True(t, found)
	require.Equal(t, sqlstate.Markdown(), table, "copy the output of sqlstate.Markdown into docs/OPERATIONS.md")
}

// Guards against a rejection whose reason or cause is lost when the error is wrapped.
func TestFrom(t *testing.T) {
	cause := errors.New("queue of u1 is full")
	err := trace.Wrap(fmt.Errorf("run: %w", sqlstate.New(sqlstate.QueueFull, cause)))
	require.Equal(t, sqlstate.QueueFull, sqlstate.From(err).Reason)
	require.ErrorIs(t, err, cause)
	require.Nil(t, sqlstate.From(cause))
}
