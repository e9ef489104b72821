package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/balance"
	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/host/gate"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/wire"
	"tamarackshunt.dev/standin/platform"
)

const timeout = 20 * time.Second

type pools map[ident.Upstream]*upstream.Pool

// Pool implements gateway.Pools.
func (p pools) Pool(_ ident.Service, id ident.Upstream) *upstream.Pool { return p[id] }

// startPrimary starts a group of one upstream, the primary.
func startPrimary(t *testing.T) (*platform.Group, *platform.Upstream, upstream.Target) {
	g := platform.NewGroup("svc")
	u, err := g.Start(platform.Options{ID: "i-1", Zone: "z", Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: 20})
	require.NoError(t, err)
	t.Cleanup(u.Crash)
	return g, u, upstream.Target{Service: "svc", Upstream: "i-1", Address: u.Address}
}

// newClient returns a client of gateways at the addresses of HTTP servers.
func newClient() *gateway.Client {
	return gateway.NewClient(http.DefaultClient, func(address string) string { return "http://" + address })
}

// startGateway starts a gateway to a primary. It returns the upstream's group, a function that returns executors through the
// gateway, a function that stops the gateway, and the number of calls that the gateway did not answer.
func startGateway(t *testing.T) (g *platform.Group, executor func(id ident.Upstream) upstream.Executor, stop func(), failures *int) {
	g, _, target := startPrimary(t)
	server := httptest.NewServer(gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 1)}).Handler())
	t.Cleanup(server.Close)
	client := newClient()
	failures = new(int)
	executor = func(id ident.Upstream) upstream.Executor {
		target.Upstream = id
		return client.Executor(strings.TrimPrefix(server.URL, "http://"), target, "team", 1, func(bool) { *failures++ })
	}
	return g, executor, server.Close, failures
}

func contextWithTimeout(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a transaction whose statements run on different connections, a connection that is still held after the end of
// its transaction, and outcomes that the gateway changes.
func TestExecutor(t *testing.T) {
	g, executor, stop, failures := startGateway(t)
	tx := executor("i-1")
	outcome, err := tx.Execute(contextWithTimeout(t), upstream.Use{Opening: upstream.OpenPrimary, ID: "1", Text: "STORE a 1", Timeout: timeout, Keep: true})
	require.NoError(t, err)
	require.Equal(t, statement.StateTransaction, outcome.Result.State)
	outcome, err = tx.Execute(contextWithTimeout(t), upstream.Use{ID: "2", Text: "COMMIT", Timeout: timeout})
	require.NoError(t, err)
	require.NotEmpty(t, outcome.Result.Signature)
	_, runs := g.Items()
	require.Equal(t, map[string]int{"2": 1}, runs)

	rolledBack := executor("i-1")
	_, err = rolledBack.Execute(contextWithTimeout(t), upstream.Use{Opening: upstream.OpenPrimary, ID: "3", Text: "STORE a 9", Timeout: timeout, Keep: true})
	require.NoError(t, err)
	rolledBack.Close()
	// The only connection of the pool is released, outside of any transaction.
	outcome, err = executor("i-1").Execute(contextWithTimeout(t), upstream.Use{
		Values: map[string]string{"k": "v"}, Prepared: &statement.Prepared{Shape: "q"}, ID: "4", Text: "a", Timeout: timeout,
	})
	require.NoError(t, err)
	require.Equal(t, []string{"1 team map[k:v]"}, outcome.Result.Rows)
	require.Equal(t, statement.StateIdle, outcome.Result.State)

	var unreachable *upstream.UnreachableError
	outcome, err = executor("i-2").Execute(contextWithTimeout(t), upstream.Use{ID: "5", Text: "FETCH a", Timeout: timeout})
	require.ErrorAs(t, err, &unreachable, "the gateway does not know the upstream")
	require.False(t, outcome.Ran)

	before := *failures
	stop()
	outcome, err = executor("i-1").Execute(contextWithTimeout(t), upstream.Use{ID: "6", Text: "STORE a 2", Timeout: timeout})
	require.ErrorAs(t, err, &unreachable, "a gateway that was not reached can't have run the statement")
	require.False(t, outcome.Ran)
	require.Equal(t, before+1, *failures)
}

// Guards against answers and refusals of a gateway that don't say how busy the upstream is, and a failed statement that counts in the
// service time.
func TestLoad(t *testing.T) {
	_, executor, _, _ := startGateway(t)
	use := upstream.Use{ID: "1", Text: "FETCH a", Since: ident.Position{Term: 9}, Timeout: timeout}
	outcome, err := executor("i-1").Execute(contextWithTimeout(t), use)
	require.NoError(t, err)
	require.NotNil(t, outcome.Result.Failure, "the upstream lacks the position")
	require.Equal(t, balance.Load{Slots: 2}, outcome.Load)

	use = upstream.Use{ID: "2", Text: "STORE a 1", Opening: upstream.OpenPrimary, Keep: true, Timeout: timeout}
	tx := executor("i-1")
	outcome, err = tx.Execute(contextWithTimeout(t), use)
	require.NoError(t, err)
	require.Positive(t, outcome.Load.Service)
	want := outcome.Load

	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	outcome, err = executor("i-1").Execute(ctx, upstream.Use{ID: "3", Text: "FETCH a", Timeout: timeout})
	require.Error(t, err, "the transaction holds the only connection")
	require.Equal(t, want, outcome.Load)
	tx.Close()
}

// Guards against a refusal that loses its time to come back on the way, and a deadline that doesn't reach the gateway's queue.
func TestRefusalCarriesRetry(t *testing.T) {
	_, executor, _, _ := startGateway(t)
	tx := executor("i-1")
	_, err := tx.Execute(contextWithTimeout(t), upstream.Use{Opening: upstream.OpenPrimary, ID: "1", Text: "STORE a 1", Timeout: timeout, Keep: true})
	require.NoError(t, err)
	defer tx.Close()
	outcome, err := executor("i-1").Execute(contextWithTimeout(t), upstream.Use{ID: "2", Text: "FETCH a", Timeout: timeout, Within: time.Millisecond})
	var refused *statement.Failure
	require.ErrorAs(t, err, &refused)
	require.Equal(t, statement.CodeBusy, refused.Code)
	require.Positive(t, refused.Retry)
	require.False(t, outcome.Ran)
}

// Guards against a host without connections whose answer doesn't tell that another one is to be asked, and whose own measurements pass
// for the upstream's load.
func TestNotHolder(t *testing.T) {
	_, _, target := startPrimary(t)
	server := httptest.NewServer(gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 0)}).Handler())
	t.Cleanup(server.Close)
	executor := newClient().Executor(strings.TrimPrefix(server.URL, "http://"), target, "team", 1, func(bool) {})
	outcome, err := executor.Execute(contextWithTimeout(t), upstream.Use{ID: "1", Text: "FETCH a", Timeout: timeout, Keep: true})
	var notHolder *upstream.NotHolderError
	require.ErrorAs(t, err, &notHolder)
	var refused *statement.Failure
	require.ErrorAs(t, err, &refused)
	require.Equal(t, statement.CodeConnections, refused.Code)
	require.False(t, outcome.Ran)
	require.Zero(t, outcome.Load)
}

// Guards against a write that is reported as unknown, and a gateway that is avoided by all callers of a host, because a caller's text
// or an upstream's row is not UTF-8 and no call can carry it.
func TestTextThatIsNotUTF8(t *testing.T) {
	g, executor, _, failures := startGateway(t)
	const odd = "\xff\xfe"
	outcome, err := executor("i-1").Execute(contextWithTimeout(t), upstream.Use{
		ID: odd, Text: "STORE a " + odd, Values: map[string]string{"k" + odd: odd}, Timeout: timeout,
	})
	require.NoError(t, err)
	require.Equal(t, "signed-by-i-1-"+odd, outcome.Result.Signature)
	outcome, err = executor("i-1").Execute(contextWithTimeout(t), upstream.Use{
		ID: "2", Prepared: &statement.Prepared{Shape: odd}, Text: "a", Values: map[string]string{"k": odd}, Timeout: timeout,
	})
	require.NoError(t, err)
	require.Equal(t, []string{odd + " team map[k:" + odd + "]"}, outcome.Result.Rows)
	_, runs := g.Items()
	require.Equal(t, map[string]int{odd: 1}, runs)
	require.Zero(t, *failures)
}

// Guards against a write that may have run but is reported as not run after the gateway closes the connection.
func TestGatewayClosesConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		hijacked, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = hijacked.Close()
		}
	}))
	defer server.Close()
	client := newClient()
	executor := client.Executor(strings.TrimPrefix(server.URL, "http://"), upstream.Target{Upstream: "i-1"}, "team", 1, func(bool) {})
	outcome, err := executor.Execute(contextWithTimeout(t), upstream.Use{ID: "1", Text: "STORE a 1", Timeout: timeout})
	var broken *upstream.BrokenError
	require.ErrorAs(t, err, &broken)
	require.True(t, outcome.Ran)
}

func protocol(connection io.ReadWriter) upstream.Session { return wire.NewUpstream(connection) }

// Guards against a statement that is reported as one that may have run, a gateway that is avoided for all statements, and a transaction
// that stays open, after the gateway has refused a large call for its memory.
func TestRefusedForMemory(t *testing.T) {
	g, u, target := startPrimary(t)
	limits := budget.NewLimits(16*budget.MiB, 400)
	server := httptest.NewUnstartedServer(nil)
	server.Config = gate.New(limits).Server(gate.Calls{
		Listener: limits.PeerListener(), MaxBody: 64 << 20, Copies: 5,
		Handler: peer.TrustedHandler(gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 1)}).Handler()),
		Refuse: func(w http.ResponseWriter, err error) {
			_ = twirp.WriteError(w, twirp.ResourceExhausted.Error(err.Error()))
		},
	})
	server.Start()
	t.Cleanup(server.Close)
	failures := 0
	tx := newClient().Executor(strings.TrimPrefix(server.URL, "http://"), target, "team", 1, func(bool) { failures++ })
	_, err := tx.Execute(contextWithTimeout(t), upstream.Use{Opening: upstream.OpenPrimary, ID: "1", Text: "STORE a 1", Timeout: timeout, Keep: true})
	require.NoError(t, err)
	require.Equal(t, 1, u.OpenTransactions())
	var unreachable *upstream.UnreachableError
	outcome, err := tx.Execute(contextWithTimeout(t), upstream.Use{ID: "2", Text: "STORE b " + strings.Repeat("x", 3<<20), Timeout: timeout, Keep: true})
	require.ErrorAs(t, err, &unreachable)
	require.False(t, outcome.Ran)
	require.Zero(t, failures)
	require.Eventually(t, func() bool { return u.OpenTransactions() == 0 }, timeout, time.Millisecond, "the transaction is rolled back")
	_, runs := g.Items()
	require.Empty(t, runs)
}

// Guards against a large answer that is held without being admitted, and against a gateway that is avoided because its answer was not.
func TestAnswerRefused(t *testing.T) {
	g, _, target := startPrimary(t)
	require.True(t, g.Store("0", "a", strings.Repeat("x", 1<<20-100)))
	server := httptest.NewServer(gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 1)}).Handler())
	t.Cleanup(server.Close)
	for memory, admitted := range map[budget.Bytes]bool{64 * budget.MiB: true, 4 * budget.MiB: false} {
		limits := budget.NewLimits(memory, 400)
		answers, err := gate.New(limits).NewAnswers(limits)
		require.NoError(t, err)
		failures := 0
		client := gateway.NewClient(&http.Client{Transport: answers.Transport(http.DefaultTransport)}, func(address string) string { return "http://" + address })
		executor := client.Executor(strings.TrimPrefix(server.URL, "http://"), target, "team", 1, func(bool) { failures++ })
		outcome, err := executor.Execute(contextWithTimeout(t), upstream.Use{ID: "1", Text: "FETCH a", Timeout: timeout})
		if admitted {
			require.NoError(t, err)
			require.Len(t, outcome.Result.Rows, 1)
		} else {
			var refused *budget.RefusedError
			require.ErrorAs(t, err, &refused)
			require.True(t, outcome.Ran, "the upstream has run it")
		}
		require.Zero(t, failures)
	}
}
