package entry

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	"tamarackshunt.dev/fleet/sqlstate"
)

func newBackend(socket net.Conn, m *meter) *pgproto3.Backend {
	backend := pgproto3.NewBackend(m, socket)
	backend.SetMaxBodyLen(maxMessage)
	return backend
}

// startTLS answers an SSLRequest. Bytes received before the answer are discarded with the old backend, so that nothing sent
// in plaintext is processed as part of the encrypted connection.
func (c *caller) startTLS(ctx context.Context) error {
	if c.secured() {
		return reject(sqlstate.ProtocolViolation, "an SSLRequest inside TLS")
	}
	store := c.server.opts.TLS
	if store == nil {
		_, err := c.socket.Write([]byte{'N'})
		return trace.Wrap(err)
	}
	if _, err := c.socket.Write([]byte{'S'}); err != nil {
		return trace.Wrap(err)
	}
	socket := tls.Server(c.socket, store.CallerConfig())
	if err := socket.HandshakeContext(ctx); err != nil {
		c.server.metrics.handshakes.Inc()
		klog.V(1).InfoS("TLS handshake with a caller failed", "err", err)
		return trace.Wrap(err)
	}
	c.socket = socket
	c.meter = &meter{from: socket, session: c.raw}
	c.backend = newBackend(socket, c.meter)
	return nil
}

func (c *caller) secured() bool {
	_, secured := c.socket.(*tls.Conn)
	return secured
}

// checkPlaintext refuses a caller without TLS before it sends its key, unless the host listens on loopback or the settings
// allow plaintext. Cancel requests are not refused: many drivers send them without TLS, and they contain no key.
func (c *caller) checkPlaintext() error {
	opts := c.server.opts
	if c.secured() {
		return nil
	}
	if opts.TLS != nil && !opts.Settings.GetTls().GetCaller().GetPlaintext() && !loopback(c.server.listener.Addr()) {
		c.server.metrics.refusedPlaintext.Inc()
		return reject(sqlstate.TLSRequired, "from %s", c.socket.RemoteAddr())
	}
	c.server.metrics.plaintext.Inc()
	return nil
}

func loopback(address net.Addr) bool {
	tcp, ok := address.(*net.TCPAddr)
	return ok && tcp.IP.IsLoopback()
}
