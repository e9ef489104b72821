package ledger

import (
	"fmt"
	"sort"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/standin/statement"
)

// Fence makes the upstream refuse writes and replication under any older term, and returns its state with the position of
// the last record. Fencing again under the same term changes nothing.
func (l *Ledger) Fence(term ident.Term) (State, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.raiseTerm(term); err != nil {
		return l.state(), err
	}
	return l.state(), nil
}

// Promote makes the upstream the primary of the term. If it already is the primary, it accepts writes again after a drain.
func (l *Ledger) Promote(term ident.Term) (State, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.raiseTerm(term); err != nil {
		return l.state(), err
	}
	if l.primary {
		l.draining = false
		l.notify()
		return l.state(), nil
	}
	// An empty record adds the new term to the log, so that logs that end in an older term compare as older.
	lsn := l.last().LSN + recordOverhead
	err := l.append(&fleetpb.Record{Position: &fleetpb.Position{Term: uint64(term), Lsn: uint64(lsn)}})
	if err != nil {
		return l.state(), err
	}
	l.primary, l.dataTerm = true, term
	l.notify()
	return l.state(), nil
}

// Drain makes the primary refuse new write transactions.
func (l *Ledger) Drain(term ident.Term) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term < l.term {
		return l.olderTermError(term)
	}
	l.draining = l.primary
	l.notify()
	return nil
}

// Writers returns the number of open transactions that may still write.
func (l *Ledger) Writers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writers
}

// AbortWriters makes the commits of all open write transactions fail.
func (l *Ledger) AbortWriters() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAborted = l.lastTransaction
}

// Follow makes the upstream a replica under the term.
func (l *Ledger) Follow(term ident.Term) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.primary && l.term == term {
		return &statement.Error{Code: codeTerm, Message: fmt.Sprintf("the upstream is the primary of term %d", term)}
	}
	return l.raiseTerm(term)
}

// raiseTerm stores a newer term and ends the role that the upstream had under the older one.
func (l *Ledger) raiseTerm(term ident.Term) error {
	if term < l.term {
		return l.olderTermError(term)
	}
	if term == l.term {
		return nil
	}
	if err := l.write(&fleetpb.FileEntry{Kind: &fleetpb.FileEntry_Term{Term: uint64(term)}}); err != nil {
		return err
	}
	l.term, l.primary, l.draining = term, false, false
	l.notify()
	return nil
}

func (l *Ledger) olderTermError(term ident.Term) error {
	return &statement.Error{Code: codeTerm, Message: fmt.Sprintf("term %d is older than term %d of this upstream", term, l.term)}
}

// Ends returns the last position of each term in the log, in ascending order.
func (l *Ledger) Ends() []ident.Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ends()
}

func (l *Ledger) ends() []ident.Position {
	var all []ident.Position
	for i, e := range l.log {
		if i+1 == len(l.log) || l.log[i+1].position.Term != e.position.Term {
			all = append(all, e.position)
		}
	}
	return all
}

// Prefix returns the end of the common prefix of this log and a log with the given ends. Two logs that share a record also
// share all records before it, because each term has only one primary.
func (l *Ledger) Prefix(term ident.Term, ends []ident.Position) (ident.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.primary || l.term != term {
		return ident.Position{}, &statement.Error{Code: codeTerm, Message: fmt.Sprintf("the upstream is not the primary of term %d", term)}
	}
	own := l.ends()
	var prefix ident.Position
	for _, other := range ends {
		for _, mine := range own {
			if mine.Term == other.Term && prefix.Term < mine.Term {
				prefix = ident.Position{Term: mine.Term, LSN: min(mine.LSN, other.LSN)}
			}
		}
	}
	return prefix, nil
}

// StartFollow truncates the log to the prefix that it shares with the primary of the term.
func (l *Ledger) StartFollow(term ident.Term, prefix ident.Position) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkFollows(term); err != nil {
		return err
	}
	if prefix.LSN < l.last().LSN {
		cut := &fleetpb.Position{Term: uint64(prefix.Term), Lsn: uint64(prefix.LSN)}
		if err := l.write(&fleetpb.FileEntry{Kind: &fleetpb.FileEntry_Truncate{Truncate: cut}}); err != nil {
			return err
		}
		l.truncate(prefix.LSN)
	}
	l.dataTerm = term
	l.notify()
	return nil
}

// Apply adds records from the primary of the term.
func (l *Ledger) Apply(term ident.Term, records []*fleetpb.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkFollows(term); err != nil {
		return err
	}
	last := l.last()
	for _, r := range records {
		p := positionOf(r.GetPosition())
		if p.LSN <= last.LSN || p.Term < last.Term || p.Term > term {
			return &statement.Error{Code: codeTerm, Message: "record " + p.String() + " does not continue the log at " + last.String()}
		}
		last = p
	}
	if len(records) == 0 {
		return nil
	}
	return l.append(records...)
}

func (l *Ledger) checkFollows(term ident.Term) error {
	if l.term != term || l.primary {
		return &statement.Error{Code: codeTerm, Message: fmt.Sprintf("the upstream does not follow under term %d", term)}
	}
	return nil
}

// Read returns up to limit records after a position, whether they reach the end of the log, and a channel that is closed at
// the next change of state. It fails if the upstream is not the primary of the term.
func (l *Ledger) Read(term ident.Term, after ident.LSN, limit int) ([]*fleetpb.Record, bool, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.primary || l.term != term {
		return nil, false, nil, l.olderTermError(term)
	}
	from := sort.Search(len(l.log), func(i int) bool { return l.log[i].position.LSN > after })
	to := min(from+limit, len(l.log))
	var records []*fleetpb.Record
	for _, e := range l.log[from:to] {
		records = append(records, decode(e.record))
	}
	return records, to == len(l.log), l.changed, nil
}
