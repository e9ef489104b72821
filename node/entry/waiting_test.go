package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/wire"
)

// recorder records the ids of callers' requests in the order in which they are sent to upstreams.
type recorder struct {
	mu  sync.Mutex
	ids []string
}

func (r *recorder) open(connection io.ReadWriter) upstream.Session {
	return &recordingSession{wire.NewUpstream(connection), r}
}

func (r *recorder) recordedIDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ids)
}

// recordingSession records the requests of an upstream session.
type recordingSession struct {
	upstream.Session
	recorder *recorder
}

// Run implements upstream.Session.
func (r *recordingSession) Run(id string, since ident.Position, request statement.Request) (statement.Result, error) {
	if id != "" {
		r.recorder.mu.Lock()
		r.recorder.ids = append(r.recorder.ids, id)
		r.recorder.mu.Unlock()
	}
	return r.Session.Run(id, since, request)
}

// caller is a session that sends requests without waiting for the answers; awaitIdle waits for them.
type caller struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (h *host) connect(route string) *caller {
	return h.connectWith(route + " key")
}

// connectWith opens a session on a route with a key.
func (h *host) connectWith(connect string) *caller {
	conn, err := net.Dial("tcp", h.address)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = conn.Close() })
	c := &caller{h.t, conn, bufio.NewReader(conn)}
	c.send("CONNECT " + connect)
	c.awaitIdle()
	return c
}

func (c *caller) send(line string) {
	_, err := fmt.Fprintf(c.conn, "%s\r\n", line)
	require.NoError(c.t, err)
}

func (c *caller) awaitIdle() {
	_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for {
		answer, err := c.in.ReadString('\n')
		require.NoError(c.t, err)
		require.False(c.t, strings.HasPrefix(answer, "ERROR"), answer)
		if strings.HasPrefix(answer, "IDLE") {
			return
		}
	}
}

// Guards against a read that leaves the queue of the only upstream that can run it and joins it again behind later reads, as one
// whose wait on that upstream ends before its deadline would do.
func TestReadKeepsQueuePosition(t *testing.T) {
	record := &recorder{}
	h := newHostWith(t, 0, record.open)
	h.connections = 5 // one connection for callers in addition to the reserved ones
	h.configure(2, "key")
	h.table.SetDirectory(h.directory)
	// The replica counts as lagging for the whole test.
	h.table.Pool("svc", "i-2").RecordPosition(steady.Now().Add(time.Hour), ident.Position{})

	first, second, writer := h.connect("session"), h.connect("session"), h.connect("primary")
	for _, c := range []*caller{first, second} {
		c.send("QUERY w STORE a 1")
		c.awaitIdle()
	}
	writer.send("QUERY b BEGIN")
	writer.awaitIdle()
	writer.send("QUERY t STORE b 1")
	writer.awaitIdle()

	first.send("QUERY first FETCH a")
	// A read that waited only 250 ms would leave the queue 50 ms after the second read has joined it.
	time.Sleep(200 * time.Millisecond)
	second.send("QUERY second FETCH a")
	time.Sleep(150 * time.Millisecond)
	writer.send("QUERY c COMMIT")
	writer.awaitIdle()
	first.awaitIdle()
	second.awaitIdle()

	require.Equal(t, []string{"w", "w", "t", "c", "first", "second"}, record.recordedIDs())
}
