package entry_test

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/entry"
	"tamarackshunt.dev/platform/wire"
)

// waitLimit is the longest wait for an event; no test depends on its length.
const waitLimit = 30 * time.Second

// arrivedConn is a caller's connection whose request arrives at the same time as the server interrupts the read: the read fails
// because of its deadline, although the request is there.
type arrivedConn struct {
	net.Conn
	mu          sync.Mutex
	input       [][]byte
	interrupted chan struct{}
	once        sync.Once
	output      bytes.Buffer
	closed      chan struct{}
}

func newArrivedConn(start, request string) *arrivedConn {
	return &arrivedConn{input: [][]byte{[]byte(start), nil, []byte(request)}, interrupted: make(chan struct{}), closed: make(chan struct{})}
}

func (c *arrivedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.input) == 0 {
		c.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	next := c.input[0]
	c.input = c.input[1:]
	c.mu.Unlock()
	if next == nil {
		<-c.interrupted
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, next), nil
}

func (c *arrivedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.output.Write(p)
}

func (c *arrivedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && time.Until(t) <= 0 {
		c.once.Do(func() { close(c.interrupted) })
	}
	return nil
}

func (c *arrivedConn) SetWriteDeadline(time.Time) error { return nil }

func (c *arrivedConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (c *arrivedConn) Close() error {
	close(c.closed)
	return nil
}

func (c *arrivedConn) written() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.output.String()
}

// connListener accepts the given connections and then blocks until it is closed.
type connListener struct {
	net.Listener
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newConnListener(connections ...net.Conn) *connListener {
	l := &connListener{connections: make(chan net.Conn, len(connections)), closed: make(chan struct{})}
	for _, connection := range connections {
		l.connections <- connection
	}
	return l
}

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func waitFor(t *testing.T, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(waitLimit):
		require.Fail(t, "the event does not occur")
	}
}

// Guards against a planned stop under load that cuts a request without an answer: the request had arrived, but the session, which
// counted as idle, had not read it yet.
func TestShutdownAnswersArrivedRequest(t *testing.T) {
	h := newHost(t, time.Minute)
	connection := newArrivedConn("CONNECT primary key\r\n", "QUERY 1 STORE k v\r\n")
	listener := newConnListener(connection)
	server := entry.New(entry.Options{
		Protocol: func(connection io.ReadWriter) entry.Caller { return wire.NewCaller(connection) },
		Table:    h.table, Quota: newTokens(100), Grace: 2 * time.Second,
	})
	go func() { _ = server.Serve(listener) }()
	require.Eventually(t, func() bool { return connection.written() == "IDLE I -\r\n" }, waitLimit, time.Millisecond)
	server.Shutdown(time.Now(), listener)
	waitFor(t, connection.closed)
	require.Contains(t, connection.written(), "COMPLETE")
	items, _ := h.group.Items()
	require.Contains(t, items, "k")
}

// Guards against a panic in one session that ends the process, and with it the sessions of all callers.
func TestPanicEndsOnlyItsSession(t *testing.T) {
	h := newHost(t, time.Minute)
	first, second := newArrivedConn("CONNECT panic key\r\n", ""), newArrivedConn("CONNECT primary key\r\n", "")
	listener := newConnListener(first, second)
	server := entry.New(entry.Options{
		Protocol: func(connection io.ReadWriter) entry.Caller { return &panicCaller{wire.NewCaller(connection)} },
		Table:    h.table, Quota: newTokens(0), Grace: 2 * time.Second,
	})
	go func() { _ = server.Serve(listener) }()
	waitFor(t, first.closed)
	require.Eventually(t, func() bool { return second.written() == "IDLE I -\r\n" }, waitLimit, time.Millisecond)
	server.Shutdown(time.Now(), listener)
	waitFor(t, second.closed)
}

// panicCaller panics when it refuses a session.
type panicCaller struct{ *wire.Caller }

// Refuse implements entry.Caller.
func (c *panicCaller) Refuse(*statement.Failure) error { panic("unexpected") }
