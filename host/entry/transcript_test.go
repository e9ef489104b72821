package entry_test

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/member"
)

// transcript records the messages between callers and the host, and those that the host sends to the upstream.
type transcript struct {
	t       *testing.T
	f       *fixture
	text    strings.Builder
	written int
}

func newTranscript(t *testing.T, guards string) *transcript {
	tr := &transcript{t: t, f: newFixture(t)}
	tr.printf("Guards: %s", guards)
	return tr
}

func (tr *transcript) printf(format string, args ...any) {
	fmt.Fprintf(&tr.text, format+"\n", args...)
}

// query runs one statement of a caller and writes its messages in order.
func (tr *transcript) query(caller string, conn *pgx.Conn, sql string) {
	tr.printf("%s -> host: %s", caller, sql)
	rows, err := conn.Query(tr.t.Context(), sql)
	var answer []string
	if err == nil {
		answer, err = pgx.CollectRows(rows, pgx.RowTo[string])
	}
	tr.writeUpstreamLines()
	tr.writeOutcome(caller, rows, answer, err)
}

func (tr *transcript) writeOutcome(caller string, rows pgx.Rows, answer []string, err error) {
	var rejection *pgconn.PgError
	switch {
	case errors.As(err, &rejection):
		tr.printf("host -> %s: %s %s %s; %s", caller, rejection.Severity, rejection.Code, rejection.Message, rejection.Detail)
	case err != nil:
		tr.printf("host -> %s: connection closed", caller)
	case len(answer) > 0:
		tr.printf("host -> %s: rows %v", caller, answer)
	default:
		tr.printf("host -> %s: %s", caller, rows.CommandTag())
	}
}

// writeUpstreamLines writes what the upstream received since the last call, without the startup of connections, which are
// opened in advance.
func (tr *transcript) writeUpstreamLines() {
	tr.f.upstream.mutex.Lock()
	defer tr.f.upstream.mutex.Unlock()
	for _, line := range tr.f.upstream.received[tr.written:] {
		if !strings.HasPrefix(line, "startup") {
			tr.printf("  host -> upstream: %s", line)
		}
	}
	tr.written = len(tr.f.upstream.received)
}

func (tr *transcript) writeAcknowledged() {
	tr.f.deps.mutex.Lock()
	defer tr.f.deps.mutex.Unlock()
	tr.printf("acknowledged positions: %v", tr.f.deps.acked)
}

func (tr *transcript) connect() *pgx.Conn {
	return tr.f.connect(tr.t, testService, testKey, "&default_query_exec_mode=simple_protocol")
}

func (tr *transcript) assertGolden(name string) {
	goldie.New(tr.t).Assert(tr.t, name, []byte(tr.text.String()))
}

// Guards against a transaction that stays open on the upstream after its caller died within it.
func TestTranscriptCallerDiesInTransaction(t *testing.T) {
	tr := newTranscript(t, "a transaction whose caller is gone is rolled back and nothing of it is acknowledged (3, no doubled record)")
	anna, ben := tr.connect(), tr.connect()
	tr.query("anna", anna, "begin")
	tr.query("anna", anna, "insert stall 7")
	tr.printf("anna's device loses power")
	require.NoError(t, anna.Close(t.Context()))
	require.Eventually(t, func() bool { return tr.f.upstream.count("run ROLLBACK") == 1 }, time.Minute, time.Millisecond)
	tr.writeUpstreamLines()
	tr.query("ben", ben, "insert stall 8")
	tr.writeAcknowledged()
	tr.assertGolden("caller_dies")
}

// Guards against a host that serves a withdrawn key, also when it is cut off from control and gets no withdrawals.
func TestTranscriptKeyWithdrawn(t *testing.T) {
	tr := newTranscript(t, "a withdrawn key stops on live connections, also on a host that is cut off from control (6, 10)")
	anna, ben := tr.connect(), tr.connect()
	tr.query("anna", anna, "insert order 1")
	tr.printf("an operator withdraws the key; the next sync tells the host")
	tr.f.deps.view.Keys.Update(&fleetpb.State{Withdrawn: []string{"k1"}})
	tr.query("anna", anna, "insert order 2")
	tr.query("anna", anna, "insert order 3")
	tr.printf("on another host, cut off from control, the key looks valid until the lease of 2 s ends")
	tr.f.deps.view.Keys.Update(&fleetpb.State{Full: true, Keys: tr.f.keys})
	tr.query("ben", ben, "insert order 4")
	tr.f.deps.updateView(func(v *member.View) { v.Expires = 1 })
	tr.query("ben", ben, "insert order 5")
	tr.query("ben", ben, "select balance")
	tr.writeAcknowledged()
	tr.assertGolden("key_withdrawn")
}

// Guards against a late answer that reaches another caller, also after an outcome was reported as unknown, and against a lost
// write that is sent again.
func TestTranscriptLateAnswers(t *testing.T) {
	tr := newTranscript(t, "late and crossed answers reach no other caller, and a lost write is sent once (9, 11)")
	anna, ben := tr.connect(), tr.connect()
	tr.printf("anna's statement is slow; ben's is sent on another connection and overtakes it")
	late := make(chan string, 1)
	go func() {
		var got string
		if err := anna.QueryRow(t.Context(), "select slow balance of anna").Scan(&got); err != nil {
			got = err.Error()
		}
		late <- got
	}()
	require.Eventually(t, func() bool { return tr.f.upstream.count("run select slow") == 1 }, time.Minute, time.Millisecond)
	tr.writeUpstreamLines()
	tr.query("ben", ben, "select balance of ben")
	close(tr.f.upstream.release)
	tr.printf("host -> anna: rows [%s]", <-late)
	tr.printf("the upstream takes ben's write and closes the connection before it answers")
	tr.query("ben", ben, "die while writing")
	tr.query("ben", ben, "select balance of ben")
	tr.query("anna", anna, "select balance of anna")
	tr.assertGolden("late_answers")
}

// Guards against a shutdown that ends an open transaction or accepts new ones.
func TestTranscriptShutdown(t *testing.T) {
	tr := newTranscript(t, "a graceful shutdown cuts no request (13)")
	anna, ben := tr.connect(), tr.connect()
	tr.query("ben", ben, "begin")
	tr.query("ben", ben, "insert stamp 1")
	tr.printf("the host gets SIGTERM")
	go tr.f.server.Shutdown(time.Minute)
	// A caller that never sends its startup message must not delay the shutdown.
	silent, err := net.Dial("tcp", tr.f.address)
	if err == nil {
		defer silent.Close()
	}
	require.Eventually(t, func() bool { return refused(tr.f.address) }, time.Minute, time.Millisecond)
	tr.printf("new callers are refused")
	tr.writeOutcome("anna", nil, nil, anna.PgConn().WaitForNotification(t.Context()))
	tr.query("anna", anna, "insert stamp 2")
	tr.query("ben", ben, "insert stamp 3")
	tr.query("ben", ben, "commit")
	tr.writeOutcome("ben", nil, nil, ben.PgConn().WaitForNotification(t.Context()))
	<-tr.f.server.Done()
	tr.query("ben", ben, "insert stamp 4")
	tr.writeAcknowledged()
	tr.assertGolden("shutdown")
}

// Guards against a write on a replaced primary that is reported as successful.
func TestTranscriptOldPrimary(t *testing.T) {
	tr := newTranscript(t, "no write is acknowledged by an old primary; its outcome is told as unknown (2)")
	ben := tr.connect()
	tr.query("ben", ben, "insert rental 1")
	tr.printf("the primary is cut off, and a majority is fenced under term 2: term 1 can gather no majority any more")
	tr.f.deps.mutex.Lock()
	tr.f.deps.ackError = errors.New("position 1/2 was superseded by term 2")
	tr.f.deps.mutex.Unlock()
	tr.query("ben", ben, "insert rental 2")
	require.Equal(t, []ident.Position{{Term: 1, LSN: 1}, {Term: 1, LSN: 2}}, tr.f.deps.acked, "the host asked for both")
	tr.assertGolden("old_primary")
}

func refused(address string) bool {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		return true
	}
	socket.Close()
	return false
}
