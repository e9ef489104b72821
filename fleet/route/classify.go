package route

import (
	"strings"
)

// Kind says what a statement does, as far as its keywords tell.
type Kind int

// Kinds in the order of strictness.
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
	// KindWrite runs on the primary; everything unknown is one.
	KindWrite
	// KindSessionState changes the state of the connection beyond a transaction.
	KindSessionState
)

// Effect says what a statement leaves on its connection.
type Effect int

// Effects in the order of strictness.
const (
	// EffectNone leaves nothing.
	EffectNone Effect = iota
	// EffectClear removes all session state: DISCARD ALL.
	EffectClear
	// EffectPin leaves state that later statements of the caller rely on: the connection stays with the caller, and needs
	// DISCARD ALL before another one gets it.
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

// Classify classifies the text of a query message; several statements count as the strictest of them.
func Classify(text string) Class {
	list, complete := statements(text)
	class := Class{Statements: len(list)}
	for _, tokens := range list {
		kind, effect := classify(tokens)
		class.Kind = max(class.Kind, kind)
		class.Effect = max(class.Effect, effect)
	}
	// Transaction control among other statements, as in "BEGIN READ ONLY; UPDATE ...", follows no single kind. A text that
	// does not end as expected may hide anything.
	if !complete || (len(list) > 1 && class.Kind != KindRead) {
		class.Kind = max(class.Kind, KindWrite)
	}
	return class
}

func classify(tokens []token) (Kind, Effect) {
	for len(tokens) > 0 && tokens[0].symbol == '(' {
		tokens = tokens[1:]
	}
	if len(tokens) == 0 || !tokens[0].word {
		return KindWrite, EffectNone
	}
	switch tokens[0].text {
	case "select", "values", "table", "show", "with":
		return query(tokens)
	case "explain":
		return explain(tokens)
	case "begin", "start":
		return begin(tokens), EffectNone
	case "commit", "end", "rollback", "abort":
		return end(tokens), EffectNone
	}
	if kind, effect, found := state(tokens); found {
		return kind, effect
	}
	return KindWrite, callEffect(tokens)
}

// query looks for what makes a query more than a read.
func query(tokens []token) (Kind, Effect) {
	kind, effect := KindRead, callEffect(tokens)
	for i, t := range tokens {
		switch {
		case calls(tokens, i) && hasSideEffect(t.text):
			kind = max(kind, KindWrite)
		case !t.word:
		case t.text == "into" && temporary(tokens[i+1:]):
			return KindSessionState, EffectPin
		case t.text == "into", t.text == "insert", t.text == "update", t.text == "delete", t.text == "merge":
			kind = max(kind, KindWrite)
		case t.text == "for" && i+1 < len(tokens) && locking[tokens[i+1].text]:
			kind = max(kind, KindWrite)
		}
	}
	return kind, effect
}

// locking holds the words that follow FOR in a locking clause; FOR alone also occurs in substring(x for 3).
var locking = map[string]bool{"update": true, "share": true, "no": true, "key": true}

func explain(tokens []token) (Kind, Effect) {
	for _, t := range tokens {
		if t.text == "analyze" || t.text == "analyse" {
			return KindWrite, EffectNone
		}
	}
	return KindRead, EffectNone
}

func begin(tokens []token) Kind {
	if tokens[0].text == "start" && !at(tokens, 1, "transaction") {
		return KindWrite
	}
	kind := KindBegin
	for i := range tokens {
		if at(tokens, i, "read") && at(tokens, i+1, "only") {
			kind = KindBeginReadOnly
		}
		if at(tokens, i, "read") && at(tokens, i+1, "write") {
			return KindBegin
		}
	}
	return kind
}

func end(tokens []token) Kind {
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

// state recognizes statements that change what the connection keeps beyond a transaction.
func state(tokens []token) (Kind, Effect, bool) {
	switch tokens[0].text {
	case "set":
		if at(tokens, 1, "local") || at(tokens, 1, "transaction") || at(tokens, 1, "constraints") {
			return KindWrite, EffectNone, true
		}
		return KindSessionState, EffectPin, true
	case "prepare":
		if at(tokens, 1, "transaction") {
			return KindWrite, EffectNone, true
		}
		return KindSessionState, EffectPin, true
	case "discard":
		if at(tokens, 1, "all") {
			return KindSessionState, EffectClear, true
		}
		return KindSessionState, EffectPin, true
	case "reset", "deallocate", "listen", "unlisten", "load":
		return KindSessionState, EffectPin, true
	case "create":
		if temporary(tokens[1:]) {
			return KindSessionState, EffectPin, true
		}
	case "declare":
		for i := range tokens {
			if at(tokens, i, "with") && at(tokens, i+1, "hold") {
				return KindSessionState, EffectPin, true
			}
		}
	}
	return 0, 0, false
}

// temporary reports whether the tokens start like TEMP TABLE, LOCAL TEMPORARY or OR REPLACE TEMP VIEW.
func temporary(tokens []token) bool {
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

func at(tokens []token, i int, word string) bool {
	return i < len(tokens) && tokens[i].word && tokens[i].text == word
}

// calls reports whether the token at i is the name of a function call.
func calls(tokens []token, i int) bool {
	return tokens[i].symbol == 0 && i+1 < len(tokens) && tokens[i+1].symbol == '('
}

// callEffect returns what calls of functions leave on the connection.
func callEffect(tokens []token) Effect {
	for i, t := range tokens {
		if calls(tokens, i) && pins(t.text) {
			return EffectPin
		}
	}
	return EffectNone
}

// sideEffects are functions of PostgreSQL that a SELECT may call and that need the primary; a trailing * stands for any
// ending. currval and lastval read what nextval left on the same connection.
var sideEffects = []string{
	"nextval", "setval", "currval", "lastval", "set_config", "pg_notify", "pg_advisory_*", "pg_try_advisory_*",
	"txid_current", "pg_current_xact_id", "lo_*", "lowrite", "pg_terminate_backend", "pg_cancel_backend",
	"pg_switch_wal", "pg_create_*", "pg_drop_*", "pg_logical_*", "pg_replication_*", "pg_promote", "pg_reload_conf",
	"pg_rotate_logfile", "pg_export_snapshot", "pg_stat_reset*", "pg_wal_replay_*", "pg_backup_*", "dblink*",
	"tamarack_*",
}

// pinning are functions whose effect stays on the connection: session locks and settings. nextval is not among them:
// currval outside of the same transaction is rare, and a pinned connection for each caller that numbers rows would
// use up an upstream's connections.
var pinning = []string{"set_config", "pg_advisory_lock*", "pg_try_advisory_lock*", "pg_advisory_unlock*"}

func hasSideEffect(name string) bool { return matches(sideEffects, name) }

func pins(name string) bool { return matches(pinning, name) }

func matches(patterns []string, name string) bool {
	for _, p := range patterns {
		if prefix, open := strings.CutSuffix(p, "*"); p == name || (open && strings.HasPrefix(name, prefix)) {
			return true
		}
	}
	return false
}
