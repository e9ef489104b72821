package upstream_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/statement"
	"tamarackshunt.dev/node/upstream"
)

// unansweredSession sends requests that get no answer.
type unansweredSession struct {
	upstream.Session
	connection io.ReadWriter
}

// Connect implements upstream.Session.
func (unansweredSession) Connect(ident.Service, ident.Team, ident.Upstream) (ident.Position, error) {
	return ident.Position{}, nil
}

// Run implements upstream.Session.
func (u unansweredSession) Run(string, ident.Position, statement.Request) (statement.Result, error) {
	_, err := u.connection.Write([]byte("request"))
	return statement.Result{}, errors.Join(err, errors.New("no answer"))
}

// Guards against an order to step down that an upstream carries out long after the core has given it up, and against an upstream that is cut off
// and never hears of the end of the other connections, which count against its limit: the kernel repeats an orderly end, but no reset.
func TestOrderGivenUpIsReset(t *testing.T) {
	tests := []struct {
		request statement.Request
		reset   bool
	}{
		{statement.StepDown{Term: 2}, true},
		{statement.Pause{Term: 2}, true},
		{statement.Continue{}, true},
		{statement.AskStatus{}, false},
	}
	for _, tt := range tests {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		p := upstream.NewPool(upstream.Target{Service: "svc", Upstream: "i-1", Address: listener.Addr().String()},
			func(connection io.ReadWriter) upstream.Session { return unansweredSession{connection: connection} }, 1)
		defer p.Close()
		_, err = p.Status(contextWithTimeout(t), tt.request, func() error { return nil })
		require.Error(t, err)
		accepted, err := listener.Accept()
		require.NoError(t, err)
		defer accepted.Close()
		require.NoError(t, accepted.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = io.Copy(io.Discard, accepted)
		if tt.reset {
			require.ErrorIs(t, err, syscall.ECONNRESET, "%T", tt.request)
		} else {
			require.NoError(t, err, "%T", tt.request)
		}
	}
}
