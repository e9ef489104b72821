package expiry

import (
	"net"
)

// ResetOnClose returns a connection that is reset when it is closed, also by the end of the process, so that the kernel drops what it has not
// delivered yet. Otherwise a call that a cut network holds up is still delivered after its sender has given up and closed the connection. Only
// connections whose calls are answered before they are closed may be passed.
func ResetOnClose(connection net.Conn) net.Conn {
	if socket, ok := underlying(connection).(*net.TCPConn); ok {
		// It fails only for a connection that is closed already.
		_ = socket.SetLinger(0)
	}
	return connection
}

// underlying returns the connection that a TLS connection uses, or the connection itself.
func underlying(connection net.Conn) net.Conn {
	if secured, ok := connection.(interface{ NetConn() net.Conn }); ok {
		return secured.NetConn()
	}
	return connection
}
