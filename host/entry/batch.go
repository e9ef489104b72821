package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/fleet/route"
	"tamarackshunt.dev/host/upstream"
)

// statement is a caller's prepared statement.
type statement struct {
	sql   string
	oids  []uint32
	class route.Class
	// name is the name under which upstreams prepare the statement. Callers share it for the same text and parameter types.
	name string
}

func newStatement(sql string, oids []uint32) *statement {
	digest := sha256.New()
	digest.Write([]byte(sql))
	// A text of the protocol contains no zero byte, so the separator keeps the end of the text and the first type apart.
	digest.Write([]byte{0})
	for _, oid := range oids {
		digest.Write(binary.BigEndian.AppendUint32(nil, oid))
	}
	sum := digest.Sum(nil)
	return &statement{sql: sql, oids: oids, class: route.Classify(sql), name: "ts" + hex.EncodeToString(sum[:16])}
}

// unknownPrefix keeps a caller's unknown statement name from matching a statement of the host on a connection.
const unknownPrefix = "unknown "

// batch holds a caller's messages up to and including a Query, a Sync or a Flush.
type batch struct {
	messages []pgproto3.FrontendMessage
	// statements maps the index of a message to the prepared statement that it refers to.
	statements map[int]*statement
	// class is the strictest class of the statements that the batch executes.
	class route.Class
	// executes is set when the batch executes a statement. Otherwise it only prepares.
	executes bool
	// query is the text of the simple query, empty for extended messages.
	query string
	// flush is set when the batch ends with Flush, so that more messages follow before the Sync.
	flush bool
}

func (b *batch) addClass(class route.Class) {
	b.executes = true
	b.class.Kind = max(b.class.Kind, class.Kind)
	b.class.Effect = max(b.class.Effect, class.Effect)
	b.class.Statements += class.Statements
}

// mayCommit reports whether the batch may end its transaction with a commit. A batch that executes nothing may be the Sync
// that commits the statements of an earlier Flush.
func (b *batch) mayCommit() bool {
	return b.class.Kind == route.KindCommit || b.class.Statements > 1 || !b.executes
}

// single reports whether the batch is one simple query with exactly one statement, of the given kind.
func (b *batch) single(kind route.Kind) bool {
	return b.query != "" && len(b.messages) == 1 && b.class.Statements == 1 && b.class.Kind == kind
}

func (b *batch) add(message pgproto3.FrontendMessage, stmt *statement) {
	if stmt != nil {
		if b.statements == nil {
			b.statements = make(map[int]*statement)
		}
		b.statements[len(b.messages)] = stmt
	}
	b.messages = append(b.messages, message)
}

// answer identifies the messages of the upstream that complete the answer to one message.
type answer int

const (
	answerParse answer = iota
	answerBind
	answerDescribeStatement
	answerDescribePortal
	answerExecute
	answerClose
	answerReady
	answerNothing
	answerLocal
)

// step is one message of a batch, adapted to the connection that it is sent on.
type step struct {
	message pgproto3.FrontendMessage
	answer  answer
	// hide is set for a message that the caller did not send; its answer is not relayed.
	hide bool
	// local is the answer to a message that needs no upstream.
	local pgproto3.BackendMessage
	// prepares is the statement that is prepared on the connection once the step is answered; named is set unless it is
	// the unnamed statement.
	prepares *statement
	named    bool
}

// plan turns a batch into steps for a connection. Statements that the connection lacks are prepared first.
func (b *batch) plan(conn *upstream.Conn) []step {
	p := planner{conn: conn, pending: make(map[string]bool), unnamed: conn.Unnamed()}
	for i, message := range b.messages {
		p.add(message, b.statements[i])
	}
	return p.steps
}

type planner struct {
	conn    *upstream.Conn
	pending map[string]bool
	unnamed string
	steps   []step
}

func (p *planner) add(message pgproto3.FrontendMessage, stmt *statement) {
	switch m := message.(type) {
	case *pgproto3.Parse:
		p.addParse(m, stmt)
	case *pgproto3.Bind:
		bind := *m
		bind.PreparedStatement = p.ensure(m.PreparedStatement, stmt)
		p.steps = append(p.steps, step{message: &bind, answer: answerBind})
	case *pgproto3.Describe:
		p.addDescribe(m, stmt)
	case *pgproto3.Execute:
		p.steps = append(p.steps, step{message: m, answer: answerExecute})
	case *pgproto3.Close:
		p.addClose(m)
	case *pgproto3.Query, *pgproto3.Sync:
		p.steps = append(p.steps, step{message: m, answer: answerReady})
	case *pgproto3.Flush:
		p.steps = append(p.steps, step{message: m, answer: answerNothing})
	}
}

func (p *planner) addParse(m *pgproto3.Parse, stmt *statement) {
	if m.Name == "" {
		p.steps = append(p.steps, step{message: m, answer: answerParse, prepares: stmt})
		p.unnamed = stmt.name
		return
	}
	if p.has(stmt) {
		p.steps = append(p.steps, step{answer: answerLocal, local: &pgproto3.ParseComplete{}})
		return
	}
	p.prepare(stmt, false)
}

func (p *planner) addDescribe(m *pgproto3.Describe, stmt *statement) {
	if m.ObjectType == 'P' {
		p.steps = append(p.steps, step{message: m, answer: answerDescribePortal})
		return
	}
	describe := &pgproto3.Describe{ObjectType: 'S', Name: p.ensure(m.Name, stmt)}
	p.steps = append(p.steps, step{message: describe, answer: answerDescribeStatement})
}

func (p *planner) addClose(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		// Other callers may use the same statement on the connection, so only the caller's name for it is removed.
		p.steps = append(p.steps, step{answer: answerLocal, local: &pgproto3.CloseComplete{}})
		return
	}
	p.steps = append(p.steps, step{message: m, answer: answerClose})
}

// ensure adds the Parse that a statement still needs on the connection, and returns the statement's name there.
func (p *planner) ensure(callerName string, stmt *statement) string {
	if stmt == nil {
		return unknownPrefix + callerName
	}
	if callerName == "" {
		if p.unnamed != stmt.name {
			parse := &pgproto3.Parse{Query: stmt.sql, ParameterOIDs: stmt.oids}
			p.steps = append(p.steps, step{message: parse, answer: answerParse, hide: true, prepares: stmt})
			p.unnamed = stmt.name
		}
		return ""
	}
	if !p.has(stmt) {
		p.prepare(stmt, true)
	}
	return stmt.name
}

func (p *planner) has(s *statement) bool {
	return p.conn.Prepared(s.name) || p.pending[s.name]
}

func (p *planner) prepare(s *statement, hide bool) {
	parse := &pgproto3.Parse{Name: s.name, Query: s.sql, ParameterOIDs: s.oids}
	p.steps = append(p.steps, step{message: parse, answer: answerParse, hide: hide, prepares: s, named: true})
	p.pending[s.name] = true
}
