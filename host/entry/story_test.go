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

// story writes what callers send and get, and what the upstream is sent in between.
type story struct {
	t     *testing.T
	f     *fixture
	text  strings.Builder
	shown int
}

func newStory(t *testing.T, guards string) *story {
	s := &story{t: t, f: newFixture(t)}
	s.say("Guards: %s", guards)
	return s
}

func (s *story) say(format string, args ...any) {
	fmt.Fprintf(&s.text, format+"\n", args...)
}

// do runs one statement of a caller and writes the messages in their order.
func (s *story) do(caller string, conn *pgx.Conn, sql string) {
	s.say("%s -> host: %s", caller, sql)
	rows, err := conn.Query(s.t.Context(), sql)
	var answer []string
	if err == nil {
		answer, err = pgx.CollectRows(rows, pgx.RowTo[string])
	}
	s.upstreamLines()
	s.outcome(caller, rows, answer, err)
}

func (s *story) outcome(caller string, rows pgx.Rows, answer []string, err error) {
	var rejection *pgconn.PgError
	switch {
	case errors.As(err, &rejection):
		s.say("host -> %s: %s %s %s; %s", caller, rejection.Severity, rejection.Code, rejection.Message, rejection.Detail)
	case err != nil:
		s.say("host -> %s: connection closed", caller)
	case len(answer) > 0:
		s.say("host -> %s: rows %v", caller, answer)
	default:
		s.say("host -> %s: %s", caller, rows.CommandTag())
	}
}

// upstreamLines writes what the upstream was sent since the last call; connections opened ahead of need do not count.
func (s *story) upstreamLines() {
	s.f.upstream.mutex.Lock()
	defer s.f.upstream.mutex.Unlock()
	for _, line := range s.f.upstream.received[s.shown:] {
		if !strings.HasPrefix(line, "startup") {
			s.say("  host -> upstream: %s", line)
		}
	}
	s.shown = len(s.f.upstream.received)
}

func (s *story) acknowledged() {
	s.f.parts.mutex.Lock()
	defer s.f.parts.mutex.Unlock()
	s.say("acknowledged positions: %v", s.f.parts.acked)
}

func (s *story) caller() *pgx.Conn {
	return s.f.connect(s.t, testService, testKey, "&default_query_exec_mode=simple_protocol")
}

func (s *story) end(name string) {
	goldie.New(s.t).Assert(s.t, name, []byte(s.text.String()))
}

// Guards against a proxy that dies within a transaction, or its caller, leaving that transaction open upstream.
func TestStoryCallerDiesInTransaction(t *testing.T) {
	s := newStory(t, "a transaction whose caller is gone is rolled back and nothing of it is acknowledged (3, no doubled record)")
	anna, ben := s.caller(), s.caller()
	s.do("anna", anna, "begin")
	s.do("anna", anna, "insert stall 7")
	s.say("anna's device loses power")
	require.NoError(t, anna.Close(t.Context()))
	require.Eventually(t, func() bool { return s.f.upstream.count("run ROLLBACK") == 1 }, time.Minute, time.Millisecond)
	s.upstreamLines()
	s.do("ben", ben, "insert stall 8")
	s.acknowledged()
	s.end("caller_dies")
}

// Guards against a revoked key, or a host that hears nothing of revocations, going on to serve.
func TestStoryKeyWithdrawn(t *testing.T) {
	s := newStory(t, "a withdrawn key stops on live connections, also on a host that is cut off from control (6, 10)")
	anna, ben := s.caller(), s.caller()
	s.do("anna", anna, "insert order 1")
	s.say("an operator withdraws the key; the next sync tells the host")
	s.f.parts.view.Keys.Update(&fleetpb.State{Withdrawn: []string{"k1"}})
	s.do("anna", anna, "insert order 2")
	s.do("anna", anna, "insert order 3")
	s.say("on another host, cut off from control, the key looks valid until the lease of 2 s ends")
	s.f.parts.view.Keys.Update(&fleetpb.State{Full: true, Keys: s.f.keys})
	s.do("ben", ben, "insert order 4")
	s.f.parts.change(func(v *member.View) { v.Expires = 1 })
	s.do("ben", ben, "insert order 5")
	s.do("ben", ben, "select balance")
	s.acknowledged()
	s.end("key_withdrawn")
}

// Guards against an answer that comes late, after its caller was told that the outcome is unknown, reaching anybody.
func TestStoryLateAnswers(t *testing.T) {
	s := newStory(t, "late and crossed answers reach no other caller, and a lost write is sent once (9, 11)")
	anna, ben := s.caller(), s.caller()
	s.say("anna's statement is slow; ben's is sent on another connection and overtakes it")
	late := make(chan string, 1)
	go func() {
		var got string
		if err := anna.QueryRow(t.Context(), "select slow balance of anna").Scan(&got); err != nil {
			got = err.Error()
		}
		late <- got
	}()
	require.Eventually(t, func() bool { return s.f.upstream.count("run select slow") == 1 }, time.Minute, time.Millisecond)
	s.upstreamLines()
	s.do("ben", ben, "select balance of ben")
	close(s.f.upstream.release)
	s.say("host -> anna: rows [%s]", <-late)
	s.say("the upstream takes ben's write and closes the connection before it answers")
	s.do("ben", ben, "die while writing")
	s.do("ben", ben, "select balance of ben")
	s.do("anna", anna, "select balance of anna")
	s.end("late_answers")
}

// Guards against a shutdown that cuts a running transaction or takes new ones.
func TestStoryShutdown(t *testing.T) {
	s := newStory(t, "a graceful shutdown cuts no request (13)")
	anna, ben := s.caller(), s.caller()
	s.do("ben", ben, "begin")
	s.do("ben", ben, "insert stamp 1")
	s.say("the host gets SIGTERM")
	go s.f.server.Shutdown(time.Minute)
	// A caller that never sends its startup message must not hold up the shutdown.
	silent, err := net.Dial("tcp", s.f.address)
	if err == nil {
		defer silent.Close()
	}
	require.Eventually(t, func() bool { return refused(s.f.address) }, time.Minute, time.Millisecond)
	s.say("new callers are refused")
	s.outcome("anna", nil, nil, anna.PgConn().WaitForNotification(t.Context()))
	s.do("anna", anna, "insert stamp 2")
	s.do("ben", ben, "insert stamp 3")
	s.do("ben", ben, "commit")
	s.outcome("ben", nil, nil, ben.PgConn().WaitForNotification(t.Context()))
	<-s.f.server.Done()
	s.do("ben", ben, "insert stamp 4")
	s.acknowledged()
	s.end("shutdown")
}

// Guards against a write that a replaced primary took being told as done.
func TestStoryOldPrimary(t *testing.T) {
	s := newStory(t, "no write is acknowledged by an old primary; its outcome is told as unknown (2)")
	ben := s.caller()
	s.do("ben", ben, "insert rental 1")
	s.say("the primary is cut off, and a majority is fenced under term 2: term 1 can gather no majority any more")
	s.f.parts.mutex.Lock()
	s.f.parts.ackError = errors.New("position 1/2 was superseded by term 2")
	s.f.parts.mutex.Unlock()
	s.do("ben", ben, "insert rental 2")
	require.Equal(t, []ident.Position{{Term: 1, LSN: 1}, {Term: 1, LSN: 2}}, s.f.parts.acked, "the host asked for both")
	s.end("old_primary")
}

func refused(address string) bool {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		return true
	}
	socket.Close()
	return false
}
