package launch

import (
	"net"

	"github.com/gravitational/trace"
)

// freeAddresses returns n different addresses on 127.0.0.1 on which no process listens.
func freeAddresses(n int) ([]string, error) {
	listeners := make([]net.Listener, 0, n)
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	addresses := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
