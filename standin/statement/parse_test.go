package statement_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/standin/statement"
)

// Guards against a statement that is parsed as another one, and against wrong SQLSTATEs.
func TestParse(t *testing.T) {
	tests := []struct {
		sql, code string
		want      statement.Statement
	}{
		{"SELECT count(*) FROM orders WHERE team = 'noc'", "", statement.Select{
			Table: "orders", Count: true, Limit: -1, Where: []statement.Equal{{Column: 1, Value: statement.Value{Literal: "noc"}}},
		}},
		{"select id from orders order by id limit 5", "", statement.Select{Table: "orders", Columns: []int{0}, Limit: 5}},
		{"UPDATE accounts SET balance = balance - 5 WHERE id = 'a'", "", statement.Update{
			Table: "accounts", Column: 1, Sign: -1, Value: statement.Value{Literal: "5", Type: statement.Int8}, ID: statement.Value{Literal: "a"},
		}},
		{"BEGIN ISOLATION LEVEL SERIALIZABLE READ ONLY", "", statement.Begin{ReadOnly: true}},
		{"SELECT tamarack_fence(7)", "", statement.Call{
			Name: "tamarack_fence", Args: []statement.Value{{Literal: "7", Type: statement.Int8}},
		}},
		{"SET application_name TO 'x' -- comment", "", statement.Set{Name: "application_name", Value: "x"}},
		{"DELETE FROM orders", "42601", nil},
		{"DELETE FROM orders WHERE team = 'x'", "42601", nil},
		{"SELECT nothing FROM orders", "42703", nil},
		{"INSERT INTO orders (team) VALUES ('x')", "23502", nil},
		{"SELECT tamarack_other(1)", "42883", nil},
		{"SELECT 'open", "42601", nil},
		{"SELECT $99999999", "42P02", nil},
	}
	for _, tt := range tests {
		t.Run(tt.sql, func(t *testing.T) {
			all, err := statement.Parse(tt.sql)
			if tt.code != "" {
				var failure *statement.Error
				require.ErrorAs(t, err, &failure)
				require.Equal(t, tt.code, failure.Code)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, all[0].Statement)
		})
	}
}

// Guards against SQL text from callers that makes the upstream panic, and against errors without a SQLSTATE.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", ";", "SELECT 1; SELECT 2", `INSERT INTO orders (id, "user") VALUES ($1, 'it''s'), (-1, ($2::text)) ON CONFLICT (id) DO NOTHING`,
		"UPDATE accounts SET balance = balance + $1 WHERE id = $2", "/* open", "SELECT * FROM accounts WHERE id = ((((1))))",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		_, err := statement.Parse(sql)
		var failure *statement.Error
		require.True(t, err == nil || errors.As(err, &failure))
	})
}
