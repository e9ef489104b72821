package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a caller that runs another caller's statement: a connection to an upstream has one statement for each name,
// so statements with different texts or parameter types need different names.
func TestStatementNames(t *testing.T) {
	statements := []*statement{
		newStatement("DELETE FROM stamps WHERE lot > 12345678", nil),
		newStatement("DELETE FROM stamps WHERE lot > 1234", []uint32{0x35363738}), // the bytes of "5678"
		newStatement("DELETE FROM stamps WHERE lot > 1234", []uint32{0x35363739}),
		newStatement("DELETE FROM stamps WHERE lot > 1234", nil),
		newStatement("DELETE FROM stamps WHERE lot > 1234", []uint32{0}),
		newStatement("DELETE FROM stamps WHERE lot > 1234", []uint32{0, 0}),
		newStatement("", []uint32{0x35363738}),
		newStatement("5678", nil),
	}
	texts := make(map[string]string, len(statements))
	for _, s := range statements {
		require.NotContains(t, texts, s.name, "the name of %q with parameter types %v", s.sql, s.oids)
		texts[s.name] = s.sql
	}
	require.Equal(t, newStatement("SELECT $1", []uint32{25}).name, newStatement("SELECT $1", []uint32{25}).name)
}
