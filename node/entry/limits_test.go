package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/host/gate"
	"tamarackshunt.dev/node/entry"
	"tamarackshunt.dev/platform/wire"
)

// newLimitedHost returns a host whose sessions have the given limits.
func newLimitedHost(t *testing.T, limits budget.SessionLimits) *host {
	h := newHost(t, time.Minute)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	h.address = listener.Addr().String()
	server := entry.New(entry.Options{
		Protocol: func(connection io.ReadWriter) entry.Caller { return wire.NewCaller(connection) },
		Table:    h.table, Quota: newTokens(100), Grace: time.Minute,
		Limiter: gate.New(budget.NewLimits(64*budget.MiB, 400)), Limits: limits, Sessions: 10,
	})
	go func() { _ = server.Serve(listener) }()
	return h
}

// closed reports whether a host closes a connection.
func closed(c net.Conn, in *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err := in.ReadByte()
	return err == io.EOF || (err != nil && strings.Contains(err.Error(), "reset"))
}

// Guards against a session that stays open with the beginning of a message, or without a first one.
func TestUnfinishedMessageEndsSession(t *testing.T) {
	limits := budget.NewSessionLimits()
	limits.Start, limits.Message = 50*time.Millisecond, 50*time.Millisecond
	h := newLimitedHost(t, limits)
	c, in := h.dial("primary key")
	defer c.Close()
	require.Contains(t, h.ask(c, in, "FETCH a"), "IDLE I")
	_, err := fmt.Fprintf(c, "QUERY 1 STORE a %s", strings.Repeat("x", 10_000))
	require.NoError(t, err)
	require.True(t, closed(c, in))
	silent, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	defer silent.Close()
	require.True(t, closed(silent, bufio.NewReader(silent)))
}

// Guards against values and prepared statements beyond a session's limits that are kept, and against ones within them that are refused or
// counted twice when they are replaced or closed.
func TestStateLimits(t *testing.T) {
	limits := budget.NewSessionLimits()
	limits.Entries, limits.State = 3, 4*budget.KiB
	h := newLimitedHost(t, limits)
	c, in := h.dial("primary key")
	defer c.Close()
	for range 10 {
		require.Contains(t, h.ask(c, in, "CONFIGURE a "+strings.Repeat("x", 2000)), "IDLE I")
		require.Contains(t, h.ask(c, in, "PARSE s FETCH shape"), "IDLE I")
		require.Contains(t, h.ask(c, in, "PARSE t FETCH shape"), "IDLE I")
		require.Contains(t, h.ask(c, in, "CLOSE t"), "IDLE I")
	}
	_, err := fmt.Fprintf(c, "QUERY 1 CONFIGURE b %s\r\n", strings.Repeat("x", 2000))
	require.NoError(t, err)
	line, err := in.ReadString('\n')
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(line, "ERROR BUSY"), line)
	_, _ = in.ReadString('\n')
	require.True(t, closed(c, in))
}
