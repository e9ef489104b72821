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
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/standin/platform"
)

// firstRequest returns the request for the first statement of a transaction, a write.
func firstRequest(transaction string) *fleetpb.UseRequest {
	return &fleetpb.UseRequest{
		Service: "svc", Upstream: "i-1", Team: "team", Opening: fleetpb.Opening_OPENING_PRIMARY, Id: []byte("1"), Text: []byte("STORE a 1"),
		WaitMs: uint32(timeout.Milliseconds()), TimeoutMs: uint32(timeout.Milliseconds()), Keep: true, Transaction: transaction,
	}
}

// mustUse sends a request that must succeed.
func mustUse(t *testing.T, server *gateway.Server, request *fleetpb.UseRequest) *fleetpb.UseResponse {
	response, err := server.Use(t.Context(), request)
	require.NoError(t, err)
	require.Nil(t, response.GetFailure())
	return response
}

// Guards against statements that run in another team's transaction after a gateway has started again: a lease of the earlier
// process names no connection of the new one, neither for a statement nor for an end.
func TestLeaseOfEarlierProcess(t *testing.T) {
	g, _, target := startPrimary(t)
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
	client := newClient()
	open := func(team ident.Team, id, text string) upstream.Executor {
		executor := client.Executor(strings.TrimPrefix(server.URL, "http://"), target, team, 1, func(bool) {})
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
	_, _, target := startPrimary(t)
	start := func() *gateway.Server {
		return gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 2)})
	}
	counts := func() (list []uint64) {
		for _, name := range []string{`refused_total{reason="other_process"}`, `refused_total{reason="not_held"}`, `refused_total{reason="other_transaction"}`} {
			list = append(list, metrics.GetOrCreateCounter("tamarack_gateway_leases_"+name).Get())
		}
		return list
	}
	first := firstRequest("one")
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
	g, _, target := startPrimary(t)
	server := gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 2)})
	own := firstRequest("own")
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
	require.Equal(t, map[string]string{"a": "1"}, items)
}

// Guards against a statement that runs outside of its transaction because the response to the first one named no lease.
func TestResponseWithoutLease(t *testing.T) {
	server := httptest.NewServer(fleetpb.NewGatewayServer(withoutLease{}))
	t.Cleanup(server.Close)
	client := newClient()
	executor := client.Executor(strings.TrimPrefix(server.URL, "http://"), upstream.Target{Upstream: "i-1"}, "team", 1, func(bool) {})
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

// recorder is a gateway that records the transactions of requests.
type recorder struct {
	withoutLease
	transactions []string
}

// Use implements fleetpb.Gateway.
func (r *recorder) Use(_ context.Context, request *fleetpb.UseRequest) (*fleetpb.UseResponse, error) {
	r.transactions = append(r.transactions, request.GetTransaction())
	return &fleetpb.UseResponse{Ran: true, Signature: []byte("signed"), Lease: "lease"}, nil
}

// Guards against transactions of one or of two hosts under one id.
func TestTransactionsHaveDifferentIDs(t *testing.T) {
	r := &recorder{}
	server := httptest.NewServer(fleetpb.NewGatewayServer(r))
	t.Cleanup(server.Close)
	ids := map[string]bool{}
	for range 2 {
		client := newClient()
		for range 2 {
			executor := client.Executor(strings.TrimPrefix(server.URL, "http://"), upstream.Target{Upstream: "i-1"}, "team", 1, func(bool) {})
			for range 2 {
				_, err := executor.Execute(contextWithTimeout(t), upstream.Use{ID: "1", Text: "STORE a 1", Timeout: timeout, Keep: true})
				require.NoError(t, err)
			}
			require.Equal(t, r.transactions[len(r.transactions)-2], r.transactions[len(r.transactions)-1], "a transaction keeps its id")
			ids[r.transactions[len(r.transactions)-1]] = true
		}
	}
	require.Len(t, ids, 4)
	require.NotContains(t, ids, "")
}

// Guards against a connection that is kept for a host that no longer awaits the response.
func TestCancelledRequestKeepsNothing(t *testing.T) {
	_, u, target := startPrimary(t)
	server := gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 2)})
	ctx, cancel := context.WithCancel(t.Context())
	request := firstRequest("one")
	request.Lease, request.Opening = mustUse(t, server, request).GetLease(), fleetpb.Opening_OPENING_NONE
	cancel()
	_, err := server.Use(ctx, request)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return u.OpenTransactions() == 0 }, timeout, time.Millisecond)
}

// panicking is a session that panics after it has sent the statement with the id "panic".
type panicking struct {
	upstream.Session
	connection io.Writer
}

// Run implements upstream.Session.
func (p panicking) Run(id string, since ident.Position, request statement.Request) (statement.Result, error) {
	if id == "panic" {
		_, _ = io.WriteString(p.connection, "QUERY panic STORE b 1\r\n")
		panic(id)
	}
	return p.Session.Run(id, since, request)
}

// Guards against a connection that is kept for good after a panic while a statement ran on it.
func TestPanicKeepsNothing(t *testing.T) {
	for _, first := range []bool{true, false} {
		_, u, target := startPrimary(t)
		pool := upstream.NewPool(target, func(c io.ReadWriter) upstream.Session { return panicking{protocol(c), c} }, 1)
		server := gateway.NewServer(pools{"i-1": pool})
		request := firstRequest("one")
		if !first {
			request.Lease, request.Opening = mustUse(t, server, request).GetLease(), fleetpb.Opening_OPENING_NONE
		}
		request.Id = []byte("panic")
		require.Panics(t, func() { _, _ = server.Use(t.Context(), request) })
		require.Eventually(t, func() bool { return u.OpenTransactions() == 0 }, timeout, time.Millisecond)
		mustUse(t, server, firstRequest("two"))
	}
}

// Guards against an answer that reaches another statement, and a pool that runs out of connections, after a panic while a single statement
// was under way.
func TestPanicDuringSingleStatement(t *testing.T) {
	g := platform.NewGroup("svc")
	u, err := g.Start(platform.Options{
		ID: "i-1", Zone: "z", Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: 20, Work: 200 * time.Millisecond,
	})
	require.NoError(t, err)
	t.Cleanup(u.Crash)
	target := upstream.Target{Service: "svc", Upstream: "i-1", Address: u.Address}
	pool := upstream.NewPool(target, func(c io.ReadWriter) upstream.Session { return panicking{protocol(c), c} }, 1)
	server := gateway.NewServer(pools{"i-1": pool})
	request := firstRequest("")
	request.Keep, request.Opening = false, fleetpb.Opening_OPENING_NONE
	request.Id = []byte("panic")
	require.Panics(t, func() { _, _ = server.Use(t.Context(), request) })
	request.Id = []byte("2")
	require.Equal(t, "signed-by-i-1-2", string(mustUse(t, server, request).GetSignature()))
}

// Guards against connections that stay open in a transaction, for as long as a lease lasts, after the answer to one of its statements
// was lost: its host can't use the transaction any more, and the upstream accepts few connections.
func TestLostAnswerEndsTransaction(t *testing.T) {
	for _, first := range []bool{true, false} {
		_, u, target := startPrimary(t)
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
		client := newClient()
		executor := client.Executor(strings.TrimPrefix(server.URL, "http://"), target, "team", 1, func(bool) {})
		use := upstream.Use{Opening: upstream.OpenPrimary, ID: "1", Text: "STORE a 1", Timeout: timeout, Keep: true}
		if !first {
			_, err := executor.Execute(contextWithTimeout(t), use)
			require.NoError(t, err)
			use.Opening, use.ID = upstream.OpenNone, "2"
		}
		lose.Store(true)
		_, err := executor.Execute(contextWithTimeout(t), use)
		var broken *upstream.BrokenError
		require.ErrorAs(t, err, &broken)
		require.Eventually(t, func() bool { return u.OpenTransactions() == 0 }, timeout, time.Millisecond)
	}
}

// Guards against a connection that a gateway keeps until its lease expires, with an open transaction on the upstream, because it refused
// a later statement for lack of memory.
func TestRefusalForMemoryEndsTransaction(t *testing.T) {
	_, _, target := startPrimary(t)
	handler := gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 1)}).Handler()
	var exhausted atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if exhausted.Load() && strings.HasSuffix(r.URL.Path, "/Use") {
			_ = twirp.WriteError(w, twirp.ResourceExhausted.Error("full"))
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	executor := func() upstream.Executor {
		return newClient().Executor(strings.TrimPrefix(server.URL, "http://"), target, "team", 1, func(bool) {})
	}
	tx := executor()
	_, err := tx.Execute(contextWithTimeout(t), upstream.Use{Opening: upstream.OpenPrimary, ID: "1", Text: "STORE a 1", Timeout: timeout, Keep: true})
	require.NoError(t, err)
	exhausted.Store(true)
	outcome, err := tx.Execute(contextWithTimeout(t), upstream.Use{ID: "2", Text: "STORE b 1", Timeout: timeout, Keep: true})
	var unreachable *upstream.UnreachableError
	require.ErrorAs(t, err, &unreachable)
	require.False(t, outcome.Ran)
	exhausted.Store(false)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = executor().Execute(ctx, upstream.Use{ID: "3", Text: "FETCH a", Timeout: timeout})
	require.NoError(t, err, "the only connection is free before the lease expires")
}
