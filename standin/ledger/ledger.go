package ledger

import (
	"sort"
	"sync"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/standin/statement"
)

// recordOverhead is the number of bytes by which a record advances the LSN in addition to the encoded size of its writes.
const recordOverhead = 24

// SQLSTATE codes of the errors that this package returns.
const (
	codeReadOnly  = "25006"
	codeConflict  = "40001"
	codeDuplicate = "23505"
	codeInvalid   = "22P02"
	codeRange     = "22003"
	codeTerm      = "55000"
	codeFile      = "58030"
)

// Sink stores file entries durably before Append returns.
type Sink interface {
	Append(...*fleetpb.FileEntry) error
}

// State describes the role, the term and the log of an upstream.
type State struct {
	Primary  bool
	Draining bool
	// Term is the highest term under which the upstream was fenced, promoted or made a follower.
	Term ident.Term
	// Last is the position of the last record.
	Last ident.Position
}

type row struct {
	values  []string
	version ident.LSN
}

type entry struct {
	position ident.Position
	record   []byte
}

// Ledger holds the tables, the record log and the role of one upstream. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	tables map[string]map[string]row
	log    []entry
	sink   Sink
	// failed is the error of the first failed write of the record file. After it neither records nor terms are accepted.
	failed error

	primary  bool
	draining bool
	term     ident.Term
	// dataTerm is the term of the primary whose log has this log as a prefix.
	dataTerm ident.Term
	// writers is the number of open transactions that may write. lastTransaction is the number of the newest transaction;
	// transactions up to number lastAborted may no longer write.
	writers         int
	lastTransaction uint64
	lastAborted     uint64
	changed         chan struct{}
}

// New returns a ledger in the role of a replica, with the entries of a record file. If sink is nil, records are kept in
// memory only.
func New(entries []*fleetpb.FileEntry, sink Sink) *Ledger {
	l := &Ledger{sink: sink, changed: make(chan struct{})}
	l.resetTables()
	for _, e := range entries {
		switch kind := e.Kind.(type) {
		case *fleetpb.FileEntry_Record:
			l.add(kind.Record)
		case *fleetpb.FileEntry_Truncate:
			l.truncate(ident.LSN(kind.Truncate.GetLsn()))
		case *fleetpb.FileEntry_Term:
			l.term = ident.Term(kind.Term)
		}
	}
	l.dataTerm = l.last().Term
	return l
}

func (l *Ledger) resetTables() {
	l.tables = map[string]map[string]row{}
	for name := range statement.Tables {
		l.tables[name] = map[string]row{}
	}
}

// State returns the role, the term and the position of the last record.
func (l *Ledger) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state()
}

func (l *Ledger) state() State {
	return State{Primary: l.primary, Draining: l.draining, Term: l.term, Last: l.last()}
}

// Position returns the position of the data that reads return: the LSN of the last record, under the term of the primary
// whose log has this log as a prefix.
func (l *Ledger) Position() ident.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position()
}

func (l *Ledger) position() ident.Position {
	return ident.Position{Term: l.dataTerm, LSN: l.last().LSN}
}

func (l *Ledger) last() ident.Position {
	if len(l.log) == 0 {
		return ident.Position{}
	}
	return l.log[len(l.log)-1].position
}

// Changed returns a channel that is closed at the next change of state.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *Ledger) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// write stores entries in the record file. After a failure the content of the file is unknown, so all later writes fail and
// the upstream is no longer primary.
func (l *Ledger) write(entries ...*fleetpb.FileEntry) error {
	if l.failed == nil && l.sink != nil {
		l.failed = l.sink.Append(entries...)
	}
	if l.failed != nil {
		l.primary = false
		return &statement.Error{Code: codeFile, Message: "cannot write the record file: " + l.failed.Error()}
	}
	return nil
}

// append stores records in the record file, and adds them to the log and the tables.
func (l *Ledger) append(records ...*fleetpb.Record) error {
	var entries []*fleetpb.FileEntry
	for _, r := range records {
		entries = append(entries, &fleetpb.FileEntry{Kind: &fleetpb.FileEntry_Record{Record: r}})
	}
	if err := l.write(entries...); err != nil {
		return err
	}
	for _, r := range records {
		l.add(r)
	}
	l.notify()
	return nil
}

// add appends a record to the log and applies its writes to the tables.
func (l *Ledger) add(r *fleetpb.Record) {
	data, err := proto.Marshal(r)
	if err != nil {
		panic(err) // Cannot fail: the strings of a record were valid UTF-8 when it was read.
	}
	p := positionOf(r.GetPosition())
	l.log = append(l.log, entry{p, data})
	l.apply(r)
}

func (l *Ledger) apply(r *fleetpb.Record) {
	for _, w := range r.GetWrites() {
		table, known := l.tables[w.GetTable()]
		if !known || len(w.GetRow()) == 0 {
			continue
		}
		if !w.GetRemove() && len(w.GetRow()) != len(statement.Tables[w.GetTable()]) {
			continue
		}
		if w.GetRemove() {
			delete(table, w.GetRow()[0])
			continue
		}
		table[w.GetRow()[0]] = row{w.GetRow(), ident.LSN(r.GetPosition().GetLsn())}
	}
}

// truncate drops the records after a position and rebuilds the tables from the rest.
func (l *Ledger) truncate(after ident.LSN) {
	n := sort.Search(len(l.log), func(i int) bool { return l.log[i].position.LSN > after })
	if n == len(l.log) {
		return
	}
	l.log = l.log[:n]
	l.resetTables()
	for _, e := range l.log {
		l.apply(decode(e.record))
	}
}

func decode(data []byte) *fleetpb.Record {
	var r fleetpb.Record
	if err := proto.Unmarshal(data, &r); err != nil {
		panic(err) // Cannot fail: add marshalled the bytes.
	}
	return &r
}

func positionOf(p *fleetpb.Position) ident.Position {
	return ident.Position{Term: ident.Term(p.GetTerm()), LSN: ident.LSN(p.GetLsn())}
}
