package ledger_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/statement"
)

func parse(t *testing.T, sql string) statement.Statement {
	t.Helper()
	all, err := statement.Parse(sql)
	require.NoError(t, err)
	return all[0].Statement
}

func insert(t *testing.T, l *ledger.Ledger, id string) error {
	t.Helper()
	_, _, err := l.Run(parse(t, "INSERT INTO orders (id) VALUES ('"+id+"')"), nil)
	return err
}

func ids(t *testing.T, l *ledger.Ledger) []string {
	t.Helper()
	r, _, err := l.Run(parse(t, "SELECT id FROM orders"), nil)
	require.NoError(t, err)
	var all []string
	for _, row := range r.Rows {
		all = append(all, row[0])
	}
	return all
}

func requireCode(t *testing.T, code string, err error) {
	t.Helper()
	var failure *statement.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, code, failure.Code)
}

func promote(t *testing.T, l *ledger.Ledger, term ident.Term) {
	t.Helper()
	_, err := l.Promote(term)
	require.NoError(t, err)
}

// catchUp makes a replica follow a primary and copies all records to it.
func catchUp(t *testing.T, from, to *ledger.Ledger, term ident.Term) {
	t.Helper()
	require.NoError(t, to.Follow(term))
	prefix, err := from.Prefix(term, to.Ends())
	require.NoError(t, err)
	require.NoError(t, to.StartFollow(term, prefix))
	records, complete, _, err := from.Read(term, prefix.LSN, 1000)
	require.NoError(t, err)
	require.True(t, complete)
	require.NoError(t, to.Apply(term, records))
}

// Guards against two concurrent transactions that both commit a change of the same row, and against a commit after the
// upstream was fenced or after a drain aborted the transaction.
func TestTransactions(t *testing.T) {
	l := ledger.New(nil, nil)
	promote(t, l, 1)
	require.NoError(t, insert(t, l, "o1"))
	begin := func() *ledger.Transaction {
		tx, err := l.Begin(statement.Begin{})
		require.NoError(t, err)
		return tx
	}
	first, second := begin(), begin()
	update := parse(t, "UPDATE orders SET note = 'x' WHERE id = 'o1'")
	for _, tx := range []*ledger.Transaction{first, second} {
		_, err := tx.Run(update, nil)
		require.NoError(t, err)
	}
	_, err := first.Commit()
	require.NoError(t, err)
	_, err = second.Commit()
	requireCode(t, "40001", err)

	running, idle := begin(), begin()
	_, err = running.Run(update, nil)
	require.NoError(t, err)
	require.NoError(t, l.Drain(1))
	_, err = l.Begin(statement.Begin{})
	requireCode(t, "25006", err)
	requireCode(t, "25006", insert(t, l, "drained"))
	_, err = running.Commit()
	require.NoError(t, err, "a transaction that wrote before the drain may commit")
	require.Equal(t, 1, l.Writers())
	l.AbortWriters()
	_, err = idle.Run(update, nil)
	requireCode(t, "25006", err)
	idle.Rollback()

	promote(t, l, 1)
	fenced := begin()
	_, err = fenced.Run(update, nil)
	require.NoError(t, err)
	state, err := l.Fence(2)
	require.NoError(t, err)
	_, err = fenced.Commit()
	requireCode(t, "25006", err)
	require.Equal(t, state.Last, l.State().Last, "no record is added after the fence has returned")
	_, err = l.Fence(1)
	requireCode(t, "55000", err)
	promote(t, l, 2)
	_, err = fenced.Commit()
	requireCode(t, "25006", err)
}

// Guards against a follower that keeps records that the new primary does not have, and against a fenced upstream that
// applies records of an old term.
func TestFollowTruncates(t *testing.T) {
	a, b := ledger.New(nil, nil), ledger.New(nil, nil)
	promote(t, a, 1)
	require.NoError(t, insert(t, a, "o1"))
	catchUp(t, a, b, 1)
	require.NoError(t, insert(t, a, "alone"))
	records, _, _, err := a.Read(1, b.State().Last.LSN, 10)
	require.NoError(t, err)

	_, err = b.Fence(2)
	require.NoError(t, err)
	requireCode(t, "55000", b.Apply(1, records))
	promote(t, b, 2)
	require.NoError(t, insert(t, b, "o2"))
	require.Equal(t, ident.Position{Term: 2, LSN: b.State().Last.LSN}, b.Position())

	require.NoError(t, a.Follow(2))
	require.Equal(t, ident.Term(1), a.Position().Term, "the position has the old term until the log is truncated")
	catchUp(t, b, a, 2)
	require.Equal(t, []string{"o1", "o2"}, ids(t, a))
	require.Equal(t, b.Position(), a.Position())
	requireCode(t, "25006", insert(t, a, "replica"))
}

// Guards against a restart that loses a fence or a committed record, and against undetected damage of the record file.
func TestRecordFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "records")
	file, entries, err := ledger.OpenFile(path)
	require.NoError(t, err)
	l := ledger.New(entries, file)
	promote(t, l, 3)
	require.NoError(t, insert(t, l, "o1"))
	require.NoError(t, insert(t, l, "o2"))
	_, err = l.Fence(5)
	require.NoError(t, err)
	before := l.State()
	require.NoError(t, file.Close())
	whole, err := os.ReadFile(path)
	require.NoError(t, err)

	reopen := func(data []byte) (*ledger.Ledger, error) {
		require.NoError(t, os.WriteFile(path, data, 0o600))
		f, entries, err := ledger.OpenFile(path)
		if err != nil {
			return nil, err
		}
		t.Cleanup(func() { _ = f.Close() })
		return ledger.New(entries, f), nil
	}
	l, err = reopen(whole)
	require.NoError(t, err)
	require.Equal(t, before, l.State())
	require.Equal(t, []string{"o1", "o2"}, ids(t, l))

	l, err = reopen(whole[:len(whole)-3])
	require.NoError(t, err, "an incomplete last entry is truncated, as its commit was never answered")
	require.Equal(t, ident.Term(3), l.State().Term)
	promote(t, l, 6)
	require.NoError(t, insert(t, l, "o3"), "entries can be appended after the truncation")

	for i := range len(whole) / 2 {
		damaged := bytes.Clone(whole)
		damaged[i] ^= 1
		_, err = reopen(damaged)
		var corrupt *ledger.CorruptError
		require.ErrorAs(t, err, &corrupt, "byte %d", i)
	}
}

// Guards against replicated records that make a replica panic, or that it applies although they do not continue its log.
func FuzzApply(f *testing.F) {
	seed, err := proto.Marshal(&fleetpb.ReplicaBatch{Round: 1, Records: []*fleetpb.Record{
		{Position: &fleetpb.Position{Term: 2, Lsn: 24}}, {Position: &fleetpb.Position{Term: 2, Lsn: 30}, Writes: []*fleetpb.RowWrite{{Table: "orders", Row: []string{"o1"}}}},
	}})
	require.NoError(f, err)
	f.Add(seed)
	f.Add([]byte{26, 0, 26, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch fleetpb.ReplicaBatch
		if proto.Unmarshal(data, &batch) != nil {
			return
		}
		l := ledger.New(nil, nil)
		require.NoError(t, l.Follow(2))
		if l.Apply(2, batch.GetRecords()) != nil {
			require.Zero(t, l.State().Last)
			return
		}
		ends := l.Ends()
		for i := 1; i < len(ends); i++ {
			require.True(t, ends[i-1].Term < ends[i].Term && ends[i-1].LSN < ends[i].LSN)
		}
		ids(t, l)
	})
}

// Guards against the content of a record file that makes the upstream panic instead of being reported as an error.
func FuzzDecode(f *testing.F) {
	path := filepath.Join(f.TempDir(), "records")
	file, _, err := ledger.OpenFile(path)
	require.NoError(f, err)
	require.NoError(f, file.Append(
		&fleetpb.FileEntry{Kind: &fleetpb.FileEntry_Term{Term: 7}},
		&fleetpb.FileEntry{Kind: &fleetpb.FileEntry_Record{Record: &fleetpb.Record{
			Position: &fleetpb.Position{Term: 7, Lsn: 40}, Writes: []*fleetpb.RowWrite{{Table: "orders", Row: []string{"o1"}}},
		}}},
	))
	seed, err := os.ReadFile(path)
	require.NoError(f, err)
	f.Add(seed)
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0})
	f.Add([]byte{255, 255, 255, 255, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		entries, validLength, err := ledger.Decode("f", data)
		if err != nil {
			return
		}
		require.LessOrEqual(t, validLength, len(data))
		l := ledger.New(entries, nil)
		l.State()
		for _, sql := range []string{"SELECT * FROM orders", "SELECT * FROM accounts"} {
			_, _, err := l.Run(parse(t, sql), nil)
			require.NoError(t, err)
		}
	})
}
