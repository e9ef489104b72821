package ledger

import (
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/standin/statement"
)

// Result holds the rows that a statement returned and its command tag.
type Result struct {
	Rows [][]string
	Tag  string
}

// Done describes a finished transaction.
type Done struct {
	// Wrote is set if the transaction ran statements that write; Position is then a position of the log that includes everything
	// that the transaction read and wrote. Both are also set if no row changed, as the caller relies on rows whose records may
	// not be replicated yet.
	Wrote    bool
	Position ident.Position
	// Term is the term of the upstream at the commit.
	Term ident.Term
}

type rowKey struct {
	table, id string
}

// pendingRow is a row that an open transaction wrote. values is nil if the row was deleted; version is that of the
// committed row at the transaction's first write to it.
type pendingRow struct {
	values  []string
	version ident.LSN
}

// Transaction buffers writes until Commit; reads see committed rows and the transaction's own writes.
type Transaction struct {
	ledger   *Ledger
	number   uint64
	term     ident.Term
	readonly bool
	// writer is set while the transaction is one of those that a drain waits for.
	writer     bool
	hasWritten bool
	writes     map[rowKey]pendingRow
	order      []rowKey
}

// Begin opens a transaction. A draining primary refuses transactions that may write; a replica refuses only those that are
// declared READ WRITE.
func (l *Ledger) Begin(b statement.Begin) (*Transaction, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !b.ReadOnly && (l.draining || b.ReadWrite && !l.primary) {
		return nil, &statement.Error{Code: codeReadOnly, Message: "cannot begin a read-write transaction on this upstream"}
	}
	t := l.begin(b.ReadOnly)
	if l.primary && !b.ReadOnly {
		t.writer = true
		l.writers++
	}
	return t, nil
}

func (l *Ledger) begin(readonly bool) *Transaction {
	l.lastTransaction++
	return &Transaction{ledger: l, number: l.lastTransaction, term: l.term, readonly: readonly, writes: map[rowKey]pendingRow{}}
}

// Run runs one statement in a transaction of its own. No other transaction commits between its reads and its commit.
func (l *Ledger) Run(st statement.Statement, args []string) (Result, Done, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.begin(false)
	if isWrite(st) && l.draining {
		return Result{}, Done{}, readOnlyError(st)
	}
	result, err := t.run(st, args)
	if err != nil {
		return Result{}, Done{}, err
	}
	done, err := t.commit()
	return result, done, err
}

// Run runs a statement inside the transaction.
func (t *Transaction) Run(st statement.Statement, args []string) (Result, error) {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	return t.run(st, args)
}

// Commit applies the writes. It fails if another transaction has changed one of the rows since this one first wrote it, if
// a drain aborted this one, or if the upstream is no longer the primary of this one's term.
func (t *Transaction) Commit() (Done, error) {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	defer t.end()
	return t.commit()
}

// Rollback drops the writes.
func (t *Transaction) Rollback() {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	t.end()
}

func (t *Transaction) end() {
	if t.writer {
		t.writer = false
		t.ledger.writers--
		t.ledger.notify()
	}
}

func (t *Transaction) commit() (Done, error) {
	l := t.ledger
	if !t.hasWritten {
		return Done{Term: l.term}, nil
	}
	if !l.primary || l.term != t.term {
		return Done{}, &statement.Error{Code: codeReadOnly, Message: "the upstream is no longer primary; the transaction was rolled back"}
	}
	if t.number <= l.lastAborted {
		return Done{}, &statement.Error{Code: codeConflict, Message: "the upstream is draining; the transaction was rolled back"}
	}
	if len(t.writes) == 0 {
		return Done{Wrote: true, Position: l.position(), Term: l.term}, nil
	}
	r := &fleetpb.Record{}
	for _, key := range t.order {
		p := t.writes[key]
		current, exists := l.tables[key.table][key.id]
		if current.version != p.version {
			if exists && p.version == 0 {
				return Done{}, duplicateError(key)
			}
			return Done{}, &statement.Error{Code: codeConflict, Message: "could not serialize access due to concurrent update"}
		}
		w := &fleetpb.RowWrite{Table: key.table, Row: p.values}
		if p.values == nil {
			w.Row, w.Remove = []string{key.id}, true
		}
		r.Writes = append(r.Writes, w)
	}
	lsn := l.last().LSN + ident.LSN(proto.Size(r)) + recordOverhead
	r.Position = &fleetpb.Position{Term: uint64(l.term), Lsn: uint64(lsn)}
	if err := l.append(r); err != nil {
		return Done{}, err
	}
	return Done{Wrote: true, Position: l.last(), Term: l.term}, nil
}

func (t *Transaction) run(st statement.Statement, args []string) (Result, error) {
	if isWrite(st) {
		if t.readonly || !t.ledger.primary || t.ledger.term != t.term || t.number <= t.ledger.lastAborted {
			return Result{}, readOnlyError(st)
		}
		t.hasWritten = true
	}
	switch st := st.(type) {
	case statement.Select:
		return t.selectRows(st, args), nil
	case statement.Insert:
		return t.insert(st, args)
	case statement.Update:
		return t.update(st, args)
	case statement.Delete:
		key := rowKey{st.Table, value(st.ID, args)}
		if _, exists := t.read(key); !exists {
			return Result{Tag: "DELETE 0"}, nil
		}
		t.write(key, nil)
		return Result{Tag: "DELETE 1"}, nil
	}
	return Result{}, &statement.Error{Code: "0A000", Message: "the statement does not use a table"}
}

func (t *Transaction) selectRows(st statement.Select, args []string) Result {
	table := t.ledger.tables[st.Table]
	if st.Count && len(st.Where) == 0 && len(t.writes) == 0 {
		return Result{Rows: [][]string{{strconv.Itoa(len(table))}}, Tag: "SELECT 1"}
	}
	var found [][]string
	for _, id := range t.candidates(st, args) {
		values, exists := t.read(rowKey{st.Table, id})
		if exists && matches(values, st.Where, args) {
			found = append(found, values)
		}
	}
	if st.Count {
		return Result{Rows: [][]string{{strconv.Itoa(len(found))}}, Tag: "SELECT 1"}
	}
	slices.SortFunc(found, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	if st.Limit >= 0 && st.Limit < len(found) {
		found = found[:st.Limit]
	}
	rows := make([][]string, len(found))
	for i, values := range found {
		for _, c := range st.Columns {
			rows[i] = append(rows[i], values[c])
		}
	}
	return Result{Rows: rows, Tag: "SELECT " + strconv.Itoa(len(rows))}
}

// candidates returns the ids of the rows that a query has to check against its conditions.
func (t *Transaction) candidates(st statement.Select, args []string) []string {
	for _, w := range st.Where {
		if w.Column == 0 {
			return []string{value(w.Value, args)}
		}
	}
	var ids []string
	for id := range t.ledger.tables[st.Table] {
		ids = append(ids, id)
	}
	for _, key := range t.order {
		if _, exists := t.ledger.tables[st.Table][key.id]; !exists && key.table == st.Table {
			ids = append(ids, key.id)
		}
	}
	return ids
}

func (t *Transaction) insert(st statement.Insert, args []string) (Result, error) {
	added := 0
	for _, columns := range st.Rows {
		values := make([]string, len(statement.Tables[st.Table]))
		for i, c := range statement.Tables[st.Table] {
			if c.Type == statement.Int8 {
				values[i] = "0"
			}
		}
		for _, c := range columns {
			if err := checkValue(c.Value, args); err != nil {
				return Result{}, err
			}
			values[c.Column] = value(c.Value, args)
		}
		key := rowKey{st.Table, values[0]}
		if _, exists := t.read(key); exists {
			if st.Ignore {
				continue
			}
			return Result{}, duplicateError(key)
		}
		t.write(key, values)
		added++
	}
	return Result{Tag: "INSERT 0 " + strconv.Itoa(added)}, nil
}

func (t *Transaction) update(st statement.Update, args []string) (Result, error) {
	if err := checkValue(st.Value, args); err != nil {
		return Result{}, err
	}
	key := rowKey{st.Table, value(st.ID, args)}
	values, exists := t.read(key)
	if !exists {
		return Result{Tag: "UPDATE 0"}, nil
	}
	changed := slices.Clone(values)
	changed[st.Column] = value(st.Value, args)
	if st.Sign != 0 {
		sum, err := addIntegers(values[st.Column], changed[st.Column], st.Sign)
		if err != nil {
			return Result{}, err
		}
		changed[st.Column] = sum
	}
	t.write(key, changed)
	return Result{Tag: "UPDATE 1"}, nil
}

func addIntegers(a, b string, sign int) (string, error) {
	x, err := strconv.ParseInt(a, 10, 64)
	if err != nil {
		return "", &statement.Error{Code: codeInvalid, Message: "invalid input syntax for type bigint"}
	}
	y, err := strconv.ParseInt(b, 10, 64)
	if err != nil {
		return "", &statement.Error{Code: codeInvalid, Message: "invalid input syntax for type bigint"}
	}
	y *= int64(sign)
	if sum := x + y; sum > x == (y > 0) {
		return strconv.FormatInt(sum, 10), nil
	}
	return "", &statement.Error{Code: codeRange, Message: "bigint out of range"}
}

func (t *Transaction) read(key rowKey) ([]string, bool) {
	if p, written := t.writes[key]; written {
		return p.values, p.values != nil
	}
	r, exists := t.ledger.tables[key.table][key.id]
	return r.values, exists
}

func (t *Transaction) write(key rowKey, values []string) {
	p, written := t.writes[key]
	if !written {
		p.version = t.ledger.tables[key.table][key.id].version
		t.order = append(t.order, key)
	}
	p.values = values
	t.writes[key] = p
}

func matches(values []string, where []statement.Equal, args []string) bool {
	for _, w := range where {
		if values[w.Column] != value(w.Value, args) {
			return false
		}
	}
	return true
}

func value(v statement.Value, args []string) string {
	if v.Param > 0 && v.Param <= len(args) {
		return args[v.Param-1]
	}
	return v.Literal
}

// checkValue returns an error for a value that its column cannot store.
func checkValue(v statement.Value, args []string) error {
	if v.Type != statement.Int8 {
		return nil
	}
	if _, err := strconv.ParseInt(value(v, args), 10, 64); err != nil {
		return &statement.Error{Code: codeInvalid, Message: "invalid input syntax for type bigint: \"" + value(v, args) + "\""}
	}
	return nil
}

// isWrite reports whether a statement changes rows.
func isWrite(st statement.Statement) bool {
	switch st.(type) {
	case statement.Insert, statement.Update, statement.Delete:
		return true
	}
	return false
}

func readOnlyError(st statement.Statement) error {
	command := "INSERT"
	switch st.(type) {
	case statement.Update:
		command = "UPDATE"
	case statement.Delete:
		command = "DELETE"
	}
	return &statement.Error{Code: codeReadOnly, Message: "cannot execute " + command + " in a read-only transaction"}
}

func duplicateError(key rowKey) error {
	return &statement.Error{Code: codeDuplicate, Message: "duplicate key value violates unique constraint \"" + key.table + "_pkey\""}
}
