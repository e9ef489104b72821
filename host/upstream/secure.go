package upstream

import (
	"context"
	"crypto/tls"
	"io"
	"net"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"tamarackshunt.dev/fleet/certificate"
)

// PlaintextError reports that an upstream offers no TLS although the settings require it.
type PlaintextError struct {
	Answer byte
}

func (e *PlaintextError) Error() string {
	return "the upstream offers no TLS, its answer to the SSLRequest is " + string(rune(e.Answer))
}

// startTLS starts TLS on a connection to an upstream, whose certificate must contain the IP address that was dialed. Without
// a store it returns the connection unchanged.
func startTLS(ctx context.Context, raw net.Conn, address string, store *certificate.Store) (net.Conn, error) {
	if store == nil {
		return raw, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := raw.Write(request); err != nil {
		return nil, trace.Wrap(err)
	}
	var answer [1]byte
	if _, err := io.ReadFull(raw, answer[:]); err != nil {
		return nil, trace.Wrap(err)
	}
	if answer[0] != 'S' {
		return nil, trace.Wrap(&PlaintextError{answer[0]})
	}
	socket := tls.Client(raw, store.ClientConfig(host))
	return socket, trace.Wrap(socket.HandshakeContext(ctx))
}
