package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/wire"
	"tamarackshunt.dev/standin/platform"
)

const timeout = 20 * time.Second

type pools map[ident.Upstream]*upstream.Pool

// Pool implements gateway.Pools.
func (p pools) Pool(_ ident.Service, id ident.Upstream) *upstream.Pool { return p[id] }

// startGateway starts a gateway to a primary. It returns the upstream's group, a function that returns executors through the
// gateway, a function that stops the gateway, and the number of calls that the gateway did not answer.
func startGateway(t *testing.T) (g *platform.Group, executor func(id ident.Upstream) upstream.Executor, stop func(), failures *int) {
	g = platform.NewGroup("svc")
	u, err := g.Start(platform.Options{ID: "i-1", Zone: "z", Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: 20})
	require.NoError(t, err)
	t.Cleanup(u.Crash)
	target := upstream.Target{Service: "svc", Upstream: "i-1", Address: u.Address}
	server := httptest.NewServer(gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 1)}).Handler())
	t.Cleanup(server.Close)
	client := gateway.NewClient(http.DefaultClient, func(address string) string { return "http://" + address })
	failures = new(int)
	executor = func(id ident.Upstream) upstream.Executor {
		target.Upstream = id
		return client.Executor(strings.TrimPrefix(server.URL, "http://"), target, "team", 1, func() { *failures++ })
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

// Guards against statements that run in another team's transaction after a gateway has started again: a lease of the earlier
// process names no connection of the new one, neither for a statement nor for an end.
func TestLeaseOfEarlierProcess(t *testing.T) {
	g := platform.NewGroup("svc")
	u, err := g.Start(platform.Options{ID: "i-1", Zone: "z", Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: 20})
	require.NoError(t, err)
	t.Cleanup(u.Crash)
	target := upstream.Target{Service: "svc", Upstream: "i-1", Address: u.Address}
	start := func() http.Handler {
		return gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 2)}).Handler()
	}
	process := start()
	ended := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		process.ServeHTTP(w, r)
		if strings.HasSuffix(r.URL.Path, "/End") {
			ended <- struct{}{}
		}
	}))
	t.Cleanup(server.Close)
	client := gateway.NewClient(http.DefaultClient, func(address string) string { return "http://" + address })
	open := func(team ident.Team, id, text string) upstream.Executor {
		executor := client.Executor(strings.TrimPrefix(server.URL, "http://"), target, team, 1, func() {})
		_, err := executor.Execute(contextWithTimeout(t), upstream.Use{Opening: upstream.OpenPrimary, ID: id, Text: text, Timeout: timeout, Keep: true})
		require.NoError(t, err)
		return executor
	}
	early, abandoned := open("one", "1", "STORE early 1"), open("one", "2", "STORE abandoned 1")
	process = start()
	late, other := open("two", "3", "STORE late 1"), open("two", "4", "STORE other 1")

	outcome, err := early.Execute(contextWithTimeout(t), upstream.Use{ID: "5", Text: "STORE intruder 1", Timeout: timeout, Keep: true})
	var unreachable *upstream.UnreachableError
	require.ErrorAs(t, err, &unreachable, "the connection of the transaction is gone")
	require.False(t, outcome.Ran)
	abandoned.Close()
	<-ended
	for i, executor := range []upstream.Executor{late, other} {
		outcome, err = executor.Execute(contextWithTimeout(t), upstream.Use{ID: fmt.Sprint("commit", i), Text: "COMMIT", Timeout: timeout})
		require.NoError(t, err)
		require.Nil(t, outcome.Result.Failure)
	}
	items, _ := g.Items()
	require.Equal(t, map[string]string{"late": "1", "other": "1"}, items)
}

// Guards against logs and metrics that can't tell why the connection of a transaction is gone: whether its gateway has started again, the
// lease has ended, or the lease was given to another transaction.
func TestRefusedLeasesAreCountedByReason(t *testing.T) {
	g := platform.NewGroup("svc")
	u, err := g.Start(platform.Options{ID: "i-1", Zone: "z", Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: 20})
	require.NoError(t, err)
	t.Cleanup(u.Crash)
	start := func() *gateway.Server {
		return gateway.NewServer(pools{"i-1": upstream.NewPool(upstream.Target{Service: "svc", Upstream: "i-1", Address: u.Address}, protocol, 2)})
	}
	counts := func() (list []uint64) {
		for _, name := range []string{`refused_total{reason="other_process"}`, `refused_total{reason="not_held"}`, `refused_total{reason="other_transaction"}`} {
			list = append(list, metrics.GetOrCreateCounter("tamarack_gateway_leases_"+name).Get())
		}
		return list
	}
	first := &fleetpb.UseRequest{
		Service: "svc", Upstream: "i-1", Team: "team", Opening: fleetpb.Opening_OPENING_PRIMARY, Id: []byte("1"), Text: []byte("FETCH a"),
		WaitMs: uint32(timeout.Milliseconds()), TimeoutMs: uint32(timeout.Milliseconds()), Keep: true, Transaction: "one",
	}
	process, before := start(), counts()
	response, err := process.Use(t.Context(), first)
	require.NoError(t, err)
	next := proto.CloneOf(first)
	next.Lease, next.Opening = response.GetLease(), fleetpb.Opening_OPENING_NONE
	_, err = start().Use(t.Context(), next)
	require.Error(t, err)
	_, err = process.End(t.Context(), &fleetpb.EndRequest{Lease: next.GetLease(), Transaction: "one"})
	require.NoError(t, err)
	_, err = process.Use(t.Context(), next)
	require.Error(t, err)
	response, err = process.Use(t.Context(), first)
	require.NoError(t, err)
	next.Lease, next.Transaction = response.GetLease(), "two"
	_, err = process.Use(t.Context(), next)
	require.Error(t, err)
	after := counts()
	for i := range after {
		require.Equal(t, before[i]+1, after[i])
	}
}

// Guards against a statement that runs in, or an end that rolls back, another transaction because its host sends the lease of that one.
func TestLeaseServesOneTransaction(t *testing.T) {
	g := platform.NewGroup("svc")
	u, err := g.Start(platform.Options{ID: "i-1", Zone: "z", Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: 20})
	require.NoError(t, err)
	t.Cleanup(u.Crash)
	server := gateway.NewServer(pools{"i-1": upstream.NewPool(upstream.Target{Service: "svc", Upstream: "i-1", Address: u.Address}, protocol, 2)})
	own := &fleetpb.UseRequest{
		Service: "svc", Upstream: "i-1", Team: "one", Opening: fleetpb.Opening_OPENING_PRIMARY, Id: []byte("1"), Text: []byte("STORE own 1"),
		WaitMs: uint32(timeout.Milliseconds()), TimeoutMs: uint32(timeout.Milliseconds()), Keep: true, Transaction: "own",
	}
	response, err := server.Use(t.Context(), own)
	require.NoError(t, err)
	foreign := proto.CloneOf(own)
	foreign.Lease, foreign.Transaction, foreign.Opening = response.GetLease(), "foreign", fleetpb.Opening_OPENING_NONE
	foreign.Id, foreign.Text = []byte("2"), []byte("STORE foreign 1")
	_, err = server.Use(t.Context(), foreign)
	require.ErrorContains(t, err, "not_found", "the statement has not run, and its host can say so")
	_, err = server.End(t.Context(), &fleetpb.EndRequest{Lease: response.GetLease(), Transaction: "foreign"})
	require.NoError(t, err)
	own.Lease, own.Opening, own.Id, own.Text, own.Keep = response.GetLease(), fleetpb.Opening_OPENING_NONE, []byte("3"), []byte("COMMIT"), false
	response, err = server.Use(t.Context(), own)
	require.NoError(t, err)
	require.Nil(t, response.GetFailure())
	items, _ := g.Items()
	require.Equal(t, map[string]string{"own": "1"}, items)
}

// Guards against a statement that runs outside of its transaction because the response to the first one named no lease.
func TestResponseWithoutLease(t *testing.T) {
	server := httptest.NewServer(fleetpb.NewGatewayServer(withoutLease{}))
	t.Cleanup(server.Close)
	client := gateway.NewClient(http.DefaultClient, func(address string) string { return "http://" + address })
	executor := client.Executor(strings.TrimPrefix(server.URL, "http://"), upstream.Target{Upstream: "i-1"}, "team", 1, func() {})
	outcome, err := executor.Execute(contextWithTimeout(t), upstream.Use{Opening: upstream.OpenPrimary, ID: "1", Text: "STORE a 1", Timeout: timeout, Keep: true})
	var broken *upstream.BrokenError
	require.ErrorAs(t, err, &broken)
	require.True(t, outcome.Ran)
}

// withoutLease is a gateway that answers each statement with success and keeps no connection.
type withoutLease struct{ fleetpb.Gateway }

// Use implements fleetpb.Gateway.
func (withoutLease) Use(context.Context, *fleetpb.UseRequest) (*fleetpb.UseResponse, error) {
	return &fleetpb.UseResponse{Ran: true, Signature: []byte("signed")}, nil
}

// End implements fleetpb.Gateway.
func (withoutLease) End(context.Context, *fleetpb.EndRequest) (*fleetpb.EndResponse, error) {
	return &fleetpb.EndResponse{}, nil
}

// Guards against connections that stay open in a transaction, for as long as a lease lasts, after the answer to one of its statements
// was lost: its host can't use the transaction any more, and the upstream accepts few connections.
func TestLostAnswerEndsTransaction(t *testing.T) {
	for _, first := range []bool{true, false} {
		g := platform.NewGroup("svc")
		u, err := g.Start(platform.Options{ID: "i-1", Zone: "z", Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: 20})
		require.NoError(t, err)
		t.Cleanup(u.Crash)
		target := upstream.Target{Service: "svc", Upstream: "i-1", Address: u.Address}
		handler := gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 2)}).Handler()
		var lose atomic.Bool
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !lose.Load() || !strings.HasSuffix(r.URL.Path, "/Use") {
				handler.ServeHTTP(w, r)
				return
			}
			// The gateway runs the statement, and its answer is lost.
			handler.ServeHTTP(httptest.NewRecorder(), r.WithContext(context.WithoutCancel(r.Context())))
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(server.Close)
		client := gateway.NewClient(http.DefaultClient, func(address string) string { return "http://" + address })
		executor := client.Executor(strings.TrimPrefix(server.URL, "http://"), target, "team", 1, func() {})
		use := upstream.Use{Opening: upstream.OpenPrimary, ID: "1", Text: "STORE a 1", Timeout: timeout, Keep: true}
		if !first {
			_, err = executor.Execute(contextWithTimeout(t), use)
			require.NoError(t, err)
			use.Opening, use.ID = upstream.OpenNone, "2"
		}
		lose.Store(true)
		_, err = executor.Execute(contextWithTimeout(t), use)
		var broken *upstream.BrokenError
		require.ErrorAs(t, err, &broken)
		require.Eventually(t, func() bool { return u.OpenTransactions() == 0 }, timeout, time.Millisecond)
	}
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
	client := gateway.NewClient(http.DefaultClient, func(address string) string { return "http://" + address })
	executor := client.Executor(strings.TrimPrefix(server.URL, "http://"), upstream.Target{Upstream: "i-1"}, "team", 1, func() {})
	outcome, err := executor.Execute(contextWithTimeout(t), upstream.Use{ID: "1", Text: "STORE a 1", Timeout: timeout})
	var broken *upstream.BrokenError
	require.ErrorAs(t, err, &broken)
	require.True(t, outcome.Ran)
}

func protocol(connection io.ReadWriter) upstream.Session { return wire.NewUpstream(connection) }
