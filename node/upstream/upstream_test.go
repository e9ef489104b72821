package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/upstream"
	"tamarackshunt.dev/platform/wire"
	"tamarackshunt.dev/standin/platform"
)

// timeout bounds every statement; no statement of these tests takes that long.
const timeout = 20 * time.Second

func startUpstream(t *testing.T, connections int) (*platform.Group, *platform.Upstream, upstream.Target) {
	g := platform.NewGroup("svc")
	u, err := g.Start(platform.Options{ID: "i-1", Zone: "z", Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: connections})
	require.NoError(t, err)
	t.Cleanup(u.Crash)
	return g, u, upstream.Target{Service: "svc", Upstream: "i-1", Address: u.Address, Zone: "z"}
}

func contextWithTimeout(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	return ctx
}

func readUse(id, text string) upstream.Use {
	return upstream.Use{ID: id, Text: text, Timeout: timeout}
}

// Guards against a statement that runs on a shared connection under another team's name, with another session's values, or
// with another definition than the one that was prepared.
func TestSessionState(t *testing.T) {
	_, _, target := startUpstream(t, 20)
	p := upstream.NewPool(target, protocol, 1)
	run := func(team ident.Team, use upstream.Use) []string {
		outcome, err := p.Executor(team, 1).Execute(contextWithTimeout(t), use)
		require.NoError(t, err)
		require.Nil(t, outcome.Result.Failure)
		return outcome.Result.Rows
	}
	use := readUse("1", "FETCH x")
	use.Values = map[string]string{"lang": "sk", "zone": "cet"}
	require.Equal(t, []string{"none one map[lang:sk zone:cet]"}, run("one", use))
	use.Values = map[string]string{"lang": "sk"}
	require.Equal(t, []string{"none one map[lang:sk]"}, run("one", use), "a value of another session is discarded")
	require.Equal(t, []string{"none one map[]"}, run("one", readUse("2", "FETCH x")))
	require.Equal(t, []string{"none two map[]"}, run("two", readUse("3", "FETCH x")), "a connection is never shared between teams")

	store := upstream.Use{ID: "4", Text: "k v", Timeout: timeout, Prepared: &statement.Prepared{Writes: true, Shape: "q"}}
	run("one", store)
	fetch := upstream.Use{ID: "5", Text: "k", Timeout: timeout, Prepared: &statement.Prepared{Shape: "q"}, Values: map[string]string{"a": "b"}}
	require.Equal(t, []string{"v one map[a:b]"}, run("one", fetch))
	fetch.Values = nil
	require.Equal(t, []string{"v one map[]"}, run("one", fetch), "a discarded statement is prepared again")
}

// Guards against a released connection whose transaction is still open for the next session.
func TestReleaseEndsTransaction(t *testing.T) {
	g, _, target := startUpstream(t, 20)
	p := upstream.NewPool(target, protocol, 1)
	executor := p.Executor("one", 1)
	outcome, err := executor.Execute(contextWithTimeout(t), upstream.Use{Opening: upstream.OpenPrimary, ID: "1", Text: "STORE k v", Timeout: timeout, Keep: true})
	require.NoError(t, err)
	require.Equal(t, statement.StateTransaction, outcome.Result.State)
	executor.Close()
	outcome, err = p.Executor("one", 1).Execute(contextWithTimeout(t), readUse("2", "FETCH k"))
	require.NoError(t, err)
	require.Equal(t, []string{"none one map[]"}, outcome.Result.Rows)
	require.Equal(t, statement.StateIdle, outcome.Result.State, "the read runs outside of any transaction")
	_, runs := g.Items()
	require.Empty(t, runs)
}

// Guards against more connections than the limit, connections of one team that block all other teams, and reservations that
// are not released when a connection breaks.
func TestLimit(t *testing.T) {
	_, u, target := startUpstream(t, 3)
	p := upstream.NewPool(target, protocol, 3)
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Go(func() {
			if i%10 == 0 {
				u.DropWriteAnswers(1)
			}
			_, err := p.Executor(ident.Team(fmt.Sprintf("t%d", i%7)), i%2).Execute(contextWithTimeout(t), upstream.Use{ID: fmt.Sprint(i), Text: fmt.Sprintf("STORE k%d v", i), Timeout: timeout})
			var broken *upstream.BrokenError
			if err != nil && !errors.As(err, &broken) {
				t.Errorf("statement %d: %v", i, err)
			}
		})
	}
	wait.Wait()
	outcome, err := p.Executor("last", 1).Execute(contextWithTimeout(t), readUse("last", "FETCH x"))
	require.NoError(t, err)
	require.Nil(t, outcome.Result.Failure)
}

// Guards against a lost answer that is reported as not run, and a failed connection attempt that is reported as an unknown
// outcome.
func TestOutcome(t *testing.T) {
	g, u, target := startUpstream(t, 3)
	p := upstream.NewPool(target, protocol, 3)
	u.DropWriteAnswers(1)
	outcome, err := p.Executor("one", 1).Execute(contextWithTimeout(t), upstream.Use{ID: "1", Text: "STORE k v", Timeout: timeout})
	var broken *upstream.BrokenError
	require.ErrorAs(t, err, &broken)
	require.True(t, outcome.Ran)
	_, runs := g.Items()
	require.Equal(t, map[string]int{"1": 1}, runs)

	wrong := target
	wrong.Upstream = "i-2"
	outcome, err = upstream.NewPool(wrong, protocol, 1).Executor("one", 1).Execute(contextWithTimeout(t), readUse("2", "FETCH k"))
	var refused *statement.Failure
	require.ErrorAs(t, err, &refused)
	require.Equal(t, statement.CodeMoved, refused.Code)
	require.False(t, outcome.Ran)

	u.Crash()
	outcome, err = p.Executor("two", 1).Execute(contextWithTimeout(t), readUse("3", "FETCH k"))
	var unreachable *upstream.UnreachableError
	require.ErrorAs(t, err, &unreachable)
	require.False(t, outcome.Ran)
}

// Guards against a read on an upstream whose log is behind the required position, and against a primary transaction that is
// opened on a replica.
func TestOpening(t *testing.T) {
	g, _, target := startUpstream(t, 20)
	replica, err := g.Start(platform.Options{ID: "i-2", Zone: "z", Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: 20})
	require.NoError(t, err)
	t.Cleanup(replica.Crash)
	replica.SetReplicationPaused(true)
	outcome, err := upstream.NewPool(target, protocol, 1).Executor("one", 1).Execute(contextWithTimeout(t), upstream.Use{ID: "1", Text: "STORE k v", Timeout: timeout})
	require.NoError(t, err)
	target.Upstream, target.Address = "i-2", replica.Address
	executor := upstream.NewPool(target, protocol, 2).Executor("one", 1)
	for _, use := range []upstream.Use{
		{Opening: upstream.OpenRead, Since: outcome.Result.Position, ID: "2", Text: "FETCH k", Timeout: timeout},
		{Opening: upstream.OpenPrimary, ID: "3", Text: "FETCH k", Timeout: timeout},
	} {
		outcome, err := executor.Execute(contextWithTimeout(t), use)
		var refused *statement.Failure
		require.ErrorAs(t, err, &refused)
		require.False(t, outcome.Ran)
	}
	use := readUse("4", "FETCH k")
	use.Since = outcome.Result.Position
	lagging, err := executor.Execute(contextWithTimeout(t), use)
	require.NoError(t, err)
	require.Equal(t, statement.CodeLagging, lagging.Result.Failure.Code)
}

func protocol(connection io.ReadWriter) upstream.Session { return wire.NewUpstream(connection) }

// Guards against statements that wait until their deadline for a connection to an upstream that is no longer listed.
func TestCloseEndsWaits(t *testing.T) {
	_, _, target := startUpstream(t, 3)
	p := upstream.NewPool(target, protocol, 1)
	held, err := p.Get(contextWithTimeout(t), "one", 1)
	require.NoError(t, err)
	const waiters = 3
	results := make(chan error, waiters)
	for i := range waiters {
		go func() {
			_, err := p.Get(contextWithTimeout(t), ident.Team(fmt.Sprint("t", i)), 1)
			results <- err
		}()
	}
	require.Eventually(t, func() bool { return p.Waiting() == waiters }, timeout, time.Millisecond)
	p.Close()
	var unreachable *upstream.UnreachableError
	for range waiters {
		require.ErrorAs(t, <-results, &unreachable)
	}
	_, err = p.Get(contextWithTimeout(t), "one", 1)
	require.ErrorAs(t, err, &unreachable)
	held.Release()
}

// Guards against a former gateway that keeps idle connections, which the new one needs, and against statements that wait there.
func TestSmallerLimitClosesIdleConnections(t *testing.T) {
	_, _, target := startUpstream(t, 3)
	p := upstream.NewPool(target, protocol, 3)
	held := make([]*upstream.Conn, 3)
	for i := range held {
		var err error
		held[i], err = p.Get(contextWithTimeout(t), "one", 1)
		require.NoError(t, err)
	}
	held[0].Release()
	held[1].Release()
	p.SetLimit(0, true)
	require.Equal(t, 1, p.Connections(), "the connection in use is kept")
	held[2].Release()
	require.Zero(t, p.Connections())
	_, err := p.Get(contextWithTimeout(t), "one", 1)
	var refused *statement.Failure
	require.ErrorAs(t, err, &refused)
	require.Equal(t, statement.CodeConnections, refused.Code)
	_, err = p.Status(contextWithTimeout(t), statement.AskStatus{}, func() error { return nil })
	require.NoError(t, err, "the core's requests are served on every host")
}

// Guards against a pool that insists on connections which the upstream refuses because another host holds them.
func TestRefusalLowersLimit(t *testing.T) {
	_, _, target := startUpstream(t, 3)
	other := upstream.NewPool(target, protocol, 1)
	foreign, err := other.Get(contextWithTimeout(t), "other", 1)
	require.NoError(t, err)
	p := upstream.NewPool(target, protocol, 3)
	first, err := p.Get(contextWithTimeout(t), "one", 1)
	require.NoError(t, err)
	second, err := p.Get(contextWithTimeout(t), "two", 1)
	require.NoError(t, err)
	granted := make(chan error, 1)
	go func() {
		conn, err := p.Get(contextWithTimeout(t), "three", 1)
		if err == nil {
			conn.Release()
		}
		granted <- err
	}()
	require.Eventually(t, func() bool { return p.Limit() < 3 }, timeout, time.Millisecond)
	require.Equal(t, 1, p.Waiting(), "the statement keeps its place")
	foreign.Release()
	other.Close()
	require.NoError(t, <-granted)
	first.Release()
	second.Release()
}
