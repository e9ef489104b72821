package entry_test

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/fleet/steady"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/wire"
)

// keyChanges are the ways in which a key stops allowing the operations of its former team.
var keyChanges = []string{"key is withdrawn", "key is given to another team"}

// transactionForms are transactions during which an event occurs, one for each kind of statement that it may meet.
func transactionForms(event string) map[string][]string {
	event = "!" + event
	return map[string][]string{
		"empty":            {"BEGIN", event, "FETCH b"},
		"empty commit":     {"BEGIN", event, "COMMIT"},
		"read":             {"BEGIN", "FETCH a", event, "FETCH b"},
		"read-only read":   {"BEGIN FETCH", "FETCH a", event, "FETCH b"},
		"read-only commit": {"BEGIN FETCH", "FETCH a", event, "COMMIT"},
		"write":            {"BEGIN", "STORE a 1", event, "STORE b 1"},
		"read after write": {"BEGIN", "STORE a 1", event, "FETCH a"},
		"commit":           {"BEGIN", "STORE a 1", event, "COMMIT"},
		"prepared read":    {"PARSE p FETCH q", "BEGIN", "EXECUTE p a", event, "EXECUTE p b"},
		"prepared write":   {"PARSE p STORE q", "BEGIN", "EXECUTE p a 1", event, "EXECUTE p b 1"},
	}
}

// countRuns returns the number of callers' statements that have run.
func (h *host) countRuns() int {
	ran := 0
	for _, run := range h.group.Runs() {
		if run.Text != "" {
			ran++
		}
	}
	return ran
}

// Guards against transactions that go on under a key that was withdrawn, or for a team that no longer has the key (CONFIG, UNASKED). The
// caller gets the promise that nothing is kept, also for a commit.
func TestTransactionOfChangedKey(t *testing.T) {
	for _, change := range keyChanges {
		for name, steps := range transactionForms(change) {
			for _, database := range []string{"primary", "session", "bounded"} {
				t.Run(strings.Join([]string{change, name, database}, "/"), func(t *testing.T) {
					h := newHost(t, time.Minute)
					transcript := h.runScript(database+" key", steps...)
					require.Equal(t, 1, strings.Count(transcript, "ERROR"), transcript)
					require.Contains(t, transcript, "ERROR ABORTED", transcript)
					before := 1
					if strings.HasPrefix(name, "empty") {
						before = 0
					}
					require.Equal(t, before, h.countRuns(), "only the statements before the change have run")
					require.Eventually(t, func() bool { return h.primary.OpenTransactions()+h.replica.OpenTransactions() == 0 }, 20*time.Second, time.Millisecond)
					items, _ := h.group.Items()
					require.Empty(t, items)
					require.Empty(t, h.group.Violations())
				})
			}
		}
	}
}

// Guards against transactions that end although their key still belongs to their team, or is not needed.
func TestTransactionOfOtherKey(t *testing.T) {
	for _, change := range keyChanges {
		for name, steps := range transactionForms(change) {
			for _, connect := range []string{"primary other-key", "session other-key", "bounded other-key", "public key", "public -", "public other-key"} {
				t.Run(strings.Join([]string{change, name, connect}, "/"), func(t *testing.T) {
					h := newHost(t, time.Minute)
					all := slices.Clone(steps)
					if !strings.HasSuffix(name, "commit") {
						all = append(all, "COMMIT")
					}
					transcript := h.runScript(connect, all...)
					require.NotContains(t, transcript, "ERROR", transcript)
					require.Contains(t, transcript[strings.LastIndex(transcript, "COMMIT"):], "IDLE I", transcript)
					items, _ := h.group.Items()
					require.Equal(t, strings.Contains(transcript, " 1\n"), len(items) > 0, "writes are kept: %v", items)
					require.Empty(t, h.group.Violations())
				})
			}
		}
	}
}

// Guards against an idle transaction that holds its connection, and its locks at the upstream, after its key was withdrawn.
func TestIdleTransactionOfChangedKey(t *testing.T) {
	for _, change := range keyChanges {
		for _, database := range []string{"primary", "session", "bounded"} {
			t.Run(fmt.Sprintf("%s/%s", change, database), func(t *testing.T) {
				h := newHost(t, time.Minute)
				c, in := h.dial(database + " key")
				defer c.Close()
				h.ask(c, in, "BEGIN")
				h.ask(c, in, "STORE a 1")
				require.Equal(t, 1, h.primary.OpenTransactions())
				// The session has to wait for the next request: what it does until then checks the key itself.
				time.Sleep(100 * time.Millisecond)
				h.applyEvent(change)
				require.Eventually(t, func() bool { return h.primary.OpenTransactions() == 0 }, 20*time.Second, time.Millisecond)
			})
		}
	}
}

// blocked is the id of statements that a blockingSession runs only at the end of the test.
const blocked = "blocked"

// blockingSession is an upstream session on which some statements wait for release.
type blockingSession struct {
	upstream.Session
	release <-chan struct{}
}

// Run implements upstream.Session.
func (b blockingSession) Run(id string, since ident.Position, request statement.Request) (statement.Result, error) {
	if id == blocked {
		<-b.release
	}
	return b.Session.Run(id, since, request)
}

// newPatientHost returns a host whose routes let statements wait for an hour.
func newPatientHost(t *testing.T) *host {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	h := newHostWith(t, time.Hour, func(connection io.ReadWriter) upstream.Session {
		return blockingSession{wire.NewUpstream(connection), release}
	})
	h.timeout, h.objective = time.Hour, time.Hour
	h.configure(2, "key")
	return h
}

// inFlight returns the number of statements that wait for an upstream or run there.
func (h *host) inFlight(id ident.Upstream) int {
	return h.table.Pool("svc", id).Load(steady.Now()).InFlight
}

// slots is how many statements an upstream of a host gets at a time.
const slots = 4

// fill takes all slots of the primary, and then those of the replica, with statements of another key.
func (h *host) fill() {
	for i := range 2 * slots {
		request, id, taken := "STORE x 1", ident.Upstream("i-1"), i+1
		c := h.connectWith("bounded other-key")
		if i >= slots {
			request, id, taken = "FETCH x", "i-2", i+1-slots
		}
		c.send("QUERY " + blocked + " " + request)
		require.Eventually(h.t, func() bool { return h.inFlight(id) == taken }, 20*time.Second, time.Millisecond)
	}
}

// firstLine returns the first line of the answer to the caller's last request.
func (c *caller) firstLine() string {
	_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	line, err := c.in.ReadString('\n')
	require.NoError(c.t, err)
	return line
}

// obstacle makes the next statement wait.
type obstacle struct {
	prepare func(h *host)
	// waits reports whether the statement waits now.
	waits func(h *host) bool
}

var (
	noSlot = obstacle{
		prepare: (*host).fill,
		waits:   func(h *host) bool { return h.inFlight("i-1")+h.inFlight("i-2") > 2*slots },
	}
	noPrimary = obstacle{
		prepare: func(h *host) {
			h.directory.Primaries, h.directory.Upstreams = nil, nil
			h.table.SetDirectory(h.directory)
		},
		waits: func(h *host) bool { return len(h.table.RefreshRequested()) == 1 },
	}
	noToken = obstacle{
		prepare: func(h *host) { h.quota.arrived = make(chan struct{}, 1) },
		waits:   func(h *host) bool { return len(h.quota.arrived) == 1 },
	}
)

// Guards against a statement that waits on after its key was withdrawn, for its turn, a token or a primary: its caller would hear of it only
// at the end of its time, and the statement might run. The answer promises that nothing was run, or kept of the transaction.
func TestWaitingStatementOfChangedKey(t *testing.T) {
	single := map[string]string{"key is withdrawn": "ERROR DENIED", "key is given to another team": "ERROR BUSY"}
	whole := map[string]string{"key is withdrawn": "ERROR ABORTED", "key is given to another team": "ERROR ABORTED"}
	for name, c := range map[string]struct {
		obstacle
		before   []string
		waiting  string
		expected map[string]string
	}{
		"read, no slot":                     {noSlot, nil, "FETCH a", single},
		"write, no slot":                    {noSlot, nil, "STORE a 1", single},
		"prepared write, no slot":           {noSlot, []string{"PARSE p STORE q"}, "EXECUTE p a 1", single},
		"first of transaction, no slot":     {noSlot, []string{"BEGIN"}, "STORE a 1", whole},
		"read of transaction, no slot":      {noSlot, []string{"BEGIN", "STORE a 1"}, "FETCH a", whole},
		"commit, no slot":                   {noSlot, []string{"BEGIN", "STORE a 1"}, "COMMIT", whole},
		"read, no primary":                  {noPrimary, nil, "FETCH a", single},
		"write, no primary":                 {noPrimary, nil, "STORE a 1", single},
		"first of transaction, no primary":  {noPrimary, []string{"BEGIN"}, "STORE a 1", whole},
		"read-only transaction, no primary": {noPrimary, []string{"BEGIN FETCH"}, "FETCH a", whole},
		"empty commit, no primary":          {noPrimary, []string{"BEGIN"}, "COMMIT", whole},
		"read, no token":                    {noToken, nil, "FETCH a", single},
		"write, no token":                   {noToken, nil, "STORE a 1", single},
		"begin, no token":                   {noToken, nil, "BEGIN", single},
	} {
		for _, change := range keyChanges {
			for _, database := range []string{"primary", "session", "bounded"} {
				t.Run(strings.Join([]string{name, change, database}, "/"), func(t *testing.T) {
					h := newPatientHost(t)
					caller := h.connect(database)
					for _, text := range c.before {
						caller.send("QUERY before " + text)
						caller.awaitIdle()
					}
					c.prepare(h)
					ran := h.countRuns()
					caller.send("QUERY waiting " + c.waiting)
					require.Eventually(t, func() bool { return c.waits(h) }, 20*time.Second, time.Millisecond)
					h.applyEvent(change)
					require.Contains(t, caller.firstLine(), c.expected[change])
					require.Equal(t, ran, h.countRuns())
				})
			}
		}
	}
}
