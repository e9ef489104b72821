package server

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/statement"
)

// committed returns a server, a session whose commit under term 1 is not yet answered, and the caller's end of its connection.
func committed(t *testing.T) (*Server, *session, net.Conn) {
	t.Helper()
	l := ledger.New(nil, nil)
	_, err := l.Promote(1)
	require.NoError(t, err)
	s := New(Options{Slots: 1, Connections: 5, Ledger: l})
	serverConn, clientConn := net.Pipe()
	t.Cleanup(func() { serverConn.Close(); clientConn.Close() })
	ss := newSession(s, serverConn)
	all, err := statement.Parse("INSERT INTO orders (id) VALUES ('o1')")
	require.NoError(t, err)
	_, err = ss.runStatement(all[0].Statement, nil)
	require.NoError(t, err)
	return s, ss, clientConn
}

// Guards invariant 2: a commit that ran before a fence must not be answered after the fence was answered.
func TestCommitIsNotAnsweredAfterFence(t *testing.T) {
	s, ss, _ := committed(t)
	_, err := s.changeRole("tamarack_fence", 2, "")
	require.NoError(t, err)
	require.ErrorIs(t, ss.ready(), errTermEnded)
}

// Guards against a fence that is answered while the answer of a commit is being sent.
func TestFenceWaitsForAnswer(t *testing.T) {
	s, ss, clientConn := committed(t)
	sent := make(chan struct{})
	go func() {
		_ = ss.ready()
		close(sent)
	}()
	// The first byte shows that the answer is being sent; the rest is never read.
	_, err := clientConn.Read(make([]byte, 1))
	require.NoError(t, err)
	_, err = s.changeRole("tamarack_fence", 2, "")
	require.NoError(t, err)
	select {
	case <-sent:
	default:
		require.Fail(t, "the fence was answered before the answer to the commit was sent")
	}
}

// Guards against an upstream that leaves while a caller is between two statements of a transaction.
func TestIdleWaitsForTransactions(t *testing.T) {
	s, ss, _ := committed(t)
	_, err := s.changeRole("tamarack_fence", 2, "")
	require.NoError(t, err)
	require.True(t, s.Idle())
	begin, err := statement.Parse("BEGIN")
	require.NoError(t, err)
	_, err = ss.runStatement(begin[0].Statement, nil)
	require.NoError(t, err)
	require.False(t, s.Idle())
	ss.rollback()
	require.True(t, s.Idle())
}
