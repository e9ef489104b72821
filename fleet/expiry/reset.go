package expiry

import "net"

// underlying returns the connection that a TLS connection uses, or the connection itself.
func underlying(connection net.Conn) net.Conn {
	if secured, ok := connection.(interface{ NetConn() net.Conn }); ok {
		return secured.NetConn()
	}
	return connection
}
