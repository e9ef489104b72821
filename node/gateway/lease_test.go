package gateway_test

import (
	"context"
	"fmt"
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
	"tamarackshunt.dev/node/gateway"
	"tamarackshunt.dev/node/upstream"
)

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
	g, _, target := startPrimary(t)
	server := gateway.NewServer(pools{"i-1": upstream.NewPool(target, protocol, 2)})
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
	client := newClient()
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
		executor := client.Executor(strings.TrimPrefix(server.URL, "http://"), target, "team", 1, func() {})
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
