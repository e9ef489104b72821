package upstream_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/upstream"
)

// meterStub counts the operations that may have run.
type meterStub struct {
	mu   sync.Mutex
	runs map[ident.Team]int
}

// Begin implements upstream.Meter.
func (m *meterStub) Begin(team ident.Team) func(bool) {
	return func(ran bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if ran {
			m.runs[team]++
		}
	}
}

// Guards against usage that counts each statement of a transaction, statements that the host issues itself, statements that were refused
// or never sent, and usage that misses those without an answer.
func TestMeter(t *testing.T) {
	_, u, target := startUpstream(t, 20)
	p := upstream.NewPool(target, protocol, 2)
	meter := &meterStub{runs: map[ident.Team]int{}}
	p.SetMeter(meter)
	execute := func(executor upstream.Executor, use upstream.Use) error {
		use.Timeout = timeout
		_, err := executor.Execute(contextWithTimeout(t), use)
		return err
	}
	require.NoError(t, execute(p.Executor("one", 1), upstream.Use{ID: "1", Text: "FETCH k", Values: map[string]string{"a": "b"}}))
	require.Equal(t, 1, meter.runs["one"])

	transaction := p.Executor("one", 1)
	require.NoError(t, execute(transaction, upstream.Use{Opening: upstream.OpenPrimary, ID: "2", Text: "STORE k v", Keep: true}))
	require.NoError(t, execute(transaction, upstream.Use{ID: "3", Text: "FETCH k", Keep: true}))
	require.NoError(t, execute(transaction, upstream.Use{ID: "4", Text: "COMMIT"}))
	require.Equal(t, 2, meter.runs["one"])

	require.NoError(t, execute(p.Executor("one", 1), upstream.Use{Opening: upstream.OpenPrimary}))
	outcome, err := p.Executor("one", 1).Execute(contextWithTimeout(t), upstream.Use{ID: "5", Text: "EXECUTE unknown k", Timeout: timeout})
	require.NoError(t, err)
	require.Equal(t, statement.CodeUnknown, outcome.Result.Failure.Code)
	require.NoError(t, execute(p.Executor("", 1), upstream.Use{ID: "6", Text: "FETCH k"}))
	require.Equal(t, map[ident.Team]int{"one": 2}, meter.runs)

	u.DropWriteAnswers(1)
	require.Error(t, execute(p.Executor("one", 1), upstream.Use{ID: "7", Text: "STORE k v"}))
	require.Equal(t, 3, meter.runs["one"])
	u.Crash()
	require.Error(t, execute(p.Executor("two", 1), upstream.Use{ID: "8", Text: "FETCH k"}))
	require.Zero(t, meter.runs["two"])
}
