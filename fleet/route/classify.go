package route

import (
	"strings"
)

// Kind is the type of a statement according to its keywords.
type Kind int

// Kinds, in ascending order of strictness.
const (
	// KindRead may run on a replica.
	KindRead Kind = iota
	// KindBeginReadOnly starts a transaction that may run on a replica.
	KindBeginReadOnly
	// KindBegin starts a transaction on the primary.
	KindBegin
	// KindCommit ends a transaction.
	KindCommit
	// KindRollback ends a transaction without effect.
	KindRollback
	// KindWrite runs on the primary; every unknown statement counts as one.
	KindWrite
	// KindSessionState changes the state of the connection beyond a transaction.
	KindSessionState
)

// Effect is the effect of a statement on the session state of its connection.
type Effect int

// Effects, in ascending order of strictness.
const (
	// EffectNone leaves the session state as it is.
	EffectNone Effect = iota
	// EffectClear removes all session state: DISCARD ALL.
	EffectClear
	// EffectPin leaves state that later statements of the caller depend on. The connection stays with the caller and needs
	// DISCARD ALL before another caller gets it.
	EffectPin
)

//go:generate enumer -type=Kind -trimprefix=Kind -transform=snake
//go:generate enumer -type=Effect -trimprefix=Effect -transform=snake

// Class is the classification of the text of one query message.
type Class struct {
	Kind   Kind
	Effect Effect
	// Statements is the number of statements in the text.
	Statements int
}

// Repeatable reports whether the text may be sent again after it may have run.
func (c Class) Repeatable() bool {
	return c.Kind == KindRead
}

// OnReplica reports whether the text may go to a replica.
func (c Class) OnReplica() bool {
	return c.Kind == KindRead || c.Kind == KindBeginReadOnly
}

// Classify classifies the text of a query message. Several statements count as the strictest of them.
func Classify(text string) Class {
	list, complete := splitStatements(text)
	class := Class{Statements: len(list)}
	for _, tokens := range list {
		kind, effect := classifyStatement(tokens)
		class.Kind = max(class.Kind, kind)
		class.Effect = max(class.Effect, effect)
	}
	// Transaction control among other statements, as in "BEGIN READ ONLY; UPDATE ...", has no single kind. A text with an
	// unterminated literal, identifier or comment may contain any statement.
	if !complete || (len(list) > 1 && class.Kind != KindRead) {
		class.Kind = max(class.Kind, KindWrite)
	}
	return class
}

func classifyStatement(tokens []token) (Kind, Effect) {
	for len(tokens) > 0 && tokens[0].symbol == '(' {
		tokens = tokens[1:]
	}
	if len(tokens) == 0 || !tokens[0].word {
		return KindWrite, EffectNone
	}
	switch tokens[0].text {
	case "select", "values", "table", "show", "with":
		return classifyQuery(tokens)
	case "explain":
		return classifyExplain(tokens)
	case "begin", "start":
		return classifyBegin(tokens), EffectNone
	case "commit", "end", "rollback", "abort":
		return classifyEnd(tokens), EffectNone
	}
	if kind, effect, found := classifySessionState(tokens); found {
		return kind, effect
	}
	return KindWrite, callEffect(tokens)
}

// classifyQuery searches a query for clauses and function calls that make it more than a read.
func classifyQuery(tokens []token) (Kind, Effect) {
	kind, effect := KindRead, callEffect(tokens)
	for i, t := range tokens {
		switch {
		case isCall(tokens, i) && hasSideEffect(t.text):
			kind = max(kind, KindWrite)
		case !t.word:
		case t.text == "into" && startsTemporary(tokens[i+1:]):
			return KindSessionState, EffectPin
		case t.text == "into", t.text == "insert", t.text == "update", t.text == "delete", t.text == "merge":
			kind = max(kind, KindWrite)
		case t.text == "for" && i+1 < len(tokens) && lockingWords[tokens[i+1].text]:
			kind = max(kind, KindWrite)
		}
	}
	return kind, effect
}

// lockingWords are the words that follow FOR in a locking clause. FOR alone also occurs in substring(x for 3).
var lockingWords = map[string]bool{"update": true, "share": true, "no": true, "key": true}

func classifyExplain(tokens []token) (Kind, Effect) {
	for _, t := range tokens {
		if t.text == "analyze" || t.text == "analyse" {
			return KindWrite, EffectNone
		}
	}
	return KindRead, EffectNone
}

func classifyBegin(tokens []token) Kind {
	if tokens[0].text == "start" && !isWord(tokens, 1, "transaction") {
		return KindWrite
	}
	kind := KindBegin
	for i := range tokens {
		if isWord(tokens, i, "read") && isWord(tokens, i+1, "only") {
			kind = KindBeginReadOnly
		}
		if isWord(tokens, i, "read") && isWord(tokens, i+1, "write") {
			return KindBegin
		}
	}
	return kind
}

func classifyEnd(tokens []token) Kind {
	for _, t := range tokens[1:] {
		if t.text == "prepared" || t.text == "to" {
			// COMMIT PREPARED ends another transaction; ROLLBACK TO SAVEPOINT does not end this one.
			return KindWrite
		}
	}
	if tokens[0].text == "commit" || tokens[0].text == "end" {
		return KindCommit
	}
	return KindRollback
}

// classifySessionState recognizes statements that can change the state of the connection beyond a transaction. The last result
// is false for all other statements.
func classifySessionState(tokens []token) (Kind, Effect, bool) {
	switch tokens[0].text {
	case "set":
		if isWord(tokens, 1, "local") || isWord(tokens, 1, "transaction") || isWord(tokens, 1, "constraints") {
			return KindWrite, EffectNone, true
		}
		return KindSessionState, EffectPin, true
	case "prepare":
		if isWord(tokens, 1, "transaction") {
			return KindWrite, EffectNone, true
		}
		return KindSessionState, EffectPin, true
	case "discard":
		if isWord(tokens, 1, "all") {
			return KindSessionState, EffectClear, true
		}
		return KindSessionState, EffectPin, true
	case "reset", "deallocate", "listen", "unlisten", "load":
		return KindSessionState, EffectPin, true
	case "create":
		if startsTemporary(tokens[1:]) {
			return KindSessionState, EffectPin, true
		}
	case "declare":
		for i := range tokens {
			if isWord(tokens, i, "with") && isWord(tokens, i+1, "hold") {
				return KindSessionState, EffectPin, true
			}
		}
	}
	return 0, 0, false
}

// startsTemporary reports whether the tokens start with a temporary object, as TEMP TABLE, LOCAL TEMPORARY or OR REPLACE TEMP
// VIEW do.
func startsTemporary(tokens []token) bool {
	for _, t := range tokens {
		switch t.text {
		case "temp", "temporary":
			return true
		case "or", "replace", "local", "global":
		default:
			return false
		}
	}
	return false
}

func isWord(tokens []token, i int, word string) bool {
	return i < len(tokens) && tokens[i].word && tokens[i].text == word
}

// isCall reports whether the token at i is the name of a function call.
func isCall(tokens []token, i int) bool {
	return tokens[i].symbol == 0 && i+1 < len(tokens) && tokens[i+1].symbol == '('
}

// callEffect returns the effect of function calls on the connection.
func callEffect(tokens []token) Effect {
	for i, t := range tokens {
		if isCall(tokens, i) && pinsConnection(t.text) {
			return EffectPin
		}
	}
	return EffectNone
}

// sideEffectFunctions are functions of PostgreSQL that a SELECT may call and that need the primary. A trailing * matches any
// suffix. currval and lastval are included because they read what nextval has stored on the same connection.
var sideEffectFunctions = []string{
	"nextval", "setval", "currval", "lastval", "set_config", "pg_notify", "pg_advisory_*", "pg_try_advisory_*",
	"txid_current", "pg_current_xact_id", "lo_*", "lowrite", "pg_terminate_backend", "pg_cancel_backend",
	"pg_switch_wal", "pg_create_*", "pg_drop_*", "pg_logical_*", "pg_replication_*", "pg_promote", "pg_reload_conf",
	"pg_rotate_logfile", "pg_export_snapshot", "pg_stat_reset*", "pg_wal_replay_*", "pg_backup_*", "dblink*",
	"tamarack_*",
}

// pinningFunctions are functions whose effect stays on the connection: session locks and settings. nextval is not included:
// currval outside of the same transaction is rare, and one pinned connection for each caller that generates row numbers would
// exhaust an upstream's connections.
var pinningFunctions = []string{"set_config", "pg_advisory_lock*", "pg_try_advisory_lock*", "pg_advisory_unlock*"}

func hasSideEffect(name string) bool { return matchesAny(sideEffectFunctions, name) }

func pinsConnection(name string) bool { return matchesAny(pinningFunctions, name) }

func matchesAny(patterns []string, name string) bool {
	for _, p := range patterns {
		if prefix, wildcard := strings.CutSuffix(p, "*"); p == name || (wildcard && strings.HasPrefix(name, prefix)) {
			return true
		}
	}
	return false
}
