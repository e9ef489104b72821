package route_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/route"
)

// Guards against classifying a statement as a read although it writes, locks or changes the state of its connection, and
// against sending reads to the primary because of the content of a comment or a literal.
func TestClassify(t *testing.T) {
	tests := []struct {
		text   string
		kind   route.Kind
		effect route.Effect
	}{
		{"SELECT balance FROM accounts WHERE id = $1", route.KindRead, route.EffectNone},
		{"  -- look-up; DELETE\n /* a /* nested; */ UPDATE */ select 1;", route.KindRead, route.EffectNone},
		{"(SELECT 1) UNION (SELECT 2)", route.KindRead, route.EffectNone},
		{"SHOW server_version; VALUES (1); TABLE lots", route.KindRead, route.EffectNone},
		{"SELECT 'DELETE; INTO', $$ nextval('x') $$, $q$;FOR UPDATE$q$, E'it\\'s; INTO'", route.KindRead, route.EffectNone},
		{"SELECT substring(name FOR 3) FROM lots", route.KindRead, route.EffectNone},
		{"WITH l AS (SELECT 1) SELECT * FROM l", route.KindRead, route.EffectNone},
		{"EXPLAIN DELETE FROM lots", route.KindRead, route.EffectNone},
		{"", route.KindRead, route.EffectNone},
		{"SELECT * FROM stock FOR UPDATE", route.KindWrite, route.EffectNone},
		{"SELECT * FROM stock FOR NO KEY UPDATE", route.KindWrite, route.EffectNone},
		{"SELECT * FROM stock for/**/share", route.KindWrite, route.EffectNone},
		{"SELECT * INTO lots2 FROM lots", route.KindWrite, route.EffectNone},
		{"SELECT * INTO TEMP lots2 FROM lots", route.KindSessionState, route.EffectPin},
		{"WITH d AS (DELETE FROM lots RETURNING *) SELECT * FROM d", route.KindWrite, route.EffectNone},
		{"SELECT nextval('orders_id')", route.KindWrite, route.EffectNone},
		{`SELECT pg_catalog."setval" ('orders_id', 3)`, route.KindWrite, route.EffectNone},
		{"SELECT nextval FROM numbers", route.KindRead, route.EffectNone},
		{"SELECT pg_advisory_lock(4)", route.KindWrite, route.EffectPin},
		{"SELECT pg_advisory_xact_lock(4)", route.KindWrite, route.EffectNone},
		{"EXPLAIN ANALYZE SELECT 1", route.KindWrite, route.EffectNone},
		{"CALL close_day()", route.KindWrite, route.EffectNone},
		{"COPY lots TO STDOUT", route.KindWrite, route.EffectNone},
		{"SELECT 'never ends; DELETE", route.KindWrite, route.EffectNone},
		{"SELECT 1 /* never ends", route.KindWrite, route.EffectNone},
		{"SELECT 1; DELETE FROM lots", route.KindWrite, route.EffectNone},
		{"BEGIN", route.KindBegin, route.EffectNone},
		{"BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY", route.KindBeginReadOnly, route.EffectNone},
		{"START TRANSACTION READ ONLY", route.KindBeginReadOnly, route.EffectNone},
		{"BEGIN READ ONLY, READ WRITE", route.KindBegin, route.EffectNone},
		{"BEGIN READ ONLY; SELECT 1", route.KindWrite, route.EffectNone},
		{"COMMIT AND CHAIN", route.KindCommit, route.EffectNone},
		{"END", route.KindCommit, route.EffectNone},
		{"ABORT", route.KindRollback, route.EffectNone},
		{"ROLLBACK TO SAVEPOINT a", route.KindWrite, route.EffectNone},
		{"COMMIT PREPARED 'a'", route.KindWrite, route.EffectNone},
		{"SET search_path = a", route.KindSessionState, route.EffectPin},
		{"SET LOCAL search_path = a", route.KindWrite, route.EffectNone},
		{"SELECT 1; LISTEN lots", route.KindSessionState, route.EffectPin},
		{"PREPARE p AS SELECT 1", route.KindSessionState, route.EffectPin},
		{"PREPARE TRANSACTION 'a'", route.KindWrite, route.EffectNone},
		{"CREATE TEMPORARY TABLE lots2 (id int)", route.KindSessionState, route.EffectPin},
		{"CREATE TABLE lots2 (id int)", route.KindWrite, route.EffectNone},
		{"DECLARE c CURSOR WITH HOLD FOR SELECT 1", route.KindSessionState, route.EffectPin},
		{"DISCARD ALL", route.KindSessionState, route.EffectClear},
		{"DISCARD ALL; SET a = 1", route.KindSessionState, route.EffectPin},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			got := route.Classify(tt.text)
			require.Equal(t, tt.kind, got.Kind, got.Kind)
			require.Equal(t, tt.effect, got.Effect, got.Effect)
			require.Equal(t, tt.kind == route.KindRead, got.Repeatable())
		})
	}
}

// Guards against texts that make the scanner read past their end or run forever.
func FuzzClassify(f *testing.F) {
	for _, text := range []string{"$a$", "E'\\", `"`, "/*/", "--", "'", "$1$", "select é'"} {
		f.Add(text)
	}
	f.Fuzz(func(_ *testing.T, text string) {
		route.Classify(text)
	})
}
